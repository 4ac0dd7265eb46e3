package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/linkcap"
	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	// controlPercent of a link's cap is left to control messages between
	// regions, which take no tokens. An instance sends under 9 KB/s of them in
	// all. The smallest link of the deployments has 280 Mbit/s, or 35 MB/s, and
	// 4 instances at its end: 36 KB/s of the 700 KB/s that are reserved.
	controlPercent = 2
	// grantInterval bounds the time between two looks at a waiting queue in
	// both directions.
	minGrantInterval = time.Millisecond
	maxGrantInterval = 20 * time.Millisecond
)

// reasonNoLink is the cause of a refusal for traffic that no link or move of the
// document covers.
const reasonNoLink linkcap.Reason = "no-link"

// linkLimiter limits what an instance writes to other regions. It is safe for
// concurrent use.
type linkLimiter struct {
	region       string // Region of the instance.
	now          func() time.Time
	callLater    func(time.Duration, func()) // Calls a function later.
	document     func() *policy.Document
	tableVersion func() uint64 // Of the member table, for events.
	lenders      lenderPeers
	events       *events.Log
	disabled     bool // Tests only: takes no tokens.

	mu              sync.Mutex
	shareSource     func() float64 // Part of each cap, 0 to 1; nil until it is set.
	appliedDocument *policy.Document
	appliedShare    float64
	outgoing        map[string]*outgoingLink // By the region at the other end.
	borrowsInFlight int                      // Borrow calls in flight.
}

// outgoingLink is the link to one region. Its fields are guarded by links.mu.
type outgoingLink struct {
	to               string
	capRate          int64 // Bytes per second of all instances without the control part.
	shareRate        int64 // Part of cap in force, in bytes per second.
	rateLimit        *linkcap.Link
	queue            *linkcap.Queue
	moveBuckets      map[string]*linkcap.Bucket // By policy.Move.Key.
	reservations     map[uint64]chan linkcap.Ticket
	advanceScheduled bool
}

// writePermit is a right to write bytes to another region now. Written must follow.
type writePermit struct {
	limiter  *linkLimiter
	outgoing *outgoingLink
	ticket   linkcap.Ticket
}

// newLinkLimiter returns links without a share: nothing can be written to another
// region until setShare.
func newLinkLimiter(own string, document func() *policy.Document, l *events.Log) *linkLimiter {
	return &linkLimiter{region: own, document: document, events: l, now: time.Now,
		callLater:    func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		tableVersion: func() uint64 { return 0 }, outgoing: map[string]*outgoingLink{}}
}

// SetLinkShare sets the source of the instance's part of the cap of each link,
// from 0 to 1. It is read with each use of a link and must not block. Until it
// is set, nothing is written to other regions.
func (in *Instance) SetLinkShare(share func() float64) { in.linkLimiter.setShareSource(share) }

// LinksSettled reports whether what the instance may write to other regions and
// what it has lent are within its present share. It may acknowledge a member
// table that makes its share smaller only then.
func (in *Instance) LinksSettled() bool { return in.linkLimiter.settled() }

func (l *linkLimiter) setShareSource(share func() float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shareSource = share
}

func (l *linkLimiter) settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.refresh()
	for _, o := range l.outgoing {
		if !o.rateLimit.WithinShare(now) {
			return false
		}
	}
	return true
}

// usesLink reports whether traffic to a region uses a link. A region that is not
// known counts as another one, to which there is no link.
func (l *linkLimiter) usesLink(region string) bool { return region != l.region && !l.disabled }

// refresh applies the document and the share in force. It is called with mu
// held and returns the current time.
func (l *linkLimiter) refresh() time.Time {
	now := l.now()
	share := 0.0
	if l.shareSource != nil {
		share = min(max(l.shareSource(), 0), 1)
	}
	d := l.document()
	if d == l.appliedDocument && share == l.appliedShare {
		return now
	}
	l.appliedDocument, l.appliedShare = d, share
	l.applyCaps(now, d, share)
	return now
}

// applyCaps sets the share of each link. A link that the document no longer
// has keeps its loans and gets a share of 0.
func (l *linkLimiter) applyCaps(now time.Time, d *policy.Document, share float64) {
	caps := map[string]int64{}
	if d != nil {
		for _, link := range d.Links {
			if link.From == l.region {
				caps[link.To] = dataCap(link.CapMbit)
			}
		}
	}
	for to := range caps {
		if l.outgoing[to] == nil {
			l.outgoing[to] = newOutgoingLink(now, to)
		}
	}
	for to, o := range l.outgoing {
		o.capRate = caps[to]
		l.setLinkShare(now, o, int64(float64(o.capRate)*share))
		o.applyMoves(now, l.region, d, share)
	}
}

func newOutgoingLink(now time.Time, to string) *outgoingLink {
	link := linkcap.NewLink(now, 0)
	return &outgoingLink{to: to, rateLimit: link, queue: linkcap.NewQueue(link),
		moveBuckets: map[string]*linkcap.Bucket{}, reservations: map[uint64]chan linkcap.Ticket{}}
}

func (l *linkLimiter) setLinkShare(now time.Time, o *outgoingLink, share int64) {
	if share == o.shareRate {
		return
	}
	o.shareRate = share
	o.rateLimit.SetShare(now, share)
	l.events.Emit(events.LinkShareChanged, log.Fields{"from": l.region, "to": o.to, "bytesPerSecond": share, "tableVersion": l.tableVersion()})
}

func (o *outgoingLink) applyMoves(now time.Time, own string, d *policy.Document, share float64) {
	caps := map[string]int64{}
	if d != nil {
		for _, m := range d.Moves {
			if m.From == own && m.To == o.to {
				caps[m.Key()] = dataCap(m.CapMbit)
			}
		}
	}
	for key := range caps {
		if o.moveBuckets[key] == nil {
			o.moveBuckets[key] = linkcap.NewBucket(now, 0)
		}
	}
	for key, bucket := range o.moveBuckets {
		bucket.SetShare(now, int64(float64(caps[key])*share))
	}
}

// dataCap returns the part of a cap that requests and answers may use, in bytes
// per second.
func dataCap(megabits int) int64 {
	return linkcap.BytesPerSecond(megabits) * (100 - controlPercent) / 100
}

// maxFrameBytes returns the most bytes that one frame to a region may have.
func (l *linkLimiter) maxFrameBytes(to, move string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh()
	o := l.outgoing[to]
	if o == nil {
		return 0
	}
	return o.queue.ChunkSize(maxRelayFrameBytes, o.moveBuckets[move])
}

// acquire waits until bytes may be written to a region, at most maxWait and until
// ctx ends. Move is the key of the move that the traffic belongs to, or "". The
// error is a *linkcap.RefusalError or that of ctx; nothing was taken then.
func (l *linkLimiter) acquire(ctx context.Context, to, move string, bytes int64, maxWait time.Duration) (*writePermit, error) {
	o, number, granted, err := l.reserve(to, move, bytes, maxWait)
	if err == nil {
		var ticket linkcap.Ticket
		select {
		case ticket = <-granted:
		case <-ctx.Done():
			l.cancelReservation(o, number, granted)
			return nil, ctx.Err()
		}
		if ticket.Granted {
			return &writePermit{limiter: l, outgoing: o, ticket: ticket}, nil
		}
		err = &linkcap.RefusalError{Reason: ticket.RefusalReason, Bytes: bytes}
	}
	l.logRefusal(to, err)
	return nil, err
}

func (l *linkLimiter) logRefusal(to string, err error) {
	var refusal *linkcap.RefusalError
	if errors.As(err, &refusal) {
		l.events.Emit(events.LinkRefused, log.Fields{"from": l.region, "to": to, "bytes": refusal.Bytes, "reason": string(refusal.Reason)})
	}
}

func (l *linkLimiter) reserve(to, move string, bytes int64, maxWait time.Duration) (*outgoingLink, uint64, chan linkcap.Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.refresh()
	o := l.outgoing[to]
	if o == nil || move != "" && o.moveBuckets[move] == nil {
		return nil, 0, nil, &linkcap.RefusalError{Reason: reasonNoLink, Bytes: bytes}
	}
	number, err := o.queue.Reserve(now, bytes, o.moveBuckets[move], maxWait)
	if err != nil {
		l.startBorrow(now, o)
		return nil, 0, nil, err
	}
	granted := make(chan linkcap.Ticket, 1)
	o.reservations[number] = granted
	l.advance(now, o)
	return o, number, granted, nil
}

// advance hands out the grants of a link and borrows for what still waits.
func (l *linkLimiter) advance(now time.Time, o *outgoingLink) {
	for _, t := range o.queue.Advance(now) {
		granted := o.reservations[t.Number]
		delete(o.reservations, t.Number)
		if granted != nil {
			granted <- t
		} else if t.Granted {
			o.queue.MarkWritten(now, t)
		}
	}
	if o.queue.Len() > 0 {
		l.startBorrow(now, o)
		l.scheduleAdvance(now, o)
	}
}

func (l *linkLimiter) scheduleAdvance(now time.Time, o *outgoingLink) {
	if o.advanceScheduled {
		return
	}
	o.advanceScheduled = true
	wait, ok := o.queue.TimeUntilGrant(now)
	if !ok {
		wait = maxGrantInterval
	}
	l.callLater(min(max(wait, minGrantInterval), maxGrantInterval), func() { l.runScheduledAdvance(o) })
}

func (l *linkLimiter) runScheduledAdvance(o *outgoingLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.advanceScheduled = false
	l.advance(l.refresh(), o)
}

// cancelReservation gives up a reservation whose request ended while it waited.
func (l *linkLimiter) cancelReservation(o *outgoingLink, number uint64, granted chan linkcap.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waits := o.reservations[number]; waits {
		o.reservations[number] = nil
		return
	}
	if t := <-granted; t.Granted {
		o.queue.MarkWritten(l.now(), t)
	}
}

// release reports that the bytes have been written or will not be.
func (e *writePermit) release() {
	e.limiter.mu.Lock()
	defer e.limiter.mu.Unlock()
	e.outgoing.queue.MarkWritten(e.limiter.now(), e.ticket)
}
