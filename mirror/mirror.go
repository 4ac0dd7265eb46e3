package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// watchWait is how long a watch waits for a change. A connection that has
	// gone silent is found after it, within the stability time of a deployment.
	watchWait = 2 * time.Second
	// lostWait is how long a watch waits while the store does not answer, so that
	// its return and the news of peers are noticed soon.
	lostWait = 20 * time.Millisecond
	// watchLag is how long a watch may be behind what a peer tells.
	watchLag = 300 * time.Millisecond
	// settle is the pause between a change and the next watch. Changes that
	// come close together then cost one call.
	settle = 100 * time.Millisecond
	// joinPause is how often an instance that starts looks for others.
	joinPause = 20 * time.Millisecond
	// startTime is how long after its start an instance pauses for startSettle
	// instead: instances that start together register together, and none of them
	// knows yet that another one of its domain watches for all.
	startTime   = 3 * time.Second
	startSettle = 500 * time.Millisecond
	// Pauses between failed calls, doubled from the first to the last. A third
	// is added at random, so that instances do not call together.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// returnGrace is how long a record that lapsed while the store was away
	// still counts after its return: writers that live are back within 2 s.
	returnGrace = 2200 * time.Millisecond
	// peerPause is the shortest time between two exchanges with peers while the
	// store does not answer.
	peerPause = 250 * time.Millisecond
	// followPause is how often an instance that leaves the watch to others looks
	// whether that still holds. Changes wake it sooner.
	followPause = 250 * time.Millisecond
)

// Codec translates records.
type Codec interface {
	DecodeUpdate(item kv.Item, read time.Time) (steering.Fact, error)
}

// Peer is an instance that believes in a newer state.
type Peer struct {
	Name     string
	Address  string
	Revision uint64
}

// Options configure a Mirror.
type Options struct {
	Store  kv.Store
	Prefix string // Prefix of all keys that are mirrored.
	Codec  Codec
	Events *events.Log
	// Watches reports whether this instance watches the store itself. Others
	// take the changes from a peer that does. Nil means always.
	Watches func() bool
	// Joining reports whether this instance should wait for a peer that reads the
	// records for all before it reads them itself. Nil means never.
	Joining func() bool
	// Newer returns a peer with a higher revision, if there is one.
	Newer func(revision uint64) (Peer, bool)
	// Fetch returns what has changed at a peer after a revision.
	Fetch func(ctx context.Context, p Peer, after uint64) (Snapshot, error)
	// Changed is called after each switch, from the mirror's goroutine.
	Changed func(before, after *steering.World)
}

// Snapshot is what peers exchange: all records at a revision, or the changes
// that lead to it.
type Snapshot struct {
	Revision uint64
	Whole    bool // Items are all records.
	Items    []kv.Item
	// ReturnedMs is how long ago the store began to answer again, in
	// milliseconds. It is 0 when that is too long ago to matter.
	ReturnedMs int64
}

// Mirror holds the records and the world built from them. World, Snapshot and
// Hears may be called from any goroutine.
type Mirror struct {
	options Options
	world   atomic.Pointer[steering.World]
	failing atomic.Bool               // The last call to the store failed.
	heard   atomic.Pointer[time.Time] // When the store last answered; a steady time, which setting the clock does not change.

	mu       sync.Mutex // Guards items, revision, recent and returned.
	items    map[string]kv.Item
	revision uint64
	recent   history
	returned time.Time // When the store last answered again, here or at a peer.

	started time.Time

	wake  chan struct{} // Holds a token when a peer has told of a change.
	read  bool          // All records were read from the store.
	lost  time.Time     // Since when the store does not answer; zero when it does.
	held  map[string]time.Time
	asked time.Time // Last exchange with a peer.
}

// New returns a mirror without records.
func New(o Options) *Mirror {
	m := &Mirror{options: o, started: time.Now(), items: map[string]kv.Item{}, held: map[string]time.Time{}, wake: make(chan struct{}, 1)}
	m.world.Store(steering.NewWorld().With(0, nil))
	return m
}

// World returns what is in force. It is never nil.
func (m *Mirror) World() *steering.World { return m.world.Load() }

// Hears reports whether the store answered here within a time, and every call
// since.
func (m *Mirror) Hears(now time.Time, within time.Duration) bool {
	at := m.heard.Load()
	return at != nil && now.Sub(*at) < within && !m.failing.Load()
}

// Doubt withdraws Hears until the store answers again. It is called when the
// process was paused: the store may have given others what this one had.
func (m *Mirror) Doubt() { m.failing.Store(true) }

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := firstPause
	reason := "start"
	for ctx.Err() == nil {
		m.releaseHeld(time.Now())
		if !m.read && m.options.Joining != nil {
			if m.fetch(ctx) {
				continue
			}
			if m.options.Joining() {
				sleep(ctx, joinPause)
				continue
			}
		}
		if m.read && m.options.Watches != nil && !m.options.Watches() {
			m.followPeer(ctx)
			continue
		}
		var err error
		if !m.read {
			err = m.readAll(ctx, reason)
		} else {
			err = m.follow(ctx)
		}
		if errors.Is(err, kv.ErrHistoryGone) {
			m.read, reason = false, "history-gone"
			continue
		}
		if err == nil {
			pause = firstPause
			continue
		}
		m.failed(err)
		m.askPeer(ctx)
		sleep(ctx, pause+time.Duration(rand.Int64N(int64(pause/3))))
		pause = min(2*pause, lastPause)
	}
}

// readAll replaces the records by those of the store.
func (m *Mirror) readAll(ctx context.Context, reason string) error {
	items, revision, err := m.options.Store.Range(ctx, m.options.Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	m.answered(now, revision)
	m.read = true
	m.options.Events.Emit(events.StoreRead, log.Fields{"revision": revision, "items": len(items), "reason": reason})
	m.replace(items, revision, now, "store")
	return nil
}

// changes is the result of a watch.
type changes struct {
	items    []kv.Item
	revision uint64
	err      error
}

// follow waits for changes and applies them. When a peer tells of changes that
// the watch does not bring, they are taken from the peer.
func (m *Mirror) follow(ctx context.Context) error {
	after, wait := m.Revision(), m.wait(time.Now())
	watch := make(chan changes, 1)
	go func() {
		items, revision, err := m.options.Store.Watch(ctx, m.options.Prefix, after, wait)
		watch <- changes{items, revision, err}
	}()
	var late <-chan time.Time
	for {
		select {
		case c := <-watch:
			return m.watched(ctx, c)
		case <-m.wake:
			if late == nil {
				late = time.After(watchLag)
			}
		case <-late:
			late = nil
			m.fetch(ctx)
		}
	}
}

func (m *Mirror) watched(ctx context.Context, c changes) error {
	if c.err != nil {
		return c.err
	}
	now := time.Now()
	m.answered(now, c.revision)
	m.apply(c.items, c.revision, now, "store")
	if len(c.items) > 0 {
		sleep(ctx, m.settle(now))
	}
	return nil
}

// settle is the pause after a change. The configuration is waited for without
// the long one: nothing can be served before it.
func (m *Mirror) settle(now time.Time) time.Duration {
	if now.Sub(m.started) < startTime && m.World().Config != nil {
		return startSettle
	}
	return settle
}

// wait bounds a watch, so that held records are released in time.
func (m *Mirror) wait(now time.Time) time.Duration {
	wait := watchWait
	if !m.lost.IsZero() {
		wait = lostWait
	}
	for _, until := range m.held {
		wait = min(wait, max(lostWait, until.Sub(now)))
	}
	return wait
}

// Revision returns the revision that the records are at.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

func (m *Mirror) failed(err error) {
	m.failing.Store(true)
	if !m.lost.IsZero() {
		return
	}
	m.lost = time.Now()
	op := ""
	var call *kv.Error
	if errors.As(err, &call) {
		op = call.Op
	}
	m.options.Events.Emit(events.StoreLost, log.Fields{"revision": m.Revision(), "op": op, "error": err.Error()})
}

func (m *Mirror) answered(now time.Time, revision uint64) {
	m.heard.Store(&now)
	m.failing.Store(false)
	if m.lost.IsZero() {
		return
	}
	m.options.Events.Emit(events.StoreRegained, log.Fields{"revision": revision, "lostMs": now.Sub(m.lost).Milliseconds()})
	m.lost = time.Time{}
	m.setReturned(now)
}

func (m *Mirror) setReturned(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.returned = at
}

// heldUntil returns when the writers of records that lapsed during the store's
// last absence have had time to renew them.
func (m *Mirror) heldUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.returned.IsZero() {
		return time.Time{}
	}
	return m.returned.Add(returnGrace)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
