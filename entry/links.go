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

// linkReason is the cause of a refusal for traffic that no link or move of the
// document covers.
const linkReason linkcap.Reason = "no-link"

// links limits what an instance writes to other regions. It is safe for
// concurrent use.
type links struct {
	own      string // Region of the instance.
	now      func() time.Time
	after    func(time.Duration, func()) // Calls a function later.
	document func() *policy.Document
	version  func() uint64 // Of the member table, for events.
	lenders  lenders
	events   *events.Log
	off      bool // Tests only: takes no tokens.

	mu        sync.Mutex
	share     func() float64 // Part of each cap, 0 to 1; nil until it is set.
	applied   *policy.Document
	appliedBy float64
	out       map[string]*outLink // By the region at the other end.
	asking    int                 // Borrow calls in flight.
}

// outLink is the link to one region. Its fields are guarded by links.mu.
type outLink struct {
	to      string
	cap     int64 // Bytes per second of all instances without the control part.
	share   int64 // Part of cap in force, in bytes per second.
	link    *linkcap.Link
	queue   *linkcap.Queue
	moves   map[string]*linkcap.Bucket // By policy.Move.Key.
	waiting map[uint64]chan linkcap.Ticket
	waking  bool
}

// lease is a right to write bytes to another region now. Written must follow.
type lease struct {
	links  *links
	out    *outLink
	ticket linkcap.Ticket
}

// newLinks returns links without a share: nothing can be written to another
// region until setShare.
func newLinks(own string, document func() *policy.Document, l *events.Log) *links {
	return &links{own: own, document: document, events: l, now: time.Now,
		after:   func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		version: func() uint64 { return 0 }, out: map[string]*outLink{}}
}

// SetLinkShare sets the source of the instance's part of the cap of each link,
// from 0 to 1. It is read with each use of a link and must not block. Until it
// is set, nothing is written to other regions.
func (in *Instance) SetLinkShare(share func() float64) { in.links.setShare(share) }

// LinksSettled reports whether what the instance may write to other regions and
// what it has lent are within its present share. It may acknowledge a member
// table that makes its share smaller only then.
func (in *Instance) LinksSettled() bool { return in.links.settled() }

func (l *links) setShare(share func() float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

func (l *links) settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.refresh()
	for _, o := range l.out {
		if !o.link.WithinShare(now) {
			return false
		}
	}
	return true
}

// crosses reports whether traffic to a region uses a link. A region that is not
// known counts as another one, to which there is no link.
func (l *links) crosses(region string) bool { return region != l.own && !l.off }

// refresh applies the document and the share in force. It is called with mu
// held and returns the current time.
func (l *links) refresh() time.Time {
	now := l.now()
	share := 0.0
	if l.share != nil {
		share = min(max(l.share(), 0), 1)
	}
	d := l.document()
	if d == l.applied && share == l.appliedBy {
		return now
	}
	l.applied, l.appliedBy = d, share
	l.applyCaps(now, d, share)
	return now
}

// applyCaps sets the share of each link. A link that the document no longer
// has keeps its loans and gets a share of 0.
func (l *links) applyCaps(now time.Time, d *policy.Document, share float64) {
	caps := map[string]int64{}
	if d != nil {
		for _, link := range d.Links {
			if link.From == l.own {
				caps[link.To] = dataCap(link.CapMbit)
			}
		}
	}
	for to := range caps {
		if l.out[to] == nil {
			l.out[to] = newOutLink(now, to)
		}
	}
	for to, o := range l.out {
		o.cap = caps[to]
		l.setLinkShare(now, o, int64(float64(o.cap)*share))
		o.applyMoves(now, l.own, d, share)
	}
}

func newOutLink(now time.Time, to string) *outLink {
	link := linkcap.NewLink(now, 0)
	return &outLink{to: to, link: link, queue: linkcap.NewQueue(link),
		moves: map[string]*linkcap.Bucket{}, waiting: map[uint64]chan linkcap.Ticket{}}
}

func (l *links) setLinkShare(now time.Time, o *outLink, share int64) {
	if share == o.share {
		return
	}
	o.share = share
	o.link.SetShare(now, share)
	l.events.Emit(events.LinkShareChanged, log.Fields{"from": l.own, "to": o.to, "bytesPerSecond": share, "tableVersion": l.version()})
}

func (o *outLink) applyMoves(now time.Time, own string, d *policy.Document, share float64) {
	caps := map[string]int64{}
	if d != nil {
		for _, m := range d.Moves {
			if m.From == own && m.To == o.to {
				caps[m.Key()] = dataCap(m.CapMbit)
			}
		}
	}
	for key := range caps {
		if o.moves[key] == nil {
			o.moves[key] = linkcap.NewBucket(now, 0)
		}
	}
	for key, bucket := range o.moves {
		bucket.SetShare(now, int64(float64(caps[key])*share))
	}
}

// dataCap returns the part of a cap that requests and answers may use, in bytes
// per second.
func dataCap(megabits int) int64 {
	return linkcap.BytesPerSecond(megabits) * (100 - controlPercent) / 100
}

// largest returns the most bytes that one frame to a region may have.
func (l *links) largest(to, move string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh()
	o := l.out[to]
	if o == nil {
		return 0
	}
	return o.queue.ChunkSize(relayFrameBytes, o.moves[move])
}

// take waits until bytes may be written to a region, at most maxWait and until
// ctx ends. Move is the key of the move that the traffic belongs to, or "". The
// error is a *linkcap.RefusalError or that of ctx; nothing was taken then.
func (l *links) take(ctx context.Context, to, move string, bytes int64, maxWait time.Duration) (*lease, error) {
	o, number, granted, err := l.reserve(to, move, bytes, maxWait)
	if err == nil {
		var ticket linkcap.Ticket
		select {
		case ticket = <-granted:
		case <-ctx.Done():
			l.abandon(o, number, granted)
			return nil, ctx.Err()
		}
		if ticket.Granted {
			return &lease{links: l, out: o, ticket: ticket}, nil
		}
		err = &linkcap.RefusalError{Reason: ticket.RefusalReason, Bytes: bytes}
	}
	l.emitRefused(to, err)
	return nil, err
}

func (l *links) emitRefused(to string, err error) {
	var refusal *linkcap.RefusalError
	if errors.As(err, &refusal) {
		l.events.Emit(events.LinkRefused, log.Fields{"from": l.own, "to": to, "bytes": refusal.Bytes, "reason": string(refusal.Reason)})
	}
}

func (l *links) reserve(to, move string, bytes int64, maxWait time.Duration) (*outLink, uint64, chan linkcap.Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.refresh()
	o := l.out[to]
	if o == nil || move != "" && o.moves[move] == nil {
		return nil, 0, nil, &linkcap.RefusalError{Reason: linkReason, Bytes: bytes}
	}
	number, err := o.queue.Reserve(now, bytes, o.moves[move], maxWait)
	if err != nil {
		l.ask(now, o)
		return nil, 0, nil, err
	}
	granted := make(chan linkcap.Ticket, 1)
	o.waiting[number] = granted
	l.advance(now, o)
	return o, number, granted, nil
}

// advance hands out the grants of a link and borrows for what still waits.
func (l *links) advance(now time.Time, o *outLink) {
	for _, t := range o.queue.Advance(now) {
		granted := o.waiting[t.Number]
		delete(o.waiting, t.Number)
		if granted != nil {
			granted <- t
		} else if t.Granted {
			o.queue.MarkWritten(now, t)
		}
	}
	if o.queue.Len() > 0 {
		l.ask(now, o)
		l.wakeLater(now, o)
	}
}

func (l *links) wakeLater(now time.Time, o *outLink) {
	if o.waking {
		return
	}
	o.waking = true
	wait, ok := o.queue.TimeUntilGrant(now)
	if !ok {
		wait = maxGrantInterval
	}
	l.after(min(max(wait, minGrantInterval), maxGrantInterval), func() { l.wake(o) })
}

func (l *links) wake(o *outLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.waking = false
	l.advance(l.refresh(), o)
}

// abandon gives up a reservation whose request ended while it waited.
func (l *links) abandon(o *outLink, number uint64, granted chan linkcap.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waits := o.waiting[number]; waits {
		o.waiting[number] = nil
		return
	}
	if t := <-granted; t.Granted {
		o.queue.MarkWritten(l.now(), t)
	}
}

// written reports that the bytes have been written or will not be.
func (e *lease) written() {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	e.out.queue.MarkWritten(e.links.now(), e.ticket)
}
