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

// The stand-in must lose a lease by time alone, as the platform does while a
// holder is paused.
func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformd.NewStore(nil)
		first, err := s.Acquire("l", "a", time.Second)
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = s.Renew("l", first.Token, time.Second)
		require.ErrorIs(t, err, kv.ErrConflict)
		_, err = s.Acquire("l", "b", time.Second)
		require.NoError(t, err)
	})
}

// A restore must bring back old values with their old revisions.
func TestRestore(t *testing.T) {
	s := platformd.NewStore(nil)
	revision, err := s.Put("k", []byte("old"), 0)
	require.NoError(t, err)
	s.Checkpoint("c")
	_, err = s.Put("k", []byte("new"), revision)
	require.NoError(t, err)
	require.True(t, s.Restore("c"))
	require.False(t, s.Restore("unknown"))
	v, err := s.Get("k")
	require.NoError(t, err)
	assert.Equal(t, kv.Value{Data: []byte("old"), Revision: revision}, v)
}

// The list must show a change only after its lag.
func TestInstanceListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformd.NewStore([]kv.Instance{{Name: "a"}})
		s.SetFaults(platformd.Faults{ListLagMs: 1000})
		s.SetInstances([]kv.Instance{{Name: "a", State: kv.InstanceLeaving}})
		time.Sleep(999 * time.Millisecond)
		list, err := s.Instances()
		require.NoError(t, err)
		assert.Empty(t, list[0].State)
		time.Sleep(time.Millisecond)
		list, err = s.Instances()
		require.NoError(t, err)
		assert.Equal(t, kv.InstanceLeaving, list[0].State)
	})
}

// A slow write whose caller gives up must still be able to take effect.
func TestSlowWriteTakesEffectAfterCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformd.NewStore(nil)
		s.SetFaults(platformd.Faults{DelayMs: 3000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := platformd.Local{Store: s}.Put(ctx, "k", []byte("v"), 0)
		require.ErrorIs(t, err, kv.ErrUncertain)
		time.Sleep(3 * time.Second)
		s.SetFaults(platformd.Faults{})
		_, err = s.Get("k")
		require.NoError(t, err)
	})
}

// Rates must refill with time, and a watch must count as a read.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformd.NewStore(nil)
		s.SetLimits(platformd.Limits{ReadsPerSecond: 2, WritesPerSecond: 1})
		_, err := s.Put("k", nil, 0)
		require.NoError(t, err)
		_, err = s.Put("k", nil, 1)
		require.ErrorIs(t, err, kv.ErrRateLimited)
		_, err = s.Watch("k", 0, time.Second)
		require.NoError(t, err)
		_, err = s.Get("k")
		require.NoError(t, err)
		_, err = s.Get("k")
		require.ErrorIs(t, err, kv.ErrRateLimited)
		time.Sleep(time.Second)
		_, err = s.Put("k", nil, 1)
		require.NoError(t, err)
		assert.Equal(t, platformd.Calls{Reads: 2, Watches: 1, Writes: 3, RateLimited: 2}, s.Calls())
	})
}
