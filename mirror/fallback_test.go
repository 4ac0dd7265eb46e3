package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
)

// Guards against an instance that never learns of changes again because its
// fetches from peers keep failing, although it reaches the store.
func TestFollowerWhoseFetchesFailReadsTheStore(t *testing.T) {
	t.Parallel()
	s := &fakeStore{items: []kv.Item{put("t:1", "a", 3)}, revision: 5, changes: make(chan watchResponse, 1)}
	m := newMirror(s)
	m.options.WatchesStore = func() bool { return false }
	m.options.NewerPeer = func(revision kv.Revision) (Peer, bool) { return Peer{Name: "p"}, revision.Number < 6 }
	var fetches atomic.Int32
	m.options.Fetch = func(context.Context, Peer, kv.Revision) (Snapshot, error) {
		fetches.Add(1)
		return Snapshot{}, errors.New("connection refused")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); m.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	require.Eventually(t, func() bool { return m.Revision() == 5 }, time.Second, time.Millisecond)
	s.changes <- watchResponse{items: []kv.Item{put("t:2", "b", 6)}, revision: 6}
	require.Eventually(t, func() bool { return m.Revision() == 6 }, 12*time.Second, 10*time.Millisecond)
	assert.Greater(t, fetches.Load(), int32(3), "one failed fetch is no reason")
	assert.ElementsMatch(t, []string{"1", "2"}, ids(m.State()))
	assert.Equal(t, 1, s.ranges)
}

// Guards against a fleet that calls the store together because one peer, or all
// of them, can't be fetched from.
func TestFollowersWhoseFetchesFailSpreadTheirCalls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ instances, maxPerSecond int }{{8, 6}, {65, 40}, {300, 75}, {2000, 80}, {8000, 260}} {
		for _, failing := range []int{1, c.instances} {
			random := rand.New(rand.NewPCG(uint64(c.instances), 7))
			followers := make([]storeFallback, failing)
			perSecond := make([]int, 240)
			now := time.Unix(1000, 0)
			for tick := range 4 * len(perSecond) {
				for i := range followers {
					if followers[i].fetchFailed(now, c.instances, random.Float64()) {
						perSecond[tick/4]++
					}
				}
				now = now.Add(followPollInterval)
			}
			calls, most := 0, 0
			for _, n := range perSecond {
				calls, most = calls+n, max(most, n)
			}
			t.Logf("%d of %d instances: %d calls in 240 s, at most %d in a second", failing, c.instances, calls, most)
			assert.LessOrEqual(t, most, c.maxPerSecond, "%d of %d instances", failing, c.instances)
			assert.GreaterOrEqual(t, calls, 3*failing, "each calls again")
			assert.Zero(t, perSecond[0]+perSecond[1]+perSecond[2], "one failed fetch calls nobody")
		}
	}
}

// Guards against a call to the store by an instance whose fetches fail now and
// then.
func TestSuccessfulFetchEndsTheFallback(t *testing.T) {
	var fallback storeFallback
	now := time.Unix(1000, 0)
	for range 100 {
		assert.False(t, fallback.fetchFailed(now, 8, 0))
		now = now.Add(minStoreCallInterval - time.Second)
		assert.False(t, fallback.fetchFailed(now, 8, 0))
		fallback.clear()
	}
	assert.False(t, fallback.fetchFailed(now, 8, 0))
	assert.True(t, fallback.fetchFailed(now.Add(minStoreCallInterval), 8, 0))
}
