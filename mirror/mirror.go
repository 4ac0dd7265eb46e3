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
	// watchTimeout is how long a watch waits for a change, less the time since the last
	// response of the store. An unresponsive connection is detected after it, within the
	// time that a deployment has to stabilize and before records can lapse.
	watchTimeout = 2 * time.Second
	// lostWatchTimeout is the watch timeout while the store doesn't respond. It
	// is short so that the store's return and changes reported by peers are
	// noticed soon.
	lostWatchTimeout = 20 * time.Millisecond
	// maxWatchLag is how long a watch may lag behind a change reported by a
	// peer before the change is fetched from a peer.
	maxWatchLag = 300 * time.Millisecond
	// changePause is the pause between a change and the next watch. It batches
	// changes in quick succession into one call.
	changePause = 100 * time.Millisecond
	// joinPollInterval is how often a starting instance looks for peers with
	// records.
	joinPollInterval = 20 * time.Millisecond
	// startupPeriod is how long after its start an instance pauses for
	// startupChangePause instead of changePause. Instances that start together
	// register together, and none of them knows yet that a peer watches the
	// store for the domain.
	startupPeriod      = 3 * time.Second
	startupChangePause = 500 * time.Millisecond
	// Bounds of the exponential backoff between failed calls. Up to a third is
	// added at random, so that instances don't call at the same time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// renewalGrace is how long after the store's return a target is kept
	// although its record lapsed during the outage. Writers that are alive
	// renew their records within 2 s.
	renewalGrace = 2200 * time.Millisecond
	// minPeerFetchInterval is the shortest interval between fetches from peers
	// while the store doesn't respond.
	minPeerFetchInterval = 250 * time.Millisecond
	// followPollInterval is how often an instance that doesn't watch the store
	// checks whether a peer still does. Changes wake it sooner.
	followPollInterval = 250 * time.Millisecond
)

// Codec decodes records.
type Codec interface {
	DecodeUpdate(item kv.Item, read time.Time) (steering.Update, error)
}

// Peer is another instance that has a newer state.
type Peer struct {
	Name     string
	Address  string
	Revision kv.Revision
}

// Options configure a Mirror.
type Options struct {
	Store  kv.Store
	Prefix string // Prefix of all keys that are mirrored.
	Codec  Codec
	Events *events.Log
	// WatchesStore reports whether this instance watches the store itself.
	// Other instances fetch changes from a peer that does. Nil means always.
	WatchesStore func() bool
	// DefersFirstRead reports whether this instance should wait for a peer that
	// reads the records for the domain before it reads them itself. Nil means
	// never.
	DefersFirstRead func() bool
	// NewerPeer returns a peer with a newer revision, if there is one.
	NewerPeer func(revision kv.Revision) (Peer, bool)
	// Fetch returns the changes at a peer after a revision.
	Fetch func(ctx context.Context, p Peer, after kv.Revision) (Snapshot, error)
	// StoreServes reports whether the store responds to any instance of the
	// failure domain. Nil means that only this instance's own calls count.
	StoreServes func() bool
	// MinLapseTime is the shortest time without the store in which the record of a
	// target that renews it can lapse. A target whose record is missing after a
	// shorter time has been removed. 0 means that any outage may be long enough.
	MinLapseTime time.Duration
	// OnEraChanged is called with the last state of an older era and the revision
	// of the first full read of a newer one, from the mirror's goroutine and before
	// OnStateChanged.
	OnEraChanged func(before *steering.State, revision kv.Revision)
	// OnStateChanged is called after each change of the state, from the
	// mirror's goroutine.
	OnStateChanged func(before, after *steering.State)
}

// Snapshot is the response to a peer: all records at a revision, or the changes
// that lead to it.
type Snapshot struct {
	Revision uint64
	Whole    bool // Items holds all records.
	Items    []kv.Item
	// ReturnedMs is how long ago the store became responsive again, in
	// milliseconds. It is 0 when it is too long ago to matter.
	ReturnedMs int64
	Era        uint64 // Of Revision.
	// Unconfirmed holds the records of older eras that are still in use, if Whole is
	// set. EraAgeMs is how long ago the sender, or the instance from which it learned
	// of the era, first read the store in it, in milliseconds; 0 when it is too long
	// ago to matter.
	Unconfirmed []kv.Item
	EraAgeMs    int64
}

// Position returns the revision of the snapshot with its era.
func (snapshot *Snapshot) Position() kv.Revision {
	return kv.Revision{Era: snapshot.Era, Number: snapshot.Revision}
}

// Mirror holds the records and the state built from them. State, Position, Revision,
// RejectedRevision, ChangesSince, StoreReachable, ClearStoreReachable and Wake may
// be called from any goroutine.
type Mirror struct {
	options      Options
	state        atomic.Pointer[steering.State]
	storeFailing atomic.Bool               // The last call to the store failed.
	lastResponse atomic.Pointer[time.Time] // When a part of a response of the store last arrived; monotonic, so that setting the clock doesn't matter.

	mu            sync.Mutex // Guards items, revision, history, storeReturned, eraStarted and configInForce.
	items         map[string]kv.Item
	revision      kv.Revision
	history       history
	storeReturned time.Time // When the store last became responsive again after an outage in which records may have lapsed, here or at a peer.
	eraStarted    time.Time // When the store was first read in the current era, here or at a peer; zero if unknown.
	// configInForce is the record of the configuration in force if the current era
	// has a lower version, otherwise nil.
	configInForce *kv.Item

	started time.Time

	wake          chan struct{}        // Holds a token when a peer has reported a change.
	loaded        bool                 // All records have been read from the store or a peer.
	lostSince     time.Time            // Since when calls to the store fail; zero when it responds.
	unservedSince time.Time            // Last response of the store before the outage, or before several in quick succession.
	regained      time.Time            // When the store last responded after a failed call.
	heldTargets   map[string]time.Time // Until when targets with lapsed records are kept, by key.
	unconfirmed   map[string]time.Time // Until when records of older eras are kept, by key. They are in items.
	seekUntil     time.Time            // Until when a peer is asked for records of older eras; zero if none is to be asked.
	rejections    map[string]rejection // Faults of records that were logged, by key.
	lastPeerFetch time.Time            // Last fetch from a peer while the store didn't respond.
	fallback      storeFallback
}

// New returns a mirror without records.
func New(options Options) *Mirror {
	mirror := &Mirror{options: options, started: time.Now(), items: map[string]kv.Item{}, heldTargets: map[string]time.Time{}, unconfirmed: map[string]time.Time{}, rejections: map[string]rejection{}, wake: make(chan struct{}, 1)}
	mirror.state.Store(steering.NewState().Apply(0, nil))
	return mirror
}

// State returns the current state of the deployment. It is never nil.
func (mirror *Mirror) State() *steering.State { return mirror.state.Load() }

// StoreReachable reports whether the store has responded to this instance
// within a period and no call has failed since.
func (mirror *Mirror) StoreReachable(now time.Time, within time.Duration) bool {
	at := mirror.lastResponse.Load()
	return at != nil && now.Sub(*at) < within && !mirror.storeFailing.Load()
}

// ClearStoreReachable makes StoreReachable return false until the next response
// of the store. It is called after a pause of the process: meanwhile the store
// may have granted to others what this instance held.
func (mirror *Mirror) ClearStoreReachable() { mirror.storeFailing.Store(true) }

// Reasons for a full read after a watch: its changes are not available, or the
// store is in a newer era.
const (
	reasonHistoryGone = "history-gone"
	reasonEraChanged  = "era-changed"
)

// fullReadReason returns the reason for a full read after a watch that failed.
func fullReadReason(err error) string {
	var failed *kv.Error
	if errors.As(err, &failed) && errors.Is(failed.Cause, kv.ErrEraChanged) {
		return reasonEraChanged
	}
	return reasonHistoryGone
}

// Run keeps the records in sync with the store until ctx ends.
func (mirror *Mirror) Run(ctx context.Context) {
	pause := minBackoff
	reason := "start"
	for ctx.Err() == nil {
		mirror.removeExpiredTargets(time.Now())
		if !mirror.loaded && mirror.options.DefersFirstRead != nil {
			if mirror.fetchFromPeer(ctx) == fetchTaken {
				continue
			}
			if mirror.options.DefersFirstRead() {
				sleep(ctx, joinPollInterval)
				continue
			}
		}
		mirror.seekUnconfirmed(ctx, time.Now())
		var err error
		switch {
		case !mirror.loaded:
			err = mirror.readAll(ctx, reason)
		case mirror.options.WatchesStore != nil && !mirror.options.WatchesStore():
			err = mirror.followPeer(ctx)
		default:
			mirror.fallback.clear()
			err = mirror.watchStore(ctx)
		}
		if errors.Is(err, kv.ErrHistoryGone) {
			mirror.loaded, reason = false, fullReadReason(err)
			continue
		}
		if err == nil {
			pause = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return // The call ended with the context.
		}
		mirror.handleStoreError(time.Now(), err)
		mirror.fetchDuringOutage(ctx)
		sleep(ctx, pause+time.Duration(rand.Int64N(int64(pause/3))))
		pause = min(2*pause, maxBackoff)
	}
}

// readAll replaces all records with those of the store.
func (mirror *Mirror) readAll(ctx context.Context, reason string) error {
	items, revision, err := mirror.options.Store.Range(kv.WithProgress(ctx, mirror.noteProgress), mirror.options.Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	if known := mirror.Position(); known.Era > revision.Era {
		return &kv.Error{Op: "range", Kind: kv.ErrUnavailable, Cause: kv.ErrEraChanged} // A peer has read a newer era.
	}
	mirror.handleStoreResponse(now, revision)
	mirror.loaded = true
	if revision.Era > 0 && mirror.Position() == (kv.Revision{}) {
		mirror.seekUntil = now.Add(seekPeriod)
	}
	mirror.options.Events.Emit(events.StoreRead, log.Fields{"revision": revision.Number, "items": len(items), "reason": reason})
	mirror.replaceAll(items, revision, now, "store")
	if reason == reasonHistoryGone || reason == reasonEraChanged {
		sleep(ctx, changePause) // The next watch may fail for the same reason.
	}
	return nil
}

type watchResult struct {
	items    []kv.Item
	revision kv.Revision
	err      error
}

// watchStore waits for changes and applies them. Changes that a peer reports
// but the watch doesn't deliver within maxWatchLag are fetched from a peer.
func (mirror *Mirror) watchStore(ctx context.Context) error {
	after, wait := mirror.Position(), mirror.nextWatchTimeout(time.Now())
	watch := make(chan watchResult, 1)
	go func() {
		items, revision, err := mirror.options.Store.Watch(kv.WithProgress(ctx, mirror.noteProgress), mirror.options.Prefix, after, wait)
		watch <- watchResult{items, revision, err}
	}()
	var fallback <-chan time.Time
	for {
		select {
		case result := <-watch:
			return mirror.handleWatchResult(ctx, result)
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
	if mirror.Position().Era != result.revision.Era {
		return nil // The changes are of an older era than those fetched from a peer meanwhile.
	}
	mirror.handleStoreResponse(now, result.revision)
	mirror.apply(result.items, result.revision, now, "store")
	if len(result.items) > 0 {
		sleep(ctx, mirror.pauseAfterChange(now))
	}
	return nil
}

// pauseAfterChange returns the pause between a change and the next watch. The
// pause is short while there is no configuration, because nothing can be served
// without it.
func (mirror *Mirror) pauseAfterChange(now time.Time) time.Duration {
	if now.Sub(mirror.started) < startupPeriod && mirror.State().Config != nil {
		return startupChangePause
	}
	return changePause
}

// nextWatchTimeout returns the timeout of the next watch. It is short enough that a
// silent connection is noticed and held targets are removed in time.
func (mirror *Mirror) nextWatchTimeout(now time.Time) time.Duration {
	wait := watchTimeout
	if at := mirror.lastResponse.Load(); at != nil {
		wait = max(lostWatchTimeout, watchTimeout-now.Sub(*at))
	}
	if !mirror.lostSince.IsZero() {
		wait = lostWatchTimeout
	}
	for _, held := range []map[string]time.Time{mirror.heldTargets, mirror.unconfirmed} {
		for _, until := range held {
			wait = min(wait, max(lostWatchTimeout, until.Sub(now)))
		}
	}
	return wait
}

// Position returns the store revision of the records with its era.
func (mirror *Mirror) Position() kv.Revision {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.revision
}

// Revision returns the number of the store revision of the records.
func (mirror *Mirror) Revision() uint64 { return mirror.Position().Number }

// RejectedRevision returns the revision of the record of a key if it cannot be
// used.
func (mirror *Mirror) RejectedRevision(key string) (kv.Revision, bool) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	record := mirror.items[key]
	return record.Position(), record.Fault != ""
}

func (mirror *Mirror) handleStoreError(now time.Time, err error) {
	mirror.storeFailing.Store(true)
	if !mirror.lostSince.IsZero() {
		return
	}
	mirror.lostSince = now
	// Between outages in quick succession, writers may not have had time to renew
	// their records.
	if at := mirror.lastResponse.Load(); at != nil && (mirror.regained.IsZero() || at.Sub(mirror.regained) >= mirror.options.MinLapseTime) {
		mirror.unservedSince = *at
	}
	op := ""
	var call *kv.Error
	if errors.As(err, &call) {
		op = call.Op
	}
	mirror.options.Events.Emit(events.StoreLost, log.Fields{"revision": mirror.Revision(), "op": op, "error": err.Error()})
}

func (mirror *Mirror) handleStoreResponse(now time.Time, revision kv.Revision) {
	mirror.lastResponse.Store(&now)
	mirror.storeFailing.Store(false)
	if mirror.lostSince.IsZero() {
		return
	}
	lapsed := mirror.mayHaveLapsed(now)
	mirror.options.Events.Emit(events.StoreRegained, log.Fields{"revision": revision.Number, "lostMs": now.Sub(mirror.lostSince).Milliseconds(), "mayHaveLapsed": lapsed})
	mirror.lostSince, mirror.regained = time.Time{}, now
	if lapsed {
		mirror.setStoreReturned(now)
	}
}

// mayHaveLapsed reports whether records of targets that are alive may have lapsed
// during an outage that ends now. A failed call or a connection that went silent
// doesn't last long enough, and the store may have served others meanwhile.
func (mirror *Mirror) mayHaveLapsed(now time.Time) bool {
	return mirror.unservedSince.IsZero() || now.Sub(mirror.unservedSince) >= mirror.options.MinLapseTime
}

// noteProgress records that a response of the store is arriving. A large one
// takes seconds over a slow link. It doesn't count before the first complete
// response: peers would leave the store to an instance without records.
func (mirror *Mirror) noteProgress() {
	if mirror.lastResponse.Load() == nil {
		return
	}
	now := time.Now()
	mirror.lastResponse.Store(&now)
}

func (mirror *Mirror) setStoreReturned(at time.Time) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	mirror.storeReturned = at
}

// renewalDeadline returns until when writers may renew records that lapsed
// during the last outage of the store. It is zero when there was none.
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
