package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/linkcap"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	// maxBorrowCalls bounds the Borrow calls of an instance in flight.
	maxBorrowCalls = 4
	// borrowTimeout ends a call whose loan would be of little use.
	borrowTimeout = linkcap.LoanTerm / 2
)

// lenderPeers reaches the instances of the own region. It must not use links.
type lenderPeers interface {
	// names returns the names of the other instances of the own region.
	names() []string
	// borrow asks one of them for rate.
	borrow(ctx context.Context, name string, r *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error)
}

// startBorrow starts a Borrow call for a link with too little rate, unless enough are
// in flight. It is called with mu held. The loan's term starts at now.
func (limiter *linkLimiter) startBorrow(now time.Time, link *outgoingLink) {
	if limiter.lenders == nil || limiter.borrowsInFlight >= maxBorrowCalls || link.capRate == 0 {
		return
	}
	names := limiter.lenders.names()
	if len(names) == 0 {
		return
	}
	request, ok := link.rateLimit.Ask(now, link.capRate)
	if !ok {
		return
	}
	limiter.borrowsInFlight++
	go limiter.borrow(link, request, names[rand.IntN(len(names))])
}

func (limiter *linkLimiter) borrow(link *outgoingLink, request linkcap.Request, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	response, err := limiter.lenders.borrow(ctx, name, &peerpb.BorrowRequest{FromRegion: limiter.region, ToRegion: link.to, BytesPerSecond: uint64(request.Rate)})
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.borrowsInFlight--
	if err != nil {
		return
	}
	// A rate beyond what was asked for is refused by the link.
	rate := int64(min(response.GetBytesPerSecond(), uint64(request.Rate)+1))
	if now := limiter.refresh(); link.rateLimit.Granted(now, request.Number, rate) {
		limiter.events.Emit(events.LinkRateBorrowed, log.Fields{"from": limiter.region, "to": link.to, "peer": name, "bytesPerSecond": rate})
		limiter.advance(now, link)
	}
}

// lend grants a part of the own rate on a link to a peer of the region, in
// bytes per second. It returns 0 when there is none to spare.
func (limiter *linkLimiter) lend(peer, to string, rate int64) int64 {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.refresh()
	link := limiter.outgoing[to]
	if link == nil || rate <= 0 || link.queue.Len() > 0 {
		return 0
	}
	granted := link.rateLimit.Lend(now, rate)
	if granted > 0 {
		limiter.events.Emit(events.LinkRateLent, log.Fields{"from": limiter.region, "to": to, "peer": peer, "bytesPerSecond": granted})
	}
	return granted
}

// Borrow lends a part of the own rate on a link to an instance of the region.
func (server *peerServer) Borrow(_ context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	inst := server.instance
	region, known := inst.members.region(r.Requester)
	if !known || region != inst.settings.Region || r.FromRegion != region || r.Requester == inst.settings.Name {
		return &peerpb.BorrowResponse{}, nil
	}
	rate := int64(min(r.BytesPerSecond, 1<<62))
	return &peerpb.BorrowResponse{BytesPerSecond: uint64(inst.linkLimiter.lend(r.Requester, r.ToRegion, rate))}, nil
}

// regionLenders are the live instances of the own region.
type regionLenders struct{ instance *Instance }

func (r regionLenders) names() []string {
	var names []string
	for _, m := range r.instance.members.view().Members {
		if m.Region == r.instance.settings.Region && m.Name != r.instance.settings.Name && m.State == membership.Alive && m.PeerAddress != "" {
			names = append(names, m.Name)
		}
	}
	return names
}

func (r regionLenders) borrow(ctx context.Context, name string, m *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	address, known := r.instance.members.address(name)
	if !known {
		return &peerpb.BorrowResponse{}, nil
	}
	m.Requester = r.instance.settings.Name
	return r.instance.peers.Client(ctx, address).Borrow(ctx, m)
}

// region returns the region of an instance.
func (members *members) region(name string) (string, bool) {
	for _, member := range members.view().Members {
		if member.Name == name {
			return member.Region, true
		}
	}
	return "", false
}
