package mirror

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

// ChangesSince returns a snapshot for a peer: the changes after a revision if
// all of them are still in the history, otherwise all records.
func (mirror *Mirror) ChangesSince(after uint64) Snapshot {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	snapshot := Snapshot{Revision: mirror.revision}
	if sinceReturn := time.Since(mirror.storeReturned); !mirror.storeReturned.IsZero() && sinceReturn < renewalGrace {
		snapshot.ReturnedMs = sinceReturn.Milliseconds() + 1
	}
	if changes, ok := mirror.history.since(after); ok {
		snapshot.Items = changes
		return snapshot
	}
	snapshot.Whole = true
	for _, k := range slices.Sorted(maps.Keys(mirror.items)) {
		snapshot.Items = append(snapshot.Items, mirror.items[k])
	}
	return snapshot
}

// Wake reports a change at a peer: an instance that doesn't watch the store
// fetches it immediately, others if their watch doesn't deliver it soon.
func (mirror *Mirror) Wake() {
	select {
	case mirror.wake <- struct{}{}:
	default:
	}
}

// followPeer fetches changes from a peer that watches the store. When fetches
// keep failing, it asks the store at long intervals.
func (mirror *Mirror) followPeer(ctx context.Context) error {
	if !mirror.lostSince.IsZero() {
		mirror.options.Events.Emit(events.StoreLeftToPeers, log.Fields{"revision": mirror.Revision(), "lostMs": time.Since(mirror.lostSince).Milliseconds()})
		mirror.lostSince = time.Time{}
	}
	switch mirror.fetchFromPeer(ctx) {
	case fetchTaken:
		mirror.fallback.clear()
		sleep(ctx, changePause)
		return nil
	case fetchNotNeeded:
		mirror.fallback.clear()
	case fetchFailed:
		if mirror.fallback.fetchFailed(time.Now(), len(mirror.State().Instances), rand.Float64()) {
			items, revision, err := mirror.options.Store.Watch(ctx, mirror.options.Prefix, mirror.Revision(), lostWatchTimeout)
			return mirror.handleWatchResult(ctx, watchResult{items, revision, err})
		}
	}
	t := time.NewTimer(followPollInterval)
	defer t.Stop()
	select {
	case <-mirror.wake:
	case <-t.C:
	case <-ctx.Done():
	}
	return nil
}

// fetchDuringOutage fetches changes from a peer with a newer revision while the
// store doesn't respond, at most once per minPeerFetchInterval.
func (mirror *Mirror) fetchDuringOutage(ctx context.Context) {
	if time.Since(mirror.lastPeerFetch) < minPeerFetchInterval {
		return
	}
	mirror.lastPeerFetch = time.Now()
	mirror.fetchFromPeer(ctx)
}

// fetchResult is the result of a fetch from a peer.
type fetchResult int

const (
	fetchNotNeeded fetchResult = iota // No peer has a newer revision.
	fetchTaken                        // The changes of a peer were applied.
	fetchFailed                       // A peer with a newer revision didn't send its changes.
)

// fetchFromPeer fetches and applies the changes of a peer with a newer
// revision.
func (mirror *Mirror) fetchFromPeer(ctx context.Context) fetchResult {
	if mirror.options.NewerPeer == nil {
		return fetchNotNeeded
	}
	peer, ok := mirror.options.NewerPeer(mirror.Revision())
	if !ok {
		return fetchNotNeeded
	}
	snapshot, err := mirror.options.Fetch(ctx, peer, mirror.Revision())
	if err != nil {
		mirror.options.Events.Emit(events.PeerStateNotTaken, log.Fields{"peer": peer.Name, "error": err.Error()})
		return fetchFailed
	}
	if snapshot.Revision <= mirror.Revision() {
		return fetchFailed
	}
	mirror.options.Events.Emit(events.PeerStateTaken, log.Fields{"peer": peer.Name, "revision": snapshot.Revision, "items": len(snapshot.Items)})
	if snapshot.ReturnedMs > 0 {
		mirror.setStoreReturned(time.Now().Add(-time.Duration(snapshot.ReturnedMs) * time.Millisecond))
	}
	source := "peer " + peer.Name
	if snapshot.Whole {
		mirror.replaceAll(snapshot.Items, snapshot.Revision, time.Now(), source)
		mirror.loaded = true
		return fetchTaken
	}
	mirror.apply(snapshot.Items, snapshot.Revision, time.Now(), source)
	return fetchTaken
}
