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
	changes  chan answer
	ranges   int
}

type answer struct {
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

func (fakeCodec) DecodeUpdate(item kv.Item, _ time.Time) (steering.Fact, error) {
	id, isTarget := strings.CutPrefix(item.Key, "t:")
	switch {
	case isTarget && (item.Deleted || string(item.Value) == "bad"):
		err := errBad
		if item.Deleted {
			err = nil
		}
		return steering.TargetGone{ID: id}, err
	case isTarget:
		return steering.TargetIs{Target: &steering.Target{ID: id, Service: "s", Address: string(item.Value)}}, nil
	case item.Key == "c" && !item.Deleted:
		return steering.ConfigIs{Config: &steering.Config{Version: steering.Version(item.Revision)}}, nil
	}
	return nil, nil
}

func newMirror(s kv.Store) *Mirror {
	return New(Options{Store: s, Codec: fakeCodec{}, Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)})})
}

func put(key, value string, revision uint64) kv.Item {
	return kv.Item{Key: key, Value: []byte(value), Revision: revision}
}

func ids(w *steering.World) []string {
	list := []string{}
	for id := range w.Targets {
		list = append(list, id)
	}
	return list
}

func TestRunReadsThenFollows(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3), put("c", "", 2)}, revision: 5, changes: make(chan answer, 4)}
	m := newMirror(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	assert.Equal(t, []string{"1"}, ids(m.World()))
	s.changes <- answer{items: []kv.Item{put("t:2", "b", 6), {Key: "t:1", Revision: 7, Deleted: true}}, revision: 7}
	require.Eventually(t, func() bool { return m.Revision() == 7 }, time.Second, time.Millisecond)
	assert.Equal(t, []string{"2"}, ids(m.World()))

	s.mu.Lock()
	s.items, s.revision = []kv.Item{put("t:3", "c", 9), put("t:2", "b", 6)}, 9
	s.mu.Unlock()
	s.changes <- answer{err: &kv.Error{Op: "watch", Kind: kv.ErrHistoryGone}}
	require.Eventually(t, func() bool { return m.Revision() == 9 }, time.Second, time.Millisecond)
	assert.ElementsMatch(t, []string{"2", "3"}, ids(m.World()), "the whole state is read when history is gone")
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
	assert.Equal(t, "new", m.World().Targets["1"].Address)
	m.apply([]kv.Item{{Key: "t:1", Revision: 5, Deleted: true}}, 10, now, "peer")
	assert.Len(t, m.World().Targets, 1)
}

// Guards against a foreign record that takes the others with it.
func TestBadRecordStatesNothing(t *testing.T) {
	m := newMirror(nil)
	m.apply([]kv.Item{put("t:1", "a", 1), put("t:2", "bad", 2), put("t:3", "c", 3)}, 3, time.Now(), "store")
	assert.ElementsMatch(t, []string{"1", "3"}, ids(m.World()))
	m.apply([]kv.Item{put("t:1", "bad", 4)}, 4, time.Now(), "store")
	assert.ElementsMatch(t, []string{"3"}, ids(m.World()))
}

// Guards against a fleet that loses all targets because their records lapsed
// while the store was away, and against keeping those that do not come back.
func TestLapsedRecordsAreHeldAfterTheStoresReturn(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.apply([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, 2, now, "store")
	m.lost = now
	now = now.Add(5 * time.Second)
	m.answered(now, 6)
	gone := []kv.Item{{Key: "t:1", Revision: 5, Deleted: true}, {Key: "t:2", Revision: 6, Deleted: true}}
	m.apply(gone, 6, now, "store")
	assert.Len(t, m.World().Targets, 2)
	m.apply([]kv.Item{put("t:1", "a", 7)}, 7, now.Add(time.Second), "store")
	m.releaseHeld(now.Add(returnGrace - time.Millisecond))
	assert.Len(t, m.World().Targets, 2)
	m.releaseHeld(now.Add(returnGrace))
	assert.Equal(t, []string{"1"}, ids(m.World()))
	m.apply([]kv.Item{{Key: "t:1", Revision: 8, Deleted: true}}, 8, now.Add(returnGrace+time.Second), "store")
	assert.Empty(t, m.World().Targets, "in calm times a deletion counts at once")
}

// Guards against peers that exchange all records for one change, and against
// a peer that misses changes because they are no longer known one by one.
func TestPeersGetChangesOrTheWholeState(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.replace([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, 10, now, "store")
	m.apply([]kv.Item{put("t:3", "c", 11), {Key: "t:1", Revision: 12, Deleted: true}}, 12, now, "store")
	s := m.Since(10)
	assert.False(t, s.Whole)
	assert.Equal(t, []kv.Item{put("t:3", "c", 11), {Key: "t:1", Revision: 12, Deleted: true}}, s.Items)
	assert.Empty(t, m.Since(12).Items)
	whole := m.Since(3)
	assert.True(t, whole.Whole)
	assert.Len(t, whole.Items, 2)

	other := newMirror(nil)
	other.replace(whole.Items, whole.Revision, now, "peer")
	assert.ElementsMatch(t, ids(m.World()), ids(other.World()))
	for i := range uint64(2*historyItems + 10) {
		m.apply([]kv.Item{put(fmt.Sprint("t:new", i), "b", 20+i)}, 20+i, now, "store")
	}
	assert.True(t, m.Since(12).Whole)
	assert.False(t, m.Since(20+2*historyItems).Whole)
}

// Guards against a history that holds many versions of a large configuration.
func TestHistoryHoldsTheLatestChangeOfAKey(t *testing.T) {
	m := newMirror(nil)
	now := time.Now()
	m.replace(nil, 10, now, "store")
	m.apply([]kv.Item{put("t:1", "a", 11)}, 11, now, "store")
	for i := range uint64(5 * historyItems) {
		m.apply([]kv.Item{put("c", "", 20+i)}, 20+i, now, "store")
	}
	s := m.Since(10)
	assert.False(t, s.Whole)
	assert.Equal(t, []kv.Item{put("t:1", "a", 11), put("c", "", 19+5*historyItems)}, s.Items)
	assert.LessOrEqual(t, len(m.recent.items), 2*historyItems)
}

// Guards against an instance that the store refuses and that then misses a
// change which its peers know.
func TestStateOfAPeerIsTakenWhileTheStoreDoesNotAnswer(t *testing.T) {
	s := &fakeStore{err: &kv.Error{Op: "range", Kind: kv.ErrUnavailable}}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replace([]kv.Item{put("c", "", 4), put("t:1", "a", 3)}, 4, time.Now(), "store")
	m.options.Newer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	m.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.Since(after), nil }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.World().Config != nil }, time.Second, time.Millisecond)
	peer.apply([]kv.Item{put("c", "", 6)}, 6, time.Now(), "store")
	require.Eventually(t, func() bool { return m.World().Config.Version == 6 }, 3*time.Second, time.Millisecond)
}

// Guards against a watch whose connection has gone silent: a change that peers
// know must not wait for its time-out.
func TestChangeThatTheWatchDoesNotBringIsTakenFromAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("c", "", 3)}, revision: 5, changes: make(chan answer)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replace([]kv.Item{put("c", "", 6)}, 6, time.Now(), "store")
	m.options.Newer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	m.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.Since(after), nil }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	m.Wake()
	require.Eventually(t, func() bool { return m.World().Config.Version == 6 }, time.Second, time.Millisecond)
}

// Guards against calls to the store by every instance of a domain.
func TestInstanceThatDoesNotWatchFollowsAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan answer)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replace([]kv.Item{put("t:1", "a", 3)}, 5, time.Now(), "store")
	m.options.Watches = func() bool { return false }
	m.options.Newer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	m.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.Since(after), nil }
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
func TestFollowersHoldLapsedRecordsToo(t *testing.T) {
	now := time.Now()
	peer := newMirror(nil)
	peer.replace([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, 2, now, "store")
	follower := newMirror(nil)
	follower.replace([]kv.Item{put("t:1", "a", 1), put("t:2", "b", 2)}, 2, now, "store")
	follower.options.Newer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	follower.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.Since(after), nil }

	peer.lost = now.Add(-5 * time.Second)
	peer.answered(now, 4)
	peer.apply([]kv.Item{{Key: "t:1", Revision: 3, Deleted: true}, {Key: "t:2", Revision: 4, Deleted: true}}, 4, now, "store")
	follower.fetch(context.Background())
	assert.Equal(t, uint64(4), follower.Revision())
	assert.ElementsMatch(t, []string{"1", "2"}, ids(follower.World()))
	follower.apply([]kv.Item{put("t:2", "b", 5)}, 5, now, "peer")
	follower.releaseHeld(now.Add(returnGrace + time.Second))
	assert.Equal(t, []string{"2"}, ids(follower.World()), "a record that does not come back is gone")
}

// Guards against a target that has left and is in use again: the answer of a
// slow watch is older than what a peer told meanwhile.
func TestLateAnswerOfAWatchBringsNothingBack(t *testing.T) {
	m := newMirror(nil)
	m.replace([]kv.Item{put("t:1", "a", 3)}, 5, time.Now(), "store")
	m.apply([]kv.Item{put("t:2", "b", 6), {Key: "t:2", Revision: 8, Deleted: true}, {Key: "t:1", Revision: 9, Deleted: true}}, 9, time.Now(), "peer p")
	m.apply([]kv.Item{put("t:2", "b", 6)}, 7, time.Now(), "store")
	assert.Empty(t, ids(m.World()), "it left at revision 8")
	m.replace([]kv.Item{put("t:1", "a", 3), put("t:3", "c", 11)}, 8, time.Now(), "store")
	assert.Equal(t, []string{"3"}, ids(m.World()), "a late read as well; what is newer counts")
	m.apply([]kv.Item{put("t:1", "a", 12)}, 12, time.Now(), "store")
	assert.ElementsMatch(t, []string{"1", "3"}, ids(m.World()), "it is back")
}

// Guards against an instance without records that waits for a peer which has
// none either, and against one that reads the store while it looks for peers.
func TestInstanceWithoutPeersReadsTheStore(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan answer)}
	m := newMirror(s)
	var joining atomic.Bool
	joining.Store(true)
	m.options.Joining = joining.Load
	m.options.Watches = func() bool { return false }
	m.options.Newer = func(uint64) (Peer, bool) { return Peer{}, false }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	time.Sleep(5 * joinPause)
	assert.Zero(t, m.Revision())
	assert.Zero(t, s.ranges)
	joining.Store(false)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, 10*time.Millisecond)
}

// Guards against a read of the store by an instance that can take the records
// of a peer.
func TestInstanceThatStartsTakesTheRecordsOfAPeer(t *testing.T) {
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan answer)}
	m := newMirror(s)
	peer := newMirror(nil)
	peer.replace([]kv.Item{put("t:1", "a", 3)}, 5, time.Now(), "store")
	m.options.Joining = func() bool { return false }
	m.options.Newer = func(revision uint64) (Peer, bool) { return Peer{Name: "p"}, peer.Revision() > revision }
	m.options.Fetch = func(_ context.Context, _ Peer, after uint64) (Snapshot, error) { return peer.Since(after), nil }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	s.changes <- answer{revision: 5}
	assert.Zero(t, s.ranges)
}
