package kv

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadDeadline(t *testing.T) {
	started := time.Unix(1000, 0)
	const second = minReadBytesPerSecond // Bytes that extend a deadline by 1 s.
	for _, c := range []struct {
		name         string
		at           time.Duration // Of the last part.
		received     int
		maxTime, end time.Duration
	}{
		{"the first part doesn't shorten the time limit", 10 * time.Millisecond, 5 * second, time.Minute, 2 * time.Second},
		{"a response that stops arriving", 2 * time.Second, 5 * second, time.Minute, 2*time.Second + maxReadStall},
		{"a response that arrives too slowly", 1900 * time.Millisecond, second / 8, time.Minute, 2125 * time.Millisecond},
		{"a response that is still arriving", 6500 * time.Millisecond, 5 * second, time.Minute, 7 * time.Second},
		{"the time limit of all responses", 6500 * time.Millisecond, 50 * second, 6700 * time.Millisecond, 6700 * time.Millisecond},
		{"a call without a longer limit", 1900 * time.Millisecond, 50 * second, 0, 2 * time.Second},
		{"the largest response", 2 * time.Second, maxResponseBytes, time.Minute, 2*time.Second + maxReadStall},
	} {
		limits := newReadLimits(Call{Timeout: 2 * time.Second, MaxTime: c.maxTime}, started)
		assert.Equal(t, started.Add(c.end), limits.deadline(started.Add(c.at), c.received), c.name)
	}
}

// Guards against a connection that goes silent during a response, or a response
// that arrives byte by byte, and holds a call for the time of a large response.
func TestReadThatStopsArrivingEndsEarly(t *testing.T) {
	t.Parallel()
	const timeout, maxTime = 200 * time.Millisecond, time.Minute
	for name, pause := range map[string]time.Duration{"silent": time.Hour, "byte by byte": 20 * time.Millisecond} {
		ctx, cancel := context.WithCancel(context.Background())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for {
				_, _ = w.Write([]byte(" "))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-time.After(pause):
				case <-ctx.Done():
					return
				}
			}
		})}
		go func() { _ = server.Serve(listener) }()
		client, err := NewHTTPClient(listener.Addr().String(), map[int]error{200: nil})
		require.NoError(t, err)
		started := time.Now()
		err = client.Do(ctx, Call{Op: name, Method: "GET", Path: "/", Timeout: timeout, MaxTime: maxTime}, nil)
		took := time.Since(started)
		require.ErrorIs(t, err, ErrUnavailable)
		var incomplete *IncompleteError
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.ErrorAs(t, failed.Cause, &incomplete)
		assert.ErrorIs(t, incomplete, errTimeLimit)
		assert.Positive(t, incomplete.Received)
		assert.Less(t, took, maxTime/10, name)
		cancel()
		_ = server.Close()
	}
}

// Guards against an instance that waits for the store while it stops.
func TestReadEndsWithItsContext(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := NewHTTPClient(listener.Addr().String(), nil)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	started := time.Now()
	assert.Error(t, client.Do(ctx, Call{Method: "GET", Path: "/", Timeout: time.Minute}, nil))
	assert.Less(t, time.Since(started), 10*time.Second)
}
