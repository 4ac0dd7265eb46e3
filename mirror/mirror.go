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
	// watchTimeout is how long a watch waits for a change. A connection that has
	// gone silent is found after it, within the stability time of a deployment.
	watchTimeout = 2 * time.Second
	// lostWatchTimeout is how long a watch waits while the store does not answer, so that
	// its return and the news of peers are noticed soon.
	lostWatchTimeout = 20 * time.Millisecond
	// maxWatchLag is how long a watch may be behind what a peer tells.
	maxWatchLag = 300 * time.Millisecond
	// changePause is the pause between a change and the next watch. Changes that
	// come close together then cost one call.
	changePause = 100 * time.Millisecond
	// joinPollInterval is how often an instance that starts looks for others.
	joinPollInterval = 20 * time.Millisecond
	// startupPeriod is how long after its start an instance pauses for startSettle
	// instead: instances that start together register together, and none of them
	// knows yet that another one of its domain watches for all.
	startupPeriod      = 3 * time.Second
	startupChangePause = 500 * time.Millisecond
	// Pauses between failed calls, doubled from the first to the last. A third
	// is added at random, so that instances do not call together.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// renewalGrace is how long a record that lapsed while the store was away
	// still counts after its return: writers that live are back within 2 s.
	renewalGrace = 2200 * time.Millisecond
	// minPeerFetchInterval is the shortest time between two exchanges with peers while the
	// store does not answer.
	minPeerFetchInterval = 250 * time.Millisecond
	// followPollInterval is how often an instance that leaves the watch to others looks
	// whether that still holds. Changes wake it sooner.
	followPollInterval = 250 * time.Millisecond
)

// Codec translates records.
type Codec interface {
	DecodeUpdate(item kv.Item, read time.Time) (steering.Update, error)
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
	// WatchesStore reports whether this instance watches the store itself. Others
	// take the changes from a peer that does. Nil means always.
	WatchesStore func() bool
	// DefersFirstRead reports whether this instance should wait for a peer that reads the
	// records for all before it reads them itself. Nil means never.
	DefersFirstRead func() bool
	// NewerPeer returns a peer with a higher revision, if there is one.
	NewerPeer func(revision uint64) (Peer, bool)
	// Fetch returns what has changed at a peer after a revision.
	Fetch func(ctx context.Context, p Peer, after uint64) (Snapshot, error)
	// OnStateChanged is called after each switch, from the mirror's goroutine.
	OnStateChanged func(before, after *steering.State)
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
	options      Options
	state        atomic.Pointer[steering.State]
	storeFailing atomic.Bool               // The last call to the store failed.
	lastResponse atomic.Pointer[time.Time] // When the store last answered; a steady time, which setting the clock does not change.

	mu            sync.Mutex // Guards items, revision, recent and returned.
	items         map[string]kv.Item
	revision      uint64
	history       history
	storeReturned time.Time // When the store last answered again, here or at a peer.

	started time.Time

	wake          chan struct{} // Holds a token when a peer has told of a change.
	loaded        bool          // All records were read from the store.
	lostSince     time.Time     // Since when the store does not answer; zero when it does.
	heldTargets   map[string]time.Time
	lastPeerFetch time.Time // Last exchange with a peer.
}

// New returns a mirror without records.
func New(o Options) *Mirror {
	m := &Mirror{options: o, started: time.Now(), items: map[string]kv.Item{}, heldTargets: map[string]time.Time{}, wake: make(chan struct{}, 1)}
	m.state.Store(steering.NewState().Apply(0, nil))
	return m
}

// State returns what is in force. It is never nil.
func (m *Mirror) State() *steering.State { return m.state.Load() }

// StoreReachable reports whether the store answered here within a time, and every call
// since.
func (m *Mirror) StoreReachable(now time.Time, within time.Duration) bool {
	at := m.lastResponse.Load()
	return at != nil && now.Sub(*at) < within && !m.storeFailing.Load()
}

// ClearStoreReachable withdraws Hears until the store answers again. It is called when the
// process was paused: the store may have given others what this one had.
func (m *Mirror) ClearStoreReachable() { m.storeFailing.Store(true) }

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minBackoff
	reason := "start"
	for ctx.Err() == nil {
		m.removeExpiredTargets(time.Now())
		if !m.loaded && m.options.DefersFirstRead != nil {
			if m.fetchFromPeer(ctx) {
				continue
			}
			if m.options.DefersFirstRead() {
				sleep(ctx, joinPollInterval)
				continue
			}
		}
		if m.loaded && m.options.WatchesStore != nil && !m.options.WatchesStore() {
			m.followPeer(ctx)
			continue
		}
		var err error
		if !m.loaded {
			err = m.readAll(ctx, reason)
		} else {
			err = m.watchStore(ctx)
		}
		if errors.Is(err, kv.ErrHistoryGone) {
			m.loaded, reason = false, "history-gone"
			continue
		}
		if err == nil {
			pause = minBackoff
			continue
		}
		m.handleStoreError(err)
		m.fetchDuringOutage(ctx)
		sleep(ctx, pause+time.Duration(rand.Int64N(int64(pause/3))))
		pause = min(2*pause, maxBackoff)
	}
}

// readAll replaces the records by those of the store.
func (m *Mirror) readAll(ctx context.Context, reason string) error {
	items, revision, err := m.options.Store.Range(ctx, m.options.Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	m.handleStoreResponse(now, revision)
	m.loaded = true
	m.options.Events.Emit(events.StoreRead, log.Fields{"revision": revision, "items": len(items), "reason": reason})
	m.replaceAll(items, revision, now, "store")
	return nil
}

// watchResult is the result of a watch.
type watchResult struct {
	items    []kv.Item
	revision uint64
	err      error
}

// watchStore waits for changes and applies them. When a peer tells of changes that
// the watch does not bring, they are taken from the peer.
func (m *Mirror) watchStore(ctx context.Context) error {
	after, wait := m.Revision(), m.nextWatchTimeout(time.Now())
	watch := make(chan watchResult, 1)
	go func() {
		items, revision, err := m.options.Store.Watch(ctx, m.options.Prefix, after, wait)
		watch <- watchResult{items, revision, err}
	}()
	var late <-chan time.Time
	for {
		select {
		case c := <-watch:
			return m.handleWatchResult(ctx, c)
		case <-m.wake:
			if late == nil {
				late = time.After(maxWatchLag)
			}
		case <-late:
			late = nil
			m.fetchFromPeer(ctx)
		}
	}
}

func (m *Mirror) handleWatchResult(ctx context.Context, c watchResult) error {
	if c.err != nil {
		return c.err
	}
	now := time.Now()
	m.handleStoreResponse(now, c.revision)
	m.apply(c.items, c.revision, now, "store")
	if len(c.items) > 0 {
		sleep(ctx, m.pauseAfterChange(now))
	}
	return nil
}

// pauseAfterChange is the pause after a change. The configuration is waited for without
// the long one: nothing can be served before it.
func (m *Mirror) pauseAfterChange(now time.Time) time.Duration {
	if now.Sub(m.started) < startupPeriod && m.State().Config != nil {
		return startupChangePause
	}
	return changePause
}

// nextWatchTimeout bounds a watch, so that held records are released in time.
func (m *Mirror) nextWatchTimeout(now time.Time) time.Duration {
	wait := watchTimeout
	if !m.lostSince.IsZero() {
		wait = lostWatchTimeout
	}
	for _, until := range m.heldTargets {
		wait = min(wait, max(lostWatchTimeout, until.Sub(now)))
	}
	return wait
}

// Revision returns the revision that the records are at.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

func (m *Mirror) handleStoreError(err error) {
	m.storeFailing.Store(true)
	if !m.lostSince.IsZero() {
		return
	}
	m.lostSince = time.Now()
	op := ""
	var call *kv.Error
	if errors.As(err, &call) {
		op = call.Op
	}
	m.options.Events.Emit(events.StoreLost, log.Fields{"revision": m.Revision(), "op": op, "error": err.Error()})
}

func (m *Mirror) handleStoreResponse(now time.Time, revision uint64) {
	m.lastResponse.Store(&now)
	m.storeFailing.Store(false)
	if m.lostSince.IsZero() {
		return
	}
	m.options.Events.Emit(events.StoreRegained, log.Fields{"revision": revision, "lostMs": now.Sub(m.lostSince).Milliseconds()})
	m.lostSince = time.Time{}
	m.setStoreReturned(now)
}

func (m *Mirror) setStoreReturned(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeReturned = at
}

// renewalDeadline returns when the writers of records that lapsed during the store's
// last absence have had time to renew them.
func (m *Mirror) renewalDeadline() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeReturned.IsZero() {
		return time.Time{}
	}
	return m.storeReturned.Add(renewalGrace)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
