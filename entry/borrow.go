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
	// maxBorrowCalls bounds the concurrent Borrow calls of an instance.
	maxBorrowCalls = 4
	// borrowTimeout ends a Borrow call early: by then, half of the loan's term
	// would be over.
	borrowTimeout = linkcap.LoanTerm / 2
)

// lenderPeers reaches the other instances of the region. Implementations must
// not call the linkLimiter: it calls names with its mutex held.
type lenderPeers interface {
	// names returns the names of the other instances of the region.
	names() []string
	// borrow asks one of them to lend rate.
	borrow(ctx context.Context, name string, r *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error)
}

// startBorrow asks a random peer of the region to lend rate for a link that has
// too little, unless maxBorrowCalls are in flight. The caller holds mu. The
// term of the loan starts at now.
func (limiter *linkLimiter) startBorrow(now time.Time, link *outgoingLink) {
	if limiter.lenders == nil || limiter.borrowsInFlight >= maxBorrowCalls || link.capRate == 0 {
		return
	}
	names := limiter.lenders.names()
	if len(names) == 0 {
		return
	}
	request, ok := link.rateLimit.RequestLoan(now, link.capRate)
	if !ok {
		return
	}
	limiter.borrowsInFlight++
	go limiter.borrow(link, request, names[rand.IntN(len(names))])
}

func (limiter *linkLimiter) borrow(link *outgoingLink, request linkcap.LoanRequest, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	response, err := limiter.lenders.borrow(ctx, name, &peerpb.BorrowRequest{
		FromRegion: limiter.region, ToRegion: link.to, BytesPerSecond: uint64(request.Rate)})
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.borrowsInFlight--
	if err != nil {
		return
	}
	// The link refuses a loan above the requested rate, so the response is
	// clamped to one byte above it.
	rate := int64(min(response.GetBytesPerSecond(), uint64(request.Rate)+1))
	if now := limiter.refresh(); link.rateLimit.AcceptLoan(now, request.Number, rate) {
		limiter.events.Emit(events.LinkRateBorrowed, log.Fields{"from": limiter.region, "to": link.to, "peer": name, "bytesPerSecond": rate})
		limiter.advance(now, link)
	}
}

// lend lends part of the instance's rate on a link to a peer of the same
// region. It returns the rate lent in bytes per second, 0 when there is none to
// spare.
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

// Borrow handles the request of a peer of the same region to borrow rate on a
// link.
func (server *peerServer) Borrow(_ context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	inst := server.instance
	region, known := inst.members.region(r.Requester)
	if !known || region != inst.settings.Region || r.FromRegion != region || r.Requester == inst.settings.Name {
		return &peerpb.BorrowResponse{}, nil
	}
	rate := int64(min(r.BytesPerSecond, 1<<62))
	return &peerpb.BorrowResponse{BytesPerSecond: uint64(inst.linkLimiter.lend(r.Requester, r.ToRegion, rate))}, nil
}

// regionLenders implements lenderPeers with the live instances of the region.
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

// region returns the region of an instance, and whether the instance is known.
func (m *members) region(name string) (string, bool) {
	for _, member := range m.view().Members {
		if member.Name == name {
			return member.Region, true
		}
	}
	return "", false
}
