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
	OnStateChanged func(before, after *steering.World)
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
	state        atomic.Pointer[steering.World]
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
	m.state.Store(steering.NewWorld().With(0, nil))
	return m
}

// State returns what is in force. It is never nil.
func (mirror *Mirror) State() *steering.World { return mirror.state.Load() }

// StoreReachable reports whether the store answered here within a time, and every call
// since.
func (mirror *Mirror) StoreReachable(now time.Time, within time.Duration) bool {
	at := mirror.lastResponse.Load()
	return at != nil && now.Sub(*at) < within && !mirror.storeFailing.Load()
}

// ClearStoreReachable withdraws Hears until the store answers again. It is called when the
// process was paused: the store may have given others what this one had.
func (mirror *Mirror) ClearStoreReachable() { mirror.storeFailing.Store(true) }

// Run follows the store until ctx ends.
func (mirror *Mirror) Run(ctx context.Context) {
	pause := minBackoff
	reason := "start"
	for ctx.Err() == nil {
		mirror.removeExpiredTargets(time.Now())
		if !mirror.loaded && mirror.options.DefersFirstRead != nil {
			if mirror.fetchFromPeer(ctx) {
				continue
			}
			if mirror.options.DefersFirstRead() {
				sleep(ctx, joinPollInterval)
				continue
			}
		}
		if mirror.loaded && mirror.options.WatchesStore != nil && !mirror.options.WatchesStore() {
			mirror.followPeer(ctx)
			continue
		}
		var err error
		if !mirror.loaded {
			err = mirror.readAll(ctx, reason)
		} else {
			err = mirror.watchStore(ctx)
		}
		if errors.Is(err, kv.ErrHistoryGone) {
			mirror.loaded, reason = false, "history-gone"
			continue
		}
		if err == nil {
			pause = minBackoff
			continue
		}
		mirror.handleStoreError(err)
		mirror.fetchDuringOutage(ctx)
		sleep(ctx, pause+time.Duration(rand.Int64N(int64(pause/3))))
		pause = min(2*pause, maxBackoff)
	}
}

// readAll replaces the records by those of the store.
func (mirror *Mirror) readAll(ctx context.Context, reason string) error {
	items, revision, err := mirror.options.Store.Range(ctx, mirror.options.Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	mirror.handleStoreResponse(now, revision)
	mirror.loaded = true
	mirror.options.Events.Emit(events.StoreRead, log.Fields{"revision": revision, "items": len(items), "reason": reason})
	mirror.replaceAll(items, revision, now, "store")
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
func (mirror *Mirror) watchStore(ctx context.Context) error {
	after, wait := mirror.Revision(), mirror.nextWatchTimeout(time.Now())
	watch := make(chan watchResult, 1)
	go func() {
		items, revision, err := mirror.options.Store.Changes(ctx, mirror.options.Prefix, after, wait)
		watch <- watchResult{items, revision, err}
	}()
	var fallback <-chan time.Time
	for {
		select {
		case c := <-watch:
			return mirror.handleWatchResult(ctx, c)
		case <-mirror.wake:
			if fallback == nil {
				fallback = time.After(maxWatchLag)
			}
		case <-fallback:
			fallback = nil
			mirror.fetchFromPeer(ctx)
		}
	}
}

func (mirror *Mirror) handleWatchResult(ctx context.Context, result watchResult) error {
	if result.err != nil {
		return result.err
	}
	now := time.Now()
	mirror.handleStoreResponse(now, result.revision)
	mirror.apply(result.items, result.revision, now, "store")
	if len(result.items) > 0 {
		sleep(ctx, mirror.pauseAfterChange(now))
	}
	return nil
}

// pauseAfterChange is the pause after a change. The configuration is waited for without
// the long one: nothing can be served before it.
func (mirror *Mirror) pauseAfterChange(now time.Time) time.Duration {
	if now.Sub(mirror.started) < startupPeriod && mirror.State().Config != nil {
		return startupChangePause
	}
	return changePause
}

// nextWatchTimeout bounds a watch, so that held records are released in time.
func (mirror *Mirror) nextWatchTimeout(now time.Time) time.Duration {
	wait := watchTimeout
	if !mirror.lostSince.IsZero() {
		wait = lostWatchTimeout
	}
	for _, until := range mirror.heldTargets {
		wait = min(wait, max(lostWatchTimeout, until.Sub(now)))
	}
	return wait
}

// Revision returns the revision that the records are at.
func (mirror *Mirror) Revision() uint64 {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.revision
}

func (mirror *Mirror) handleStoreError(err error) {
	mirror.storeFailing.Store(true)
	if !mirror.lostSince.IsZero() {
		return
	}
	mirror.lostSince = time.Now()
	op := ""
	var call *kv.Error
	if errors.As(err, &call) {
		op = call.Op
	}
	mirror.options.Events.Emit(events.StoreLost, log.Fields{"revision": mirror.Revision(), "op": op, "error": err.Error()})
}

func (mirror *Mirror) handleStoreResponse(now time.Time, revision uint64) {
	mirror.lastResponse.Store(&now)
	mirror.storeFailing.Store(false)
	if mirror.lostSince.IsZero() {
		return
	}
	mirror.options.Events.Emit(events.StoreRegained, log.Fields{"revision": revision, "lostMs": now.Sub(mirror.lostSince).Milliseconds()})
	mirror.lostSince = time.Time{}
	mirror.setStoreReturned(now)
}

func (mirror *Mirror) setStoreReturned(at time.Time) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	mirror.storeReturned = at
}

// renewalDeadline returns when the writers of records that lapsed during the store's
// last absence have had time to renew them.
func (mirror *Mirror) renewalDeadline() time.Time {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	if mirror.storeReturned.IsZero() {
		return time.Time{}
	}
	return mirror.storeReturned.Add(renewalGrace)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
