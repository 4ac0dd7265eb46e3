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

// fakeStore is a scripted kv.Store: it has items and a queue of answers to
// watches.
type fakeStore struct {
	kv.Store
	mu       sync.Mutex
	items    []kv.Item
	revision uint64
	err      error
	changes  chan watchResponse
	ranges   int
}

type watchResponse struct {
	items    []kv.Item
	revision uint64
	err      error
}

func (f *fakeStore) Range(context.Context, string) ([]kv.Item, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ranges++
	return f.items, f.revision, f.err
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]kv.Item, uint64, error) {
	f.mu.Lock()
	err := f.err
	f.mu.Unlock()
	if err != nil {
		return nil, after, err
	}
	select {
	case a := <-f.changes:
		return a.items, a.revision, a.err
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// fakeCodec reads "t:ID" as a target and "c" as a configuration whose version
// is its revision.
type fakeCodec struct{}

var errBad = errors.New("bad record")

func (fakeCodec) DecodeUpdate(item kv.Item, _ time.Time) (steering.Update, error) {
	id, isTarget := strings.CutPrefix(item.Key, "t:")
	switch {
	case isTarget && (item.Deleted || string(item.Value) == "bad"):
		err := errBad
		if item.Deleted {
			err = nil
		}
		return steering.TargetRemoval{ID: id}, err
	case isTarget:
		return steering.TargetUpdate{Target: &steering.Target{ID: id, Service: "s", Address: string(item.Value)}}, nil
	case item.Key == "c" && !item.Deleted:
		return steering.ConfigUpdate{Config: &steering.Config{Version: steering.Version(item.Revision)}}, nil
	}
	return nil, nil
}

func newMirror(s kv.Store) *Mirror {
	return New(Options{Store: s, Codec: fakeCodec{}, Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)})})
}

func put(key, value string, revision uint64) kv.Item {
	return kv.Item{Key: key, Value: []byte(value), Revision: revision}
}

func ids(w *steering.State) []string {
	list := []string{}
	for id := range w.Targets {
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
	assert.ElementsMatch(t, []string{"2", "3"}, ids(m.State()), "the whole state is read when history is gone")
	assert.Equal(t, 2, s.ranges)
	cancel()
	<-done
}

// Guards against pages that are no snapshot and peers that are behind: an older
// record must not replace a newer one.
func TestOlderRecordsAreIgnored(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.apply([]kv.Item{put("t:1", "new", 8)}, 8, now, "store")
	m.apply([]kv.Item{put("t:1", "old", 4)}, 9, now, "peer")
	assert.Equal(t, "new", m.State().Targets["1"].Address)
	m.apply([]kv.Item{{Key: "t:1", Revision: 5, Deleted: true}}, 10, now, "peer")
	assert.Len(t, m.State().Targets, 1)
}

// Guards against a foreign record that takes the others with it.
func TestBadRecordDoesNotAffectOthers(t *testing.T) {
	m := newMirror(nil)
	m.apply([]kv.Item{put("t:1", "a", 1), put("t:2", "bad", 2), put("t:3", "c", 3)}, 3, time.Now(), "store")
	assert.ElementsMatch(t, []string{"1", "3"}, ids(m.State()))
	m.apply([]kv.Item{put("t:1", "bad", 4)}, 4, time.Now(), "store")
	assert.ElementsMatch(t, []string{"3"}, ids(m.State()))
}

// Guards against a fleet that loses all targets because their records lapsed
// while the store was away, and against keeping those that do not come back.
func TestLapsedTargetsAreHeldAfterAStoreOutage(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.apply([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, 2, now, "store")
	m.lostSince = now
	now = now.Add(5 * time.Second)
	m.handleStoreResponse(now, 6)
	gone := []kv.Item{{Key: "t:1", Revision: 5, Deleted: true}, {Key: "t:2", Revision: 6, Deleted: true}}
	m.apply(gone, 6, now, "store")
	assert.Len(t, m.State().Targets, 2)
	m.apply([]kv.Item{put("t:1", "a", 7)}, 7, now.Add(time.Second), "store")
	m.removeExpiredTargets(now.Add(renewalGrace - time.Millisecond))
	assert.Len(t, m.State().Targets, 2)
	m.removeExpiredTargets(now.Add(renewalGrace))
	assert.Equal(t, []string{"1"}, ids(m.State()))
	m.apply([]kv.Item{{Key: "t:1", Revision: 8, Deleted: true}}, 8, now.Add(renewalGrace+time.Second), "store")
	assert.Empty(t, m.State().Targets, "in calm times a deletion counts at once")
}

// Guards against peers that exchange all records for one change, and against
// a peer that misses changes because they are no longer known one by one.
func TestPeersGetChangesOrAllRecords(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.replaceAll([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, 10, now, "store")
	m.apply([]kv.Item{put("t:3", "c", 11), {Key: "t:1", Revision: 12, Deleted: true}}, 12, now, "store")
	s := m.ChangesSince(10)
	assert.False(t, s.Whole)
	assert.Equal(t, []kv.Item{put("t:3", "c", 11), {Key: "t:1", Revision: 12, Deleted: true}}, s.Items)
	assert.Empty(t, m.ChangesSince(12).Items)
	whole := m.ChangesSince(3)
	assert.True(t, whole.Whole)
	assert.Len(t, whole.Items, 2)

	other := newMirror(nil)
	other.replaceAll(whole.Items, whole.Revision, now, "peer")
	assert.ElementsMatch(t, ids(m.State()), ids(other.State()))
	for i := range uint64(2*maxHistoryKeys + 10) {
		m.apply([]kv.Item{put(fmt.Sprint("t:new", i), "b", 20+i)}, 20+i, now, "store")
	}
	assert.True(t, m.ChangesSince(12).Whole)
	assert.False(t, m.ChangesSince(20+2*maxHistoryKeys).Whole)
}

// Guards against a history that holds many versions of a large configuration.
func TestHistoryHoldsTheLatestChangeOfAKey(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.replaceAll(nil, 10, now, "store")
	m.apply([]kv.Item{put("t:1", "a", 11)}, 11, now, "store")
	for i := range uint64(5 * maxHistoryKeys) {
		m.apply([]kv.Item{put("c", "", 20+i)}, 20+i, now, "store")
	}
	s := m.ChangesSince(10)
	assert.False(t, s.Whole)
	assert.Equal(t, []kv.Item{put("t:1", "a", 11), put("c", "", 19+5*maxHistoryKeys)}, s.Items)
	assert.LessOrEqual(t, len(m.history.items), 2*maxHistoryKeys)
}

// Guards against an instance that the store refuses and that then misses a
// change which its peers know.
func TestRecordsAreFetchedFromAPeerDuringAStoreOutage(t *testing.T) {
	s := &fakeStore{err: &kv.Error{Op: "range", Kind: kv.ErrUnavailable}}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("c", "", 4), put("t:1", "a", 3)}, 4, time.Now(), "store")
	m.options.NewerPeer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	m.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.ChangesSince(after), nil }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.State().Config != nil }, time.Second, time.Millisecond)
	peer.apply([]kv.Item{put("c", "", 6)}, 6, time.Now(), "store")
	require.Eventually(t, func() bool { return m.State().Config.Version == 6 }, 3*time.Second, time.Millisecond)
}

// Guards against a watch whose connection has gone silent: a change that peers
// know must not wait for its time-out.
func TestChangeMissedByTheWatchIsFetchedFromAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("c", "", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("c", "", 6)}, 6, time.Now(), "store")
	m.options.NewerPeer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	m.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.ChangesSince(after), nil }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	m.Wake()
	require.Eventually(t, func() bool { return m.State().Config.Version == 6 }, time.Second, time.Millisecond)
}

// Guards against calls to the store by every instance of a domain.
func TestInstanceThatDoesNotWatchFollowsAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("t:1", "a", 3)}, 5, time.Now(), "store")
	m.options.WatchesStore = func() bool { return false }
	m.options.NewerPeer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	m.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.ChangesSince(after), nil }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	peer.apply([]kv.Item{put("t:2", "b", 6)}, 6, time.Now(), "store")
	m.Wake()
	require.Eventually(t, func() bool { return m.Revision() == 6 }, time.Second, time.Millisecond)
	assert.Equal(t, 1, s.ranges)
}

// Guards against instances that follow a peer and lose all targets whose
// records lapsed while the store was away, although the peer holds them.
func TestFollowersHoldLapsedTargets(t *testing.T) {
	now := time.Now()
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, 2, now, "store")
	follower := newMirror(nil)
	follower.replaceAll([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, 2, now, "store")
	follower.options.NewerPeer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	follower.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.ChangesSince(after), nil }

	peer.lostSince = now.Add(-5 * time.Second)
	peer.handleStoreResponse(now, 4)
	peer.apply([]kv.Item{{Key: "t:1", Revision: 3, Deleted: true}, {Key: "t:2", Revision: 4, Deleted: true}}, 4, now, "store")
	follower.fetchFromPeer(context.Background())
	assert.Equal(t, uint64(4), follower.Revision())
	assert.ElementsMatch(t, []string{"1", "2"}, ids(follower.State()))
	follower.apply([]kv.Item{put("t:2", "b", 5)}, 5, now, "peer")
	follower.removeExpiredTargets(now.Add(renewalGrace + time.Second))
	assert.Equal(t, []string{"2"}, ids(follower.State()), "a record that does not come back is gone")
}

// Guards against a target that has left and is in use again: the answer of a
// slow watch is older than what a peer told meanwhile.
func TestLateWatchResponseDoesNotRestoreDeletedTargets(t *testing.T) {
	m := newMirror(nil)
	m.replaceAll([]kv.Item{put("t:1", "a", 3)}, 5, time.Now(), "store")
	m.apply([]kv.Item{put("t:2", "b", 6), {Key: "t:2", Revision: 8, Deleted: true}, {Key: "t:1", Revision: 9, Deleted: true}}, 9, time.Now(), "peer p")
	m.apply([]kv.Item{put("t:2", "b", 6)}, 7, time.Now(), "store")
	assert.Empty(t, ids(m.State()), "it left at revision 8")
	m.replaceAll([]kv.Item{put("t:1", "a", 3), put("t:3", "c", 11)}, 8, time.Now(), "store")
	assert.Equal(t, []string{"3"}, ids(m.State()), "a late read as well; what is newer counts")
	m.apply([]kv.Item{put("t:1", "a", 12)}, 12, time.Now(), "store")
	assert.ElementsMatch(t, []string{"1", "3"}, ids(m.State()), "it is back")
}

// Guards against an instance without records that waits for a peer which has
// none either, and against one that reads the store while it looks for peers.
func TestInstanceWithoutPeersReadsTheStore(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	var joining atomic.Bool
	joining.Store(true)
	m.options.DefersFirstRead = joining.Load
	m.options.WatchesStore = func() bool { return false }
	m.options.NewerPeer = func(uint64) (Peer, bool) { return Peer{}, false }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	time.Sleep(5 * joinPollInterval)
	assert.Zero(t, m.Revision())
	assert.Zero(t, s.ranges)
	joining.Store(false)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, 10*time.Millisecond)
}

// Guards against a read of the store by an instance that can take the records
// of a peer.
func TestStartingInstanceFetchesRecordsFromAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan watchResponse)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replaceAll([]kv.Item{put("t:1", "a", 3)}, 5, time.Now(), "store")
	m.options.DefersFirstRead = func() bool { return false }
	m.options.NewerPeer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	m.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.ChangesSince(after), nil }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	s.changes <- watchResponse{revision: 5}
	assert.Zero(t, s.ranges)
}
