package mirror

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

// fakeStore is a kv.Store with fixed items and a queue of watch responses.
type fakeStore struct {
	kv.Store
	mu       sync.Mutex
	items    []kv.Item
	revision uint64
	era      uint64
	err      error
	changes  chan watchResponse
	ranges   int
}

type watchResponse struct {
	items    []kv.Item
	revision uint64
	err      error
}

func (store *fakeStore) Range(context.Context, string) ([]kv.Item, kv.Revision, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.ranges++
	return store.items, kv.Revision{Era: store.era, Number: store.revision}, store.err
}

func (store *fakeStore) Watch(ctx context.Context, _ string, after kv.Revision, _ time.Duration) ([]kv.Item, kv.Revision, error) {
	store.mu.Lock()
	err, era := store.err, store.era
	store.mu.Unlock()
	if err == nil && after.Era < era {
		err = &kv.Error{Op: "watch", Kind: kv.ErrHistoryGone, Cause: kv.ErrEraChanged}
	}
	if err != nil {
		return nil, after, err
	}
	select {
	case response := <-store.changes:
		return response.items, kv.Revision{Era: after.Era, Number: response.revision}, response.err
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// fakeCodec decodes the key "t:ID" as a target and "c" as a configuration whose
// version is its revision.
type fakeCodec struct{}

var errBad = errors.New("bad record")

func (fakeCodec) DecodeUpdate(item kv.Item, _ time.Time) (steering.Update, error) {
	id, isTarget := strings.CutPrefix(item.Key, "t:")
	switch {
	case isTarget && item.Deleted:
		return steering.TargetRemoval{ID: id}, nil
	case isTarget && item.Fault != "":
		return steering.TargetRemoval{ID: id}, errors.New(item.Fault)
	case isTarget && strings.HasPrefix(string(item.Value), "bad"):
		return steering.TargetRemoval{ID: id}, fmt.Errorf("%w: %s", errBad, item.Value)
	case isTarget:
		return steering.TargetUpdate{Target: &steering.Target{ID: id, Service: "s", Address: string(item.Value)}}, nil
	case item.Key == "c" && !item.Deleted:
		return steering.ConfigUpdate{Config: &steering.Config{Version: steering.Version(item.Revision)}}, nil
	}
	return nil, nil
}

func newMirror(store kv.Store) *Mirror {
	return New(Options{Store: store, Codec: fakeCodec{}, Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)})})
}

func put(key, value string, revision uint64) kv.Item {
	return kv.Item{Key: key, Value: []byte(value), Revision: revision}
}

// at returns a revision of era 0.
func at(number uint64) kv.Revision { return kv.Revision{Number: number} }

func ids(state *steering.State) []string {
	list := []string{}
	for id := range state.Targets {
		list = append(list, id)
	}
	return list
}

func TestRunReadsThenWatches(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3), put("c", "", 2)}, revision: 5, changes: make(chan watchResponse, 4)}
	m := newMirror(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	assert.Equal(t, []string{"1"}, ids(m.State()))
	s.changes <- watchResponse{items: []kv.Item{put("t:2", "b", 6), {Key: "t:1", Revision: 7, Deleted: true}}, revision: 7}
	require.Eventually(t, func() bool { return m.Revision() == 7 }, time.Second, time.Millisecond)
	assert.Equal(t, []string{"2"}, ids(m.State()))

	s.mu.Lock()
	s.items, s.revision = []kv.Item{put("t:3", "c", 9), put("t:2", "b", 6)}, 9
	s.mu.Unlock()
	s.changes <- watchResponse{err: &kv.Error{Op: "watch", Kind: kv.ErrHistoryGone}}
	require.Eventually(t, func() bool { return m.Revision() == 9 }, time.Second, time.Millisecond)
	assert.ElementsMatch(t, []string{"2", "3"}, ids(m.State()), "all records are read when the store's history is gone")
	assert.Equal(t, 2, s.ranges)
	cancel()
	<-done
}

// Pages of a read aren't a consistent snapshot, and peers may lag behind.
// Guards against an older record that replaces a newer one.
func TestOlderRecordsAreIgnored(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.apply([]kv.Item{put("t:1", "new", 8)}, at(8), now, "store")
	m.apply([]kv.Item{put("t:1", "old", 4)}, at(9), now, "peer")
	assert.Equal(t, "new", m.State().Targets["1"].Address)
	m.apply([]kv.Item{{Key: "t:1", Revision: 5, Deleted: true}}, at(10), now, "peer")
	assert.Len(t, m.State().Targets, 1)
}

// Guards against a record that can't be decoded and causes others to be lost.
func TestBadRecordDoesNotAffectOthers(t *testing.T) {
	m := newMirror(nil)
	m.apply([]kv.Item{put("t:1", "a", 1), put("t:2", "bad", 2), put("t:3", "c", 3)}, at(3), time.Now(), "store")
	assert.ElementsMatch(t, []string{"1", "3"}, ids(m.State()))
	m.apply([]kv.Item{put("t:1", "bad", 4)}, at(4), time.Now(), "store")
	assert.ElementsMatch(t, []string{"3"}, ids(m.State()))
}

// Guards against instances that lose all targets because the records lapsed
// during a store outage, and against keeping targets that don't return.
func TestLapsedTargetsAreHeldAfterAStoreOutage(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.apply([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, at(2), now, "store")
	m.lostSince = now
	now = now.Add(5 * time.Second)
	m.handleStoreResponse(now, at(6))
	gone := []kv.Item{{Key: "t:1", Revision: 5, Deleted: true}, {Key: "t:2", Revision: 6, Deleted: true}}
	m.apply(gone, at(6), now, "store")
	assert.Len(t, m.State().Targets, 2)
	m.apply([]kv.Item{put("t:1", "a", 7)}, at(7), now.Add(time.Second), "store")
	m.removeExpiredTargets(now.Add(renewalGrace - time.Millisecond))
	assert.Len(t, m.State().Targets, 2)
	m.removeExpiredTargets(now.Add(renewalGrace))
	assert.Equal(t, []string{"1"}, ids(m.State()))
	m.apply([]kv.Item{{Key: "t:1", Revision: 8, Deleted: true}}, at(8), now.Add(renewalGrace+time.Second), "store")
	assert.Empty(t, m.State().Targets, "without an outage a deletion takes effect immediately")
}

// Guards against peers that exchange all records for one change, and against a
// peer that misses changes because the history no longer covers them.
func TestPeersGetChangesOrAllRecords(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.replaceAll([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, at(10), now, "store")
	m.apply([]kv.Item{put("t:3", "c", 11), {Key: "t:1", Revision: 12, Deleted: true}}, at(12), now, "store")
	s := m.ChangesSince(at(10))
	assert.False(t, s.Whole)
	assert.Equal(t, []kv.Item{put("t:3", "c", 11), {Key: "t:1", Revision: 12, Deleted: true}}, s.Items)
	assert.Empty(t, m.ChangesSince(at(12)).Items)
	whole := m.ChangesSince(at(3))
	assert.True(t, whole.Whole)
	assert.Len(t, whole.Items, 2)

	other := newMirror(nil)
	other.replaceAll(whole.Items, whole.Position(), now, "peer")
	assert.ElementsMatch(t, ids(m.State()), ids(other.State()))
	for i := range uint64(2*maxHistoryKeys + 10) {
		m.apply([]kv.Item{put(fmt.Sprint("t:new", i), "b", 20+i)}, at(20+i), now, "store")
	}
	assert.True(t, m.ChangesSince(at(12)).Whole)
	assert.False(t, m.ChangesSince(at(20+2*maxHistoryKeys)).Whole)
}

// Guards against a history that holds many versions of a large configuration.
func TestHistoryHoldsTheLatestChangeOfAKey(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.replaceAll(nil, at(10), now, "store")
	m.apply([]kv.Item{put("t:1", "a", 11)}, at(11), now, "store")
	for i := range uint64(5 * maxHistoryKeys) {
		m.apply([]kv.Item{put("c", "", 20+i)}, at(20+i), now, "store")
	}
	s := m.ChangesSince(at(10))
	assert.False(t, s.Whole)
	assert.Equal(t, []kv.Item{put("t:1", "a", 11), put("c", "", 19+5*maxHistoryKeys)}, s.Items)
	assert.LessOrEqual(t, len(m.history.items), 2*maxHistoryKeys)
}

// Guards against an instance that the store refuses and that therefore misses a
// change that its peers know.
func TestRecordsAreFetchedFromAPeerDuringAStoreOutage(t *testing.T) {
	s := &fakeStore{err: &kv.Error{Op: "range", Kind: kv.ErrUnavailable}}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("c", "", 4), put("t:1", "a", 3)}, at(4), time.Now(), "store")
	m.options.NewerPeer = func(revision kv.Revision) (Peer, bool) { return Peer{Name: "p"}, peer.Position().After(revision) }
	m.options.Fetch = func(_ context.Context, _ Peer, after kv.Revision) (Snapshot, error) {
		return peer.ChangesSince(after), nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.State().Config != nil }, time.Second, time.Millisecond)
	peer.apply([]kv.Item{put("c", "", 6)}, at(6), time.Now(), "store")
	require.Eventually(t, func() bool { return m.State().Config.Version == 6 }, 3*time.Second, time.Millisecond)
}

// Guards against a change known to peers that is delayed until the timeout of a
// watch whose connection doesn't respond.
func TestChangeMissedByTheWatchIsFetchedFromAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("c", "", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("c", "", 6)}, at(6), time.Now(), "store")
	m.options.NewerPeer = func(revision kv.Revision) (Peer, bool) { return Peer{Name: "p"}, peer.Position().After(revision) }
	m.options.Fetch = func(_ context.Context, _ Peer, after kv.Revision) (Snapshot, error) {
		return peer.ChangesSince(after), nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	m.Wake()
	require.Eventually(t, func() bool { return m.State().Config.Version == 6 }, time.Second, time.Millisecond)
}

// Guards against store calls by every instance of a domain.
func TestInstanceThatDoesNotWatchFollowsAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("t:1", "a", 3)}, at(5), time.Now(), "store")
	m.options.WatchesStore = func() bool { return false }
	m.options.NewerPeer = func(revision kv.Revision) (Peer, bool) { return Peer{Name: "p"}, peer.Position().After(revision) }
	m.options.Fetch = func(_ context.Context, _ Peer, after kv.Revision) (Snapshot, error) {
		return peer.ChangesSince(after), nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	peer.apply([]kv.Item{put("t:2", "b", 6)}, at(6), time.Now(), "store")
	m.Wake()
	require.Eventually(t, func() bool { return m.Revision() == 6 }, time.Second, time.Millisecond)
	assert.Equal(t, 1, s.ranges)
}

// Guards against instances that follow a peer and lose all targets whose
// records lapsed during a store outage, although the peer holds them.
func TestFollowersHoldLapsedTargets(t *testing.T) {
	now := time.Now()
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, at(2), now, "store")
	follower := newMirror(nil)
	follower.replaceAll([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, at(2), now, "store")
	follower.options.NewerPeer = func(revision kv.Revision) (Peer, bool) { return Peer{Name: "p"}, peer.Position().After(revision) }
	follower.options.Fetch = func(_ context.Context, _ Peer, after kv.Revision) (Snapshot, error) {
		return peer.ChangesSince(after), nil
	}

	peer.lostSince = now.Add(-5 * time.Second)
	peer.handleStoreResponse(now, at(4))
	peer.apply([]kv.Item{{Key: "t:1", Revision: 3, Deleted: true}, {Key: "t:2", Revision: 4, Deleted: true}}, at(4), now, "store")
	follower.fetchFromPeer(context.Background())
	assert.Equal(t, uint64(4), follower.Revision())
	assert.ElementsMatch(t, []string{"1", "2"}, ids(follower.State()))
	follower.apply([]kv.Item{put("t:2", "b", 5)}, at(5), now, "peer")
	follower.removeExpiredTargets(now.Add(renewalGrace + time.Second))
	assert.Equal(t, []string{"2"}, ids(follower.State()), "a target whose record isn't renewed is removed")
}

// Guards against a deleted target that is used again because the response of a
// slow watch is older than the changes fetched from a peer meanwhile.
func TestLateWatchResponseDoesNotRestoreDeletedTargets(t *testing.T) {
	m := newMirror(nil)
	m.replaceAll([]kv.Item{put("t:1", "a", 3)}, at(5), time.Now(), "store")
	m.apply([]kv.Item{put("t:2", "b", 6), {Key: "t:2", Revision: 8, Deleted: true}, {Key: "t:1", Revision: 9, Deleted: true}}, at(9), time.Now(), "peer p")
	m.apply([]kv.Item{put("t:2", "b", 6)}, at(7), time.Now(), "store")
	assert.Empty(t, ids(m.State()), "it was deleted at revision 8")
	m.replaceAll([]kv.Item{put("t:1", "a", 3), put("t:3", "c", 11)}, at(8), time.Now(), "store")
	assert.Equal(t, []string{"3"}, ids(m.State()), "a late full read doesn't restore it either; newer records are applied")
	m.apply([]kv.Item{put("t:1", "a", 12)}, at(12), time.Now(), "store")
	assert.ElementsMatch(t, []string{"1", "3"}, ids(m.State()), "it was registered again")
}

// Guards against an instance that waits for a peer which has no records either,
// and against one that reads the store while it still looks for peers.
func TestInstanceWithoutPeersReadsTheStore(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	var joining atomic.Bool
	joining.Store(true)
	m.options.DefersFirstRead = joining.Load
	m.options.WatchesStore = func() bool { return false }
	m.options.NewerPeer = func(kv.Revision) (Peer, bool) { return Peer{}, false }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	time.Sleep(5 * joinPollInterval)
	assert.Zero(t, m.Revision())
	assert.Zero(t, s.ranges)
	joining.Store(false)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, 10*time.Millisecond)
}

// Guards against a read of the store by an instance that can fetch the records
// from a peer.
func TestStartingInstanceFetchesRecordsFromAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("t:1", "a", 3)}, at(5), time.Now(), "store")
	m.options.DefersFirstRead = func() bool { return false }
	m.options.NewerPeer = func(revision kv.Revision) (Peer, bool) { return Peer{Name: "p"}, peer.Position().After(revision) }
	m.options.Fetch = func(_ context.Context, _ Peer, after kv.Revision) (Snapshot, error) {
		return peer.ChangesSince(after), nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	s.changes <- watchResponse{revision: 5}
	assert.Zero(t, s.ranges)
}

// Guards against an item without a readable key or revision that affects other
// records.
func TestItemWithoutKeyOrRevisionIsSkipped(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.replaceAll([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, at(3), now, "store")
	m.replaceAll([]kv.Item{{Key: "t:1", Fault: "bad revision"}, {Revision: 4, Fault: "bad key"}, put("t:2", "b", 2), put("t:3", "c", 5)}, at(5), now, "store")
	assert.ElementsMatch(t, []string{"1", "2", "3"}, ids(m.State()))
	m.apply([]kv.Item{{Fault: "bad"}, {Key: "t:2", Fault: "bad revision"}, put("t:4", "d", 6)}, at(6), now, "store")
	assert.ElementsMatch(t, []string{"1", "2", "3", "4"}, ids(m.State()))
	assert.Equal(t, uint64(6), m.Revision())
	for _, item := range m.ChangesSince(at(0)).Items {
		assert.Empty(t, item.Fault, "peers get readable records")
	}
}

// logLines counts the log lines that a mirror with the codec writes, by event
// and key.
type logLines struct{ list []map[string]any }

func (l *logLines) HandleLog(entry *log.Entry) error {
	l.list = append(l.list, entry.Fields)
	return nil
}

func (l *logLines) of(key string) []string {
	var errs []string
	for _, fields := range l.list {
		if fields["key"] == key {
			errs = append(errs, fmt.Sprint(fields["error"]))
		}
	}
	return errs
}

func newLoggedMirror() (*Mirror, *logLines) {
	lines := &logLines{}
	return New(Options{Codec: fakeCodec{}, Events: events.New(&log.Logger{Handler: lines, Level: log.DebugLevel})}), lines
}

// Guards against a record that can't be used and floods the log because its
// writer renews it with each heartbeat.
func TestRejectedRecordIsLoggedOnce(t *testing.T) {
	m, lines := newLoggedMirror()
	now := time.Now()
	revision := uint64(1)
	write := func(key, value string) {
		m.apply([]kv.Item{put(key, value, revision)}, at(revision), now, "store")
		revision++
		now = now.Add(1500 * time.Millisecond)
	}
	for range 100 {
		write("t:1", "bad")
		write("t:2", "bad")
	}
	assert.Len(t, lines.of("t:1"), 1)
	assert.Len(t, lines.of("t:2"), 1)
	write("t:1", "a")
	write("t:1", "bad")
	assert.Len(t, lines.of("t:1"), 2, "it was valid in between")
	m.apply([]kv.Item{{Key: "t:1", Revision: revision, Deleted: true}}, at(revision), now, "store")
	revision++
	write("t:1", "bad")
	assert.Len(t, lines.of("t:1"), 3, "it was deleted in between")
	for i := range 100 {
		write("t:3", fmt.Sprint("bad ", i))
	}
	assert.Greater(t, len(lines.of("t:3")), 1, "another fault is logged")
	assert.Less(t, len(lines.of("t:3")), 20, "faults that change each time are not all logged")
	for range 100 {
		m.apply([]kv.Item{{Key: "t:4", Fault: "bad revision"}, {Fault: "bad key"}}, at(revision), now, "store")
	}
	assert.Len(t, lines.of("t:4"), 1)
	assert.Len(t, lines.of(""), 1)
	revision++
	write("t:5", "bad "+strings.Repeat("x", 1_000_000))
	require.Len(t, lines.of("t:5"), 1)
	assert.Less(t, len(lines.of("t:5")[0]), 16<<10)
	for i := range 3 * maxRejections {
		m.apply([]kv.Item{{Key: fmt.Sprint("t:many", i), Fault: "bad revision"}}, at(revision), now, "store")
	}
	assert.LessOrEqual(t, len(m.rejections), maxRejections)
}

// Guards against messages between instances that are too large to be received
// because of records that no instance can use.
func TestValuesOfRejectedRecordsAreNotKept(t *testing.T) {
	m, _ := newLoggedMirror()
	now := time.Now()
	large := strings.Repeat("x", 1_000_000)
	m.replaceAll([]kv.Item{put("t:1", "a", 1)}, at(1), now, "store")
	m.apply([]kv.Item{put("t:2", "bad "+large, 2), put("other", large, 3), put("t:3", "c", 4)}, at(4), now, "store")
	for _, snapshot := range []Snapshot{m.ChangesSince(at(1)), m.ChangesSince(at(0))} {
		size := 0
		for _, item := range snapshot.Items {
			size += len(item.Value) + len(item.Fault)
		}
		assert.Less(t, size, 1024)
		peer, lines := newLoggedMirror()
		peer.replaceAll([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 1)}, at(1), now, "store")
		peer.apply(snapshot.Items, snapshot.Position(), now, "peer")
		assert.ElementsMatch(t, []string{"1", "3"}, ids(peer.State()), "peers reject the record too")
		assert.Len(t, lines.of("t:2"), 1)
	}
}

// Guards against a stopping instance that reports the store as lost because its
// call ended with the context.
func TestStopDoesNotCountAsALostStore(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	cancel()
	<-done
	assert.True(t, m.StoreReachable(time.Now(), time.Minute))
}

// Guards against peers that leave the store to an instance that is still reading
// its first records.
func TestFirstReadDoesNotCountAsReachingTheStoreBeforeItsEnd(t *testing.T) {
	m := newMirror(nil)
	m.noteProgress()
	assert.False(t, m.StoreReachable(time.Now(), time.Minute))
	now := time.Now()
	m.handleStoreResponse(now.Add(-time.Hour), at(5))
	assert.False(t, m.StoreReachable(now, time.Minute))
	m.noteProgress()
	assert.True(t, m.StoreReachable(now, time.Minute))
	m.handleStoreError(now, &kv.Error{Op: "watch", Kind: kv.ErrUnavailable})
	m.noteProgress()
	assert.False(t, m.StoreReachable(now, time.Minute), "the call before failed")
}
