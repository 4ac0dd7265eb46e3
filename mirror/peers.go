package mirror

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

// ChangesSince returns what has changed after a revision, for a peer: the changes as
// far as they are still known, else all records.
func (m *Mirror) ChangesSince(after uint64) Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Revision: m.revision}
	if ago := time.Since(m.storeReturned); !m.storeReturned.IsZero() && ago < renewalGrace {
		s.ReturnedMs = ago.Milliseconds() + 1
	}
	if changes, ok := m.history.since(after); ok {
		s.Items = changes
		return s
	}
	s.Whole = true
	for _, k := range slices.Sorted(maps.Keys(m.items)) {
		s.Items = append(s.Items, m.items[k])
	}
	return s
}

// Wake makes an instance that leaves the watch to others ask for changes now.
func (m *Mirror) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// followPeer takes the changes from a peer that watches the store.
func (m *Mirror) followPeer(ctx context.Context) {
	if !m.lostSince.IsZero() {
		m.options.Events.Emit(events.StoreLeftToPeers, log.Fields{"revision": m.Revision(), "lostMs": time.Since(m.lostSince).Milliseconds()})
		m.lostSince = time.Time{}
	}
	if m.fetchFromPeer(ctx) {
		sleep(ctx, changePause)
		return
	}
	t := time.NewTimer(followPollInterval)
	defer t.Stop()
	select {
	case <-m.wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

// fetchDuringOutage takes the records of a peer that is ahead while the store does not
// answer.
func (m *Mirror) fetchDuringOutage(ctx context.Context) {
	if time.Since(m.lastPeerFetch) < minPeerFetchInterval {
		return
	}
	m.lastPeerFetch = time.Now()
	m.fetchFromPeer(ctx)
}

// fetchFromPeer takes what has changed from a peer that is ahead. It reports whether
// there was anything.
func (m *Mirror) fetchFromPeer(ctx context.Context) bool {
	if m.options.NewerPeer == nil {
		return false
	}
	peer, ok := m.options.NewerPeer(m.Revision())
	if !ok {
		return false
	}
	s, err := m.options.Fetch(ctx, peer, m.Revision())
	if err != nil {
		m.options.Events.Emit(events.PeerStateNotTaken, log.Fields{"peer": peer.Name, "error": err.Error()})
		return false
	}
	if s.Revision <= m.Revision() {
		return false
	}
	m.options.Events.Emit(events.PeerStateTaken, log.Fields{"peer": peer.Name, "revision": s.Revision, "items": len(s.Items)})
	if s.ReturnedMs > 0 {
		m.setStoreReturned(time.Now().Add(-time.Duration(s.ReturnedMs) * time.Millisecond))
	}
	source := "peer " + peer.Name
	if s.Whole {
		m.replaceAll(s.Items, s.Revision, time.Now(), source)
		m.loaded = true
		return true
	}
	m.apply(s.Items, s.Revision, time.Now(), source)
	return true
}
