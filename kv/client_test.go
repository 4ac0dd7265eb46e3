package kv_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// startPlatform runs the stand-in on loopback and returns a client for it.
func startPlatform(t *testing.T, s *platformd.Store) *kv.Client {
	t.Helper()
	hlog.SetLevel(hlog.LevelFatal)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Millisecond))
	platformd.Register(h, s)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	c, err := kv.NewClient(listener.Addr().String())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := c.Get(t.Context(), "up")
		return platformResponded(err)
	}, 10*time.Second, 5*time.Millisecond)
	return c
}

func platformResponded(err error) bool {
	e, ok := err.(*kv.Error)
	return ok && e.Kind == kv.ErrNotFound
}

// A lost answer must be reported as uncertain even on a connection that was
// used before: an HTTP client that repeats the PUT reports a conflict instead.
func TestWriteWithLostResponseIsUncertain(t *testing.T) {
	s := platformd.NewStore(nil)
	c := startPlatform(t, s)
	ctx := context.Background()
	revision, err := c.Put(ctx, "k", []byte("one"), 0)
	require.NoError(t, err)

	s.SetFaults(platformd.Faults{LoseAnswers: 1})
	_, err = c.Put(ctx, "k", []byte("two"), revision)
	require.ErrorIs(t, err, kv.ErrUncertain)

	v, err := c.Get(ctx, "k")
	require.NoError(t, err)
	assert.Equal(t, "two", string(v.Data), "the write took effect")
	assert.Equal(t, revision+1, v.Revision)
}

// Each kind of failure must reach the caller as its own typed error.
func TestErrorKindsAndCallCounts(t *testing.T) {
	s := platformd.NewStore(nil)
	c := startPlatform(t, s)
	ctx := context.Background()
	before := c.Counts()

	_, err := c.Put(ctx, "k", nil, 7)
	require.ErrorIs(t, err, kv.ErrConflict)
	s.SetFaults(platformd.Faults{Outage: true})
	_, err = c.Put(ctx, "k", nil, 0)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	s.SetFaults(platformd.Faults{})
	s.SetLimits(platformd.Limits{ReadsPerSecond: 1, WritesPerSecond: 1})
	_, err = c.Get(ctx, "k")
	require.ErrorIs(t, err, kv.ErrNotFound)
	_, err = c.Watch(ctx, "k", 0, time.Millisecond)
	require.ErrorIs(t, err, kv.ErrRateLimited, "a watch counts as a call")

	after := c.Counts()
	assert.Equal(t, uint64(2), after.Writes-before.Writes)
	assert.Equal(t, uint64(1), after.Reads-before.Reads)
	assert.Equal(t, uint64(1), after.Watches-before.Watches)
	assert.Equal(t, uint64(2), after.Failed-before.Failed)
}

// A call to an address where nothing listens had no effect, so it is not uncertain.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	c, err := kv.NewClient(address)
	require.NoError(t, err)
	_, err = c.Put(context.Background(), "k", nil, 0)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	assert.NotErrorIs(t, err, kv.ErrUncertain)
}

// A holder must not renew or release a lease that another holder has since got.
func TestLostLeaseIsNotRenewedOrReleased(t *testing.T) {
	s := platformd.NewStore(nil)
	c := startPlatform(t, s)
	ctx := context.Background()
	first, err := c.Acquire(ctx, "l", "a", time.Hour)
	require.NoError(t, err)
	_, err = c.Acquire(ctx, "l", "b", time.Hour)
	require.ErrorIs(t, err, kv.ErrConflict)
	_, err = c.Renew(ctx, first, time.Hour)
	require.NoError(t, err)
	require.NoError(t, c.Release(ctx, first))
	second, err := c.Acquire(ctx, "l", "b", time.Hour)
	require.NoError(t, err)
	assert.Greater(t, second.Token, first.Token)
	_, err = c.Renew(ctx, first, time.Hour)
	require.ErrorIs(t, err, kv.ErrConflict)
	require.ErrorIs(t, c.Release(ctx, first), kv.ErrConflict)
}
