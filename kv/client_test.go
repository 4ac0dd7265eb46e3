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

// startPlatform runs the stand-in platform on a loopback address and returns a
// client of it.
func startPlatform(t *testing.T, store *platformd.Store) *kv.Client {
	t.Helper()
	hlog.SetLevel(hlog.LevelFatal)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	httpServer := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Millisecond))
	platformd.Register(httpServer, store)
	go func() { _ = httpServer.Run() }()
	t.Cleanup(func() { _ = httpServer.Close() })
	client, err := kv.NewClient(listener.Addr().String())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := client.Get(t.Context(), "up")
		return platformResponded(err)
	}, 10*time.Second, 5*time.Millisecond)
	return client
}

func platformResponded(err error) bool {
	e, ok := err.(*kv.Error)
	return ok && e.Kind == kv.ErrNotFound
}

// A write whose response is lost must be reported as uncertain, also when a
// connection has been used before. An HTTP client that retries the PUT on such a
// connection would report a conflict instead.
func TestWriteWithLostResponseIsUncertain(t *testing.T) {
	store := platformd.NewStore(nil)
	client := startPlatform(t, store)
	ctx := context.Background()
	revision, err := client.Put(ctx, "k", []byte("one"), 0)
	require.NoError(t, err)

	store.SetFaults(platformd.Faults{LoseResponses: 1})
	_, err = client.Put(ctx, "k", []byte("two"), revision)
	require.ErrorIs(t, err, kv.ErrUncertain)

	value, err := client.Get(ctx, "k")
	require.NoError(t, err)
	assert.Equal(t, "two", string(value.Data), "the write took effect")
	assert.Equal(t, revision+1, value.Revision)
}

// Each kind of failure must be returned as its own error kind, and be counted.
func TestErrorKindsAndCallCounts(t *testing.T) {
	store := platformd.NewStore(nil)
	client := startPlatform(t, store)
	ctx := context.Background()
	before := client.Counts()

	_, err := client.Put(ctx, "k", nil, 7)
	require.ErrorIs(t, err, kv.ErrConflict)
	store.SetFaults(platformd.Faults{Outage: true})
	_, err = client.Put(ctx, "k", nil, 0)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	store.SetFaults(platformd.Faults{})
	store.SetLimits(platformd.Limits{ReadsPerSecond: 1, WritesPerSecond: 1})
	_, err = client.Get(ctx, "k")
	require.ErrorIs(t, err, kv.ErrNotFound)
	_, err = client.Watch(ctx, "k", 0, time.Millisecond)
	require.ErrorIs(t, err, kv.ErrRateLimited, "a watch counts as a call")

	after := client.Counts()
	assert.Equal(t, uint64(2), after.Writes-before.Writes)
	assert.Equal(t, uint64(1), after.Reads-before.Reads)
	assert.Equal(t, uint64(1), after.Watches-before.Watches)
	assert.Equal(t, uint64(2), after.Failed-before.Failed)
}

// A write to an address without a listener has no effect, so it must not be
// reported as uncertain.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client, err := kv.NewClient(address)
	require.NoError(t, err)
	_, err = client.Put(context.Background(), "k", nil, 0)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	assert.NotErrorIs(t, err, kv.ErrUncertain)
}

// A holder must not renew or release a lease that another holder has acquired in
// the meantime.
func TestLostLeaseIsNotRenewedOrReleased(t *testing.T) {
	store := platformd.NewStore(nil)
	client := startPlatform(t, store)
	ctx := context.Background()
	first, err := client.Acquire(ctx, "l", "a", time.Hour)
	require.NoError(t, err)
	_, err = client.Acquire(ctx, "l", "b", time.Hour)
	require.ErrorIs(t, err, kv.ErrConflict)
	_, err = client.Renew(ctx, first, time.Hour)
	require.NoError(t, err)
	require.NoError(t, client.Release(ctx, first))
	second, err := client.Acquire(ctx, "l", "b", time.Hour)
	require.NoError(t, err)
	assert.Greater(t, second.Token, first.Token)
	_, err = client.Renew(ctx, first, time.Hour)
	require.ErrorIs(t, err, kv.ErrConflict)
	require.ErrorIs(t, client.Release(ctx, first), kv.ErrConflict)
}
