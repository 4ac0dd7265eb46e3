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
func (l *linkLimiter) startBorrow(now time.Time, o *outgoingLink) {
	if l.lenders == nil || l.borrowsInFlight >= maxBorrowCalls || o.capRate == 0 {
		return
	}
	names := l.lenders.names()
	if len(names) == 0 {
		return
	}
	r, ok := o.rateLimit.RequestLoan(now, o.capRate)
	if !ok {
		return
	}
	l.borrowsInFlight++
	go l.borrow(o, r, names[rand.IntN(len(names))])
}

func (l *linkLimiter) borrow(o *outgoingLink, r linkcap.LoanRequest, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	answer, err := l.lenders.borrow(ctx, name, &peerpb.BorrowRequest{FromRegion: l.region, ToRegion: o.to, BytesPerSecond: uint64(r.Rate)})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrowsInFlight--
	if err != nil {
		return
	}
	// A rate beyond what was asked for is refused by the link.
	rate := int64(min(answer.GetBytesPerSecond(), uint64(r.Rate)+1))
	if now := l.refresh(); o.rateLimit.AcceptLoan(now, r.Number, rate) {
		l.events.Emit(events.LinkRateBorrowed, log.Fields{"from": l.region, "to": o.to, "peer": name, "bytesPerSecond": rate})
		l.advance(now, o)
	}
}

// lend grants a part of the own rate on a link to a peer of the region, in
// bytes per second. It returns 0 when there is none to spare.
func (l *linkLimiter) lend(peer, to string, rate int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.refresh()
	o := l.outgoing[to]
	if o == nil || rate <= 0 || o.queue.Len() > 0 {
		return 0
	}
	granted := o.rateLimit.Lend(now, rate)
	if granted > 0 {
		l.events.Emit(events.LinkRateLent, log.Fields{"from": l.region, "to": to, "peer": peer, "bytesPerSecond": granted})
	}
	return granted
}

// Borrow lends a part of the own rate on a link to an instance of the region.
func (p *peerServer) Borrow(_ context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	in := p.instance
	region, known := in.members.region(r.Requester)
	if !known || region != in.settings.Region || r.FromRegion != region || r.Requester == in.settings.Name {
		return &peerpb.BorrowResponse{}, nil
	}
	rate := int64(min(r.BytesPerSecond, 1<<62))
	return &peerpb.BorrowResponse{BytesPerSecond: uint64(in.linkLimiter.lend(r.Requester, r.ToRegion, rate))}, nil
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
func (m *members) region(name string) (string, bool) {
	for _, member := range m.view().Members {
		if member.Name == name {
			return member.Region, true
		}
	}
	return "", false
}
