package mirror

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
)

// ChangesSince returns a snapshot for a peer: the changes after a revision if
// all of them are still in the history, otherwise all records. A peer that has read
// a newer era gets no records.
func (mirror *Mirror) ChangesSince(after kv.Revision) Snapshot {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	snapshot := Snapshot{Revision: mirror.revision.Number, Era: mirror.revision.Era}
	if after.Era > snapshot.Era {
		return snapshot
	}
	if sinceReturn := time.Since(mirror.storeReturned); !mirror.storeReturned.IsZero() && sinceReturn < renewalGrace {
		snapshot.ReturnedMs = sinceReturn.Milliseconds() + 1
	}
	if changes, ok := mirror.history.since(after.Number); ok && after.Era == snapshot.Era {
		snapshot.Items = changes
		return snapshot
	}
	snapshot.Whole = true
	for _, k := range slices.Sorted(maps.Keys(mirror.items)) {
		if item := mirror.items[k]; item.Era == snapshot.Era {
			snapshot.Items = append(snapshot.Items, item)
		} else {
			snapshot.Unconfirmed = append(snapshot.Unconfirmed, item)
		}
	}
	if mirror.configInForce != nil {
		snapshot.Unconfirmed = append(snapshot.Unconfirmed, *mirror.configInForce)
	}
	if age := time.Since(mirror.eraStarted); !mirror.eraStarted.IsZero() && age < rewriteGrace {
		snapshot.EraAgeMs = max(0, age.Milliseconds()) + 1
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
			items, revision, err := mirror.options.Store.Watch(ctx, mirror.options.Prefix, mirror.Position(), lostWatchTimeout)
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
	peer, ok := mirror.options.NewerPeer(mirror.Position())
	if !ok {
		return fetchNotNeeded
	}
	snapshot, err := mirror.options.Fetch(ctx, peer, mirror.Position())
	if err != nil {
		mirror.options.Events.Emit(events.PeerStateNotTaken, log.Fields{"peer": peer.Name, "error": err.Error()})
		return fetchFailed
	}
	known := mirror.Position()
	if !snapshot.Position().After(known) || !snapshot.Whole && known.Number > 0 && snapshot.Era != known.Era {
		return fetchFailed
	}
	mirror.options.Events.Emit(events.PeerStateTaken, log.Fields{"peer": peer.Name, "revision": snapshot.Revision, "items": len(snapshot.Items)})
	if snapshot.ReturnedMs > 0 {
		mirror.noteReturnAtPeer(time.Now().Add(-time.Duration(snapshot.ReturnedMs) * time.Millisecond))
	}
	source := "peer " + peer.Name
	if snapshot.Whole {
		now := time.Now()
		mirror.noteEraStart(&snapshot, now)
		mirror.replaceAllAnd(mirror.takeUnconfirmed(&snapshot, now), snapshot.Items, snapshot.Position(), now, source)
		mirror.loaded, mirror.seekUntil = true, time.Time{}
		return fetchTaken
	}
	mirror.apply(snapshot.Items, snapshot.Position(), time.Now(), source)
	return fetchTaken
}

// noteReturnAtPeer records when the store became responsive again to a peer, unless
// it has served this instance too recently for records to have lapsed.
func (mirror *Mirror) noteReturnAtPeer(returned time.Time) {
	if at := mirror.lastResponse.Load(); at != nil && returned.Sub(*at) < mirror.options.MinLapseTime {
		return
	}
	mirror.setStoreReturned(returned)
}
