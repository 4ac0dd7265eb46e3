package platformd_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// A lease must expire without any call, as on the platform while its holder is
// paused.
func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformd.NewStore(nil)
		lease, err := store.Acquire("l", "a", time.Second)
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = store.Renew("l", lease.Token, time.Second)
		require.ErrorIs(t, err, kv.ErrConflict)
		_, err = store.Acquire("l", "b", time.Second)
		require.NoError(t, err)
	})
}

// Restoring a checkpoint must reset values together with their revisions.
func TestRestore(t *testing.T) {
	store := platformd.NewStore(nil)
	revision, err := store.Put("k", []byte("old"), 0)
	require.NoError(t, err)
	store.Checkpoint("c")
	_, err = store.Put("k", []byte("new"), revision)
	require.NoError(t, err)
	require.True(t, store.Restore("c"))
	require.False(t, store.Restore("unknown"))
	v, err := store.Get("k")
	require.NoError(t, err)
	assert.Equal(t, kv.Value{Data: []byte("old"), Revision: revision}, v)
}

// A change of the list of instances must become visible only after the lag.
func TestInstanceListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformd.NewStore([]kv.Instance{{Name: "a"}})
		store.SetFaults(platformd.Faults{ListLagMs: 1000})
		store.SetInstances([]kv.Instance{{Name: "a", State: kv.InstanceLeaving}})
		time.Sleep(999 * time.Millisecond)
		list, err := store.Instances()
		require.NoError(t, err)
		assert.Empty(t, list[0].State)
		time.Sleep(time.Millisecond)
		list, err = store.Instances()
		require.NoError(t, err)
		assert.Equal(t, kv.InstanceLeaving, list[0].State)
	})
}

// A delayed write must take effect even if its caller has timed out.
func TestSlowWriteTakesEffectAfterCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformd.NewStore(nil)
		store.SetFaults(platformd.Faults{DelayMs: 3000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := platformd.Local{Store: store}.Put(ctx, "k", []byte("v"), 0)
		require.ErrorIs(t, err, kv.ErrUncertain)
		time.Sleep(3 * time.Second)
		store.SetFaults(platformd.Faults{})
		_, err = store.Get("k")
		require.NoError(t, err)
	})
}

// Rate limits must recover with time, and a watch must count as a read.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformd.NewStore(nil)
		store.SetLimits(platformd.Limits{ReadsPerSecond: 2, WritesPerSecond: 1})
		_, err := store.Put("k", nil, 0)
		require.NoError(t, err)
		_, err = store.Put("k", nil, 1)
		require.ErrorIs(t, err, kv.ErrRateLimited)
		_, err = store.Watch("k", 0, time.Second)
		require.NoError(t, err)
		_, err = store.Get("k")
		require.NoError(t, err)
		_, err = store.Get("k")
		require.ErrorIs(t, err, kv.ErrRateLimited)
		time.Sleep(time.Second)
		_, err = store.Put("k", nil, 1)
		require.NoError(t, err)
		assert.Equal(t, platformd.Calls{Reads: 2, Watches: 1, Writes: 3, RateLimited: 2}, store.Calls())
	})
}
