package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

func in(era, number uint64) kv.Revision { return kv.Revision{Era: era, Number: number} }

// ofEra returns items as of an era.
func ofEra(era uint64, items ...kv.Item) []kv.Item {
	for i := range items {
		items[i].Era = era
	}
	return items
}

// follow makes a mirror fetch from a peer.
func follow(m, peer *Mirror) {
	m.options.NewerPeer = func(revision kv.Revision) (Peer, bool) { return Peer{Name: "p"}, peer.Position().After(revision) }
	m.options.Fetch = func(_ context.Context, _ Peer, after kv.Revision) (Snapshot, error) {
		return peer.ChangesSince(after), nil
	}
}

// restoredMirror returns a mirror that has read era 1 at revision 9, with the targets
// 1 to 3 and configuration 9, and then era 2 with target 1, another record of
// target 2 and configuration 4.
func restoredMirror(now time.Time) *Mirror {
	m := newMirror(nil)
	m.replaceAll(ofEra(1, put("t:1", "a", 3), put("t:2", "b", 6), put("t:3", "c", 7), put("c", "", 9)), in(1, 9), now, "store")
	m.replaceAll(ofEra(2, put("t:1", "a", 3), put("t:2", "older", 2), put("c", "", 4)), in(2, 5), now, "store")
	return m
}

// Guards against a configuration that goes back to the version of the restored store,
// at the instance itself, at one that follows it, and at one that starts.
func TestConfigurationNeverGoesBack(t *testing.T) {
	now := time.Now()
	m := restoredMirror(now)
	assert.EqualValues(t, 9, m.State().Config.Version)
	starting := newMirror(nil)
	follow(starting, m)
	require.Equal(t, fetchTaken, starting.fetchFromPeer(context.Background()))
	assert.EqualValues(t, 9, starting.State().Config.Version)
	last := newMirror(nil)
	follow(last, starting)
	require.Equal(t, fetchTaken, last.fetchFromPeer(context.Background()))
	assert.EqualValues(t, 9, last.State().Config.Version)
	m.apply(ofEra(2, put("c", "", 7)), in(2, 7), now, "store")
	assert.EqualValues(t, 9, m.State().Config.Version)
	m.apply(ofEra(2, put("c", "", 10)), in(2, 10), now, "store")
	assert.EqualValues(t, 10, m.State().Config.Version)
	assert.Empty(t, m.ChangesSince(kv.Revision{}).Unconfirmed[1:], "only target 3")
	m.removeExpiredTargets(now.Add(time.Hour))
	m.replaceAll(nil, in(3, 1), now, "store")
	m.removeExpiredTargets(now.Add(2 * time.Hour))
	assert.EqualValues(t, 10, m.State().Config.Version, "nor is it dropped")
}

// Guards against instances that lose all targets whose records the store has lost,
// against keeping those that do not come back, and against keeping a record that
// the store contradicts.
func TestRecordsOfAnOlderEraAreKeptForTheRenewalTime(t *testing.T) {
	now := time.Now()
	m := restoredMirror(now)
	assert.ElementsMatch(t, []string{"1", "2", "3"}, ids(m.State()))
	assert.Equal(t, "older", m.State().Targets["2"].Address)
	assert.Equal(t, in(2, 5), m.Position())
	follower := newMirror(nil)
	follower.replaceAll(ofEra(1, put("t:3", "c", 7), put("t:4", "d", 90)), in(1, 90), now, "store")
	follow(follower, m)
	require.Equal(t, fetchTaken, follower.fetchFromPeer(context.Background()))
	assert.Equal(t, in(2, 5), follower.Position(), "a lower number of a newer era")
	assert.ElementsMatch(t, []string{"1", "2", "3", "4"}, ids(follower.State()))

	// Leases end soon after the restore, since their renewals are lost.
	m.apply(ofEra(2, kv.Item{Key: "t:1", Revision: 6, Deleted: true}), in(2, 6), now, "store")
	for _, m := range []*Mirror{m, follower} {
		m.removeExpiredTargets(now.Add(renewalGrace - 100*time.Millisecond))
		assert.Contains(t, ids(m.State()), "3")
		assert.Contains(t, ids(m.State()), "1")
	}
	m.apply(ofEra(2, put("t:3", "back", 7)), in(2, 7), now, "store")
	m.removeExpiredTargets(now.Add(renewalGrace))
	assert.ElementsMatch(t, []string{"2", "3"}, ids(m.State()))
	assert.Equal(t, "back", m.State().Targets["3"].Address)
	follower.removeExpiredTargets(now.Add(renewalGrace + time.Second))
	assert.ElementsMatch(t, []string{"1", "2"}, ids(follower.State()))
	assert.Len(t, follower.items, 3, "two targets and the configuration")
}

// Guards against targets that are dropped while the store is away, so that they
// cannot write.
func TestUnconfirmedRecordsAreKeptWhileTheStoreIsAway(t *testing.T) {
	now, serves := time.Now(), false
	m := restoredMirror(now)
	m.options.StoreServes = func() bool { return serves }
	m.removeExpiredTargets(now.Add(renewalGrace))
	serves = true
	m.removeExpiredTargets(now.Add(2*renewalGrace - 1))
	assert.Contains(t, ids(m.State()), "3")
	m.removeExpiredTargets(now.Add(2 * renewalGrace))
	assert.NotContains(t, ids(m.State()), "3")
}

// Guards against a peer of an older era that is taken for newer because of its higher
// number, and against changes of an older era that arrive late.
func TestRecordsOfAnOlderEraAreNotApplied(t *testing.T) {
	now := time.Now()
	m := restoredMirror(now)
	peer := newMirror(nil)
	peer.replaceAll(ofEra(1, put("t:1", "stale", 80), put("t:9", "x", 90)), in(1, 90), now, "store")
	follow(m, peer)
	assert.Equal(t, fetchNotNeeded, m.fetchFromPeer(context.Background()))
	m.options.NewerPeer = func(kv.Revision) (Peer, bool) { return Peer{Name: "p"}, true }
	assert.Equal(t, fetchFailed, m.fetchFromPeer(context.Background()))
	assert.Empty(t, peer.ChangesSince(m.Position()).Items)
	m.options.Fetch = func(context.Context, Peer, kv.Revision) (Snapshot, error) {
		return peer.ChangesSince(kv.Revision{}), nil
	}
	assert.Equal(t, fetchFailed, m.fetchFromPeer(context.Background()))
	before := m.State()
	m.replaceAll(peer.ChangesSince(kv.Revision{}).Items, peer.Position(), now, "peer")
	for _, revision := range []kv.Revision{in(1, 95), in(2, 95)} { // Target 3 is unconfirmed.
		m.apply(ofEra(1, put("t:3", "stale", 95), put("t:9", "x", 95)), revision, now, "peer")
	}
	assert.Equal(t, before.Targets, m.State().Targets)
	assert.True(t, m.ChangesSince(in(1, 9)).Whole, "an older era is no part of the history")
	assert.False(t, m.ChangesSince(in(2, 5)).Whole)
}

// Guards against a second restore within the renewal time of the first that drops
// records too early, or that applies the records of the first over its own.
func TestTwoRestoresInARow(t *testing.T) {
	now := time.Now()
	m := restoredMirror(now)
	var before []*steering.State
	m.options.OnEraChanged = func(state *steering.State, revision kv.Revision) {
		before = append(before, state)
		assert.Equal(t, in(3, 2), revision)
	}
	second := now.Add(renewalGrace - time.Millisecond)
	m.replaceAll(ofEra(3, put("t:2", "oldest", 1), put("c", "", 2)), in(3, 2), second, "store")
	assert.Len(t, before, 1)
	assert.ElementsMatch(t, []string{"1", "2", "3"}, ids(m.State()))
	assert.Equal(t, "oldest", m.State().Targets["2"].Address)
	m.removeExpiredTargets(second.Add(renewalGrace - time.Millisecond))
	assert.ElementsMatch(t, []string{"1", "2", "3"}, ids(m.State()))
	starting := newMirror(nil)
	follow(starting, m)
	require.Equal(t, fetchTaken, starting.fetchFromPeer(context.Background()))
	assert.ElementsMatch(t, []string{"1", "2", "3"}, ids(starting.State()))
	assert.EqualValues(t, 9, starting.State().Config.Version)
	m.removeExpiredTargets(second.Add(renewalGrace))
	assert.Equal(t, []string{"2"}, ids(m.State()))
}

// Guards against an instance that starts during the change, reads the store itself and
// uses only what the store still has.
func TestStartingInstanceAsksAPeerForUnconfirmedRecords(t *testing.T) {
	m := newMirror(&fakeStore{items: ofEra(2, put("t:1", "a", 3), put("c", "", 4)), revision: 5, era: 2})
	require.NoError(t, m.readAll(context.Background(), "start"))
	assert.EqualValues(t, 4, m.State().Config.Version)
	peer := restoredMirror(time.Now())
	follow(m, peer)
	m.seekUnconfirmed(context.Background(), time.Now())
	assert.EqualValues(t, 9, m.State().Config.Version)
	assert.ElementsMatch(t, []string{"1", "3"}, ids(m.State()))
	m.removeExpiredTargets(time.Now().Add(renewalGrace))
	assert.Equal(t, []string{"1"}, ids(m.State()))
	m.options.Fetch = nil
	m.seekUnconfirmed(context.Background(), time.Now()) // Asks once.
}

// Guards against an instance that notices nothing but the header and goes on with the
// records of the older era.
func TestNewEraIsReadWhole(t *testing.T) {
	s := &fakeStore{items: ofEra(1, put("t:1", "a", 3), put("t:2", "b", 4)), revision: 5, era: 1, changes: make(chan watchResponse)}
	m := newMirror(s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Position() == in(1, 5) }, time.Second, time.Millisecond)
	s.mu.Lock()
	s.items, s.revision, s.era = ofEra(2, put("t:1", "new", 2)), 5, 2
	s.mu.Unlock()
	s.changes <- watchResponse{revision: 5}
	require.Eventually(t, func() bool { return m.Position() == in(2, 5) }, time.Second, time.Millisecond)
	assert.Equal(t, "new", m.State().Targets["1"].Address)
	assert.Len(t, m.State().Targets, 2)
	for end := time.Now().Add(renewalGrace + time.Second); len(m.State().Targets) > 1 && time.Now().Before(end); {
		select {
		case s.changes <- watchResponse{revision: 5}:
		case <-time.After(20 * time.Millisecond):
		}
	}
	assert.Equal(t, []string{"1"}, ids(m.State()))
}
