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
	// controlPercent of a link's cap is reserved for control messages between
	// regions, which are not limited. An instance sends less than 9 KB/s of
	// them in total. The smallest link in the deployments has 280 Mbit/s (35
	// MB/s) and 4 instances at its end: these need 36 KB/s of the 700 KB/s
	// reserved.
	controlPercent = 2
	// minGrantInterval and maxGrantInterval bound the time between two runs of
	// advance for a queue with waiting reservations.
	minGrantInterval = time.Millisecond
	maxGrantInterval = 20 * time.Millisecond
)

// reasonNoLink is the refusal reason for traffic without a link or a move in
// the document.
const reasonNoLink linkcap.Reason = "no-link"

// linkLimiter limits the rate at which an instance writes to other regions. It
// is safe for concurrent use.
type linkLimiter struct {
	region       string // Region of the instance.
	now          func() time.Time
	callLater    func(time.Duration, func()) // time.AfterFunc, or a fake in tests.
	document     func() *policy.Document
	tableVersion func() uint64 // Version of the member table, for events.
	lenders      lenderPeers
	events       *events.Log
	disabled     bool // Tests only: writes are not limited.

	mu              sync.Mutex
	shareSource     func() float64 // Instance's fraction of each cap, 0 to 1; nil until it is set.
	appliedDocument *policy.Document
	appliedShare    float64
	outgoing        map[string]*outgoingLink // By destination region.
	borrowsInFlight int                      // Borrow calls in flight.
}

// outgoingLink is the link to one region. Its fields are guarded by
// linkLimiter.mu.
type outgoingLink struct {
	to               string
	capRate          int64 // Rate for requests and responses of all instances, in bytes per second.
	shareRate        int64 // This instance's part of capRate, in bytes per second.
	rateLimit        *linkcap.Link
	queue            *linkcap.Queue
	moveBuckets      map[string]*linkcap.Bucket // By policy.Move.Key.
	reservations     map[uint64]chan linkcap.Ticket
	advanceScheduled bool
}

// writePermit permits writing a number of bytes to another region now. release
// must be called afterwards.
type writePermit struct {
	limiter  *linkLimiter
	outgoing *outgoingLink
	ticket   linkcap.Ticket
}

// newLinkLimiter returns a limiter without a share: nothing can be written to
// other regions until setShareSource is called.
func newLinkLimiter(region string, document func() *policy.Document, l *events.Log) *linkLimiter {
	return &linkLimiter{region: region, document: document, events: l, now: time.Now,
		callLater:    func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		tableVersion: func() uint64 { return 0 }, outgoing: map[string]*outgoingLink{}}
}

// SetLinkShare sets the function that returns the instance's fraction of the
// cap of each link, from 0 to 1. It is called with each use of a link and must
// not block. Until it is set, nothing is written to other regions.
func (inst *Instance) SetLinkShare(share func() float64) { inst.linkLimiter.setShareSource(share) }

// LinksSettled reports whether the writes that the instance has permitted, and
// the rate that it has lent, are within its current share. The instance may
// confirm a member table that reduces its share only when this is the case.
func (inst *Instance) LinksSettled() bool { return inst.linkLimiter.settled() }

func (limiter *linkLimiter) setShareSource(share func() float64) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.shareSource = share
}

func (limiter *linkLimiter) settled() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.refresh()
	for _, link := range limiter.outgoing {
		if !link.rateLimit.WithinShare(now) {
			return false
		}
	}
	return true
}

// usesLink reports whether traffic to a region is limited. An unknown region
// counts as another region without a link.
func (limiter *linkLimiter) usesLink(region string) bool {
	return region != limiter.region && !limiter.disabled
}

// refresh applies the current document and share, and returns the current time.
// The caller holds mu.
func (limiter *linkLimiter) refresh() time.Time {
	now := limiter.now()
	share := 0.0
	if limiter.shareSource != nil {
		share = min(max(limiter.shareSource(), 0), 1)
	}
	document := limiter.document()
	if document == limiter.appliedDocument && share == limiter.appliedShare {
		return now
	}
	limiter.appliedDocument, limiter.appliedShare = document, share
	limiter.applyCaps(now, document, share)
	return now
}

// applyCaps sets the share of each link. A link that was removed from the
// document keeps its loans and gets a share of 0.
func (limiter *linkLimiter) applyCaps(now time.Time, document *policy.Document, share float64) {
	caps := map[string]int64{}
	if document != nil {
		for _, link := range document.Links {
			if link.From == limiter.region {
				caps[link.To] = dataCap(link.CapMbit)
			}
		}
	}
	for to := range caps {
		if limiter.outgoing[to] == nil {
			limiter.outgoing[to] = newOutgoingLink(now, to)
		}
	}
	for to, outgoing := range limiter.outgoing {
		outgoing.capRate = caps[to]
		limiter.setLinkShare(now, outgoing, int64(float64(outgoing.capRate)*share))
		outgoing.applyMoves(now, limiter.region, document, share)
	}
}

func newOutgoingLink(now time.Time, to string) *outgoingLink {
	link := linkcap.NewLink(now, 0)
	return &outgoingLink{to: to, rateLimit: link, queue: linkcap.NewQueue(link),
		moveBuckets: map[string]*linkcap.Bucket{}, reservations: map[uint64]chan linkcap.Ticket{}}
}

func (limiter *linkLimiter) setLinkShare(now time.Time, link *outgoingLink, share int64) {
	if share == link.shareRate {
		return
	}
	link.shareRate = share
	link.rateLimit.SetShare(now, share)
	limiter.events.Emit(events.LinkShareChanged, log.Fields{"from": limiter.region, "to": link.to,
		"bytesPerSecond": share, "tableVersion": limiter.tableVersion()})
}

func (link *outgoingLink) applyMoves(now time.Time, from string, document *policy.Document, share float64) {
	caps := map[string]int64{}
	if document != nil {
		for _, move := range document.Moves {
			if move.From == from && move.To == link.to {
				caps[move.Key()] = dataCap(move.CapMbit)
			}
		}
	}
	for key := range caps {
		if link.moveBuckets[key] == nil {
			link.moveBuckets[key] = linkcap.NewBucket(now, 0)
		}
	}
	for key, bucket := range link.moveBuckets {
		bucket.SetShare(now, int64(float64(caps[key])*share))
	}
}

// dataCap returns the part of a cap that is available to requests and
// responses, in bytes per second.
func dataCap(megabits int) int64 {
	return linkcap.BytesPerSecond(megabits) * (100 - controlPercent) / 100
}

// maxFrameBytes returns the maximum size of one frame to a region.
func (limiter *linkLimiter) maxFrameBytes(to, moveKey string) int64 {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.refresh()
	link := limiter.outgoing[to]
	if link == nil {
		return 0
	}
	return link.queue.ChunkSize(maxRelayFrameBytes, link.moveBuckets[moveKey])
}

// acquire waits until the bytes may be written to a region, for at most maxWait
// and until ctx ends. moveKey is the key of the move that the traffic belongs
// to, or "". On failure, it returns a *linkcap.RefusalError or the error of ctx, and
// no bytes are used.
func (limiter *linkLimiter) acquire(ctx context.Context, to, moveKey string, bytes int64, maxWait time.Duration) (*writePermit, error) {
	link, number, granted, err := limiter.reserve(to, moveKey, bytes, maxWait)
	if err == nil {
		var ticket linkcap.Ticket
		select {
		case ticket = <-granted:
		case <-ctx.Done():
			limiter.cancelReservation(link, number, granted)
			return nil, ctx.Err()
		}
		if ticket.Granted {
			return &writePermit{limiter: limiter, outgoing: link, ticket: ticket}, nil
		}
		err = &linkcap.RefusalError{Reason: ticket.RefusalReason, Bytes: bytes}
	}
	limiter.logRefusal(to, err)
	return nil, err
}

func (limiter *linkLimiter) logRefusal(to string, err error) {
	var refusal *linkcap.RefusalError
	if errors.As(err, &refusal) {
		limiter.events.Emit(events.LinkRefused, log.Fields{"from": limiter.region, "to": to, "bytes": refusal.Bytes, "reason": string(refusal.Reason)})
	}
}

func (limiter *linkLimiter) reserve(to, moveKey string, bytes int64, maxWait time.Duration) (*outgoingLink, uint64, chan linkcap.Ticket, error) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.refresh()
	link := limiter.outgoing[to]
	if link == nil || moveKey != "" && link.moveBuckets[moveKey] == nil {
		return nil, 0, nil, &linkcap.RefusalError{Reason: reasonNoLink, Bytes: bytes}
	}
	number, err := link.queue.Reserve(now, bytes, link.moveBuckets[moveKey], maxWait)
	if err != nil {
		limiter.startBorrow(now, link)
		return nil, 0, nil, err
	}
	granted := make(chan linkcap.Ticket, 1)
	link.reservations[number] = granted
	limiter.advance(now, link)
	return link, number, granted, nil
}

// advance passes granted tickets to the waiting writers and borrows rate for
// those that still wait.
func (limiter *linkLimiter) advance(now time.Time, link *outgoingLink) {
	for _, ticket := range link.queue.Advance(now) {
		granted := link.reservations[ticket.Number]
		delete(link.reservations, ticket.Number)
		if granted != nil {
			granted <- ticket
		} else if ticket.Granted {
			link.queue.MarkWritten(now, ticket)
		}
	}
	if link.queue.Len() > 0 {
		limiter.startBorrow(now, link)
		limiter.scheduleAdvance(now, link)
	}
}

func (limiter *linkLimiter) scheduleAdvance(now time.Time, link *outgoingLink) {
	if link.advanceScheduled {
		return
	}
	link.advanceScheduled = true
	wait, ok := link.queue.TimeUntilGrant(now)
	if !ok {
		wait = maxGrantInterval
	}
	limiter.callLater(min(max(wait, minGrantInterval), maxGrantInterval), func() { limiter.runScheduledAdvance(link) })
}

func (limiter *linkLimiter) runScheduledAdvance(link *outgoingLink) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	link.advanceScheduled = false
	limiter.advance(limiter.refresh(), link)
}

// cancelReservation cancels the reservation of a writer that stopped waiting.
func (limiter *linkLimiter) cancelReservation(link *outgoingLink, number uint64, granted chan linkcap.Ticket) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if _, waits := link.reservations[number]; waits {
		link.reservations[number] = nil
		return
	}
	if ticket := <-granted; ticket.Granted {
		link.queue.MarkWritten(limiter.now(), ticket)
	}
}

// release reports that the bytes were written or will not be written.
func (permit *writePermit) release() {
	permit.limiter.mu.Lock()
	defer permit.limiter.mu.Unlock()
	permit.outgoing.queue.MarkWritten(permit.limiter.now(), permit.ticket)
}
