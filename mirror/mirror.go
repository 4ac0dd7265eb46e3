package mirror

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
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
	// settle is the pause between a change and the next watch. Changes that
	// come close together then cost one call.
	settle = 100 * time.Millisecond
	// Pauses between failed calls, doubled from the first to the last. A third
	// is added at random, so that instances do not call together.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// returnGrace is how long a record that lapsed while the store was away
	// still counts after its return: writers that live are back within 2 s.
	returnGrace = 2200 * time.Millisecond
	// peerPause is the shortest time between two exchanges with peers.
	peerPause = 250 * time.Millisecond
)

// Codec translates records.
type Codec interface {
	Fact(item kv.Item, read time.Time) (steering.Fact, error)
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
	// Newer returns a peer with a higher revision, if there is one.
	Newer func(revision uint64) (Peer, bool)
	// Fetch returns all records of a peer.
	Fetch func(ctx context.Context, p Peer) (Snapshot, error)
	// Changed is called after each switch, from the mirror's goroutine.
	Changed func(before, after *steering.World)
}

// Snapshot is all records at a revision, as peers exchange them.
type Snapshot struct {
	Revision uint64    `json:"revision"`
	Items    []kv.Item `json:"items"`
}

// Mirror holds the records and the world built from them. World, Snapshot and
// InTouch may be called from any goroutine.
type Mirror struct {
	options Options
	world   atomic.Pointer[steering.World]
	heard   atomic.Int64 // Unix nanoseconds of the store's last answer.

	mu       sync.Mutex // Guards items and revision.
	items    map[string]kv.Item
	revision uint64

	read     bool      // All records were read from the store.
	lost     time.Time // Since when the store does not answer; zero when it does.
	returned time.Time // When it last answered again.
	held     map[string]time.Time
	asked    time.Time // Last exchange with a peer.
}

// New returns a mirror without records.
func New(o Options) *Mirror {
	m := &Mirror{options: o, items: map[string]kv.Item{}, held: map[string]time.Time{}}
	m.world.Store(steering.NewWorld().With(0, nil))
	return m
}

// World returns what is in force. It is never nil.
func (m *Mirror) World() *steering.World { return m.world.Load() }

// Heard returns when the store last answered; zero when it never has.
func (m *Mirror) Heard() time.Time {
	ns := m.heard.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Snapshot returns all records, for a peer.
func (m *Mirror) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := slices.Sorted(maps.Keys(m.items))
	s := Snapshot{Revision: m.revision, Items: make([]kv.Item, 0, len(keys))}
	for _, k := range keys {
		s.Items = append(s.Items, m.items[k])
	}
	return s
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := firstPause
	reason := "start"
	for ctx.Err() == nil {
		m.releaseHeld(time.Now())
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

// follow waits for changes and applies them.
func (m *Mirror) follow(ctx context.Context) error {
	items, revision, err := m.options.Store.Changes(ctx, m.options.Prefix, m.Revision(), m.wait(time.Now()))
	if err != nil {
		return err
	}
	now := time.Now()
	m.answered(now, revision)
	m.apply(items, revision, now, "store")
	if len(items) > 0 {
		sleep(ctx, settle)
	}
	return nil
}

// wait bounds a watch, so that held records are released in time.
func (m *Mirror) wait(now time.Time) time.Duration {
	wait := watchWait
	for _, until := range m.held {
		wait = min(wait, max(50*time.Millisecond, until.Sub(now)))
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
	m.heard.Store(now.UnixNano())
	if m.lost.IsZero() {
		return
	}
	m.options.Events.Emit(events.StoreRegained, log.Fields{"revision": revision, "lostMs": now.Sub(m.lost).Milliseconds()})
	m.lost, m.returned = time.Time{}, now
}

// askPeer takes the records of a peer that is ahead.
func (m *Mirror) askPeer(ctx context.Context) {
	if m.options.Newer == nil || time.Since(m.asked) < peerPause {
		return
	}
	peer, ok := m.options.Newer(m.Revision())
	if !ok {
		return
	}
	m.asked = time.Now()
	s, err := m.options.Fetch(ctx, peer)
	if err != nil {
		m.options.Events.Emit(events.PeerStateNotTaken, log.Fields{"peer": peer.Name, "error": err.Error()})
		return
	}
	if s.Revision <= m.Revision() {
		return
	}
	m.options.Events.Emit(events.PeerStateTaken, log.Fields{"peer": peer.Name, "revision": s.Revision, "items": len(s.Items)})
	m.replace(s.Items, s.Revision, time.Now(), "peer "+peer.Name)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
