package kv_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthstall/jacinthstall/kv"
)

// startRawServer responds to each request with fixed bytes and then closes or
// resets the connection.
func startRawServer(t *testing.T, response string, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, response)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against taking a response of the service that breaks off for a complete
// one: a part of the data for all of it, or a write for executed or refused.
func TestCutResponseHasNoDefiniteResult(t *testing.T) {
	const data = `{"items":[{"key":"a","value":"YQ=="},{"key":"b","value":"Yg=="}],"hasMore":false,"atRev":12}`
	withLength := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	statuses := map[int]error{200: nil, 204: nil, 404: kv.ErrNotFound, 410: kv.ErrHistoryGone, 412: kv.ErrConflict, 429: kv.ErrRateLimited, 503: kv.ErrUnavailable}
	for _, c := range []struct {
		name, method, response string
		kind                   error // Of the complete response.
		end                    int   // Bytes at the end that say nothing more.
	}{
		{"data", "GET", withLength(200, data), nil, 0},
		{"data in chunks", "GET", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", data[:10], len(data)-10, data[10:]), nil, 2},
		{"data without a length", "GET", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + data, nil, 0},
		{"missing", "GET", withLength(404, `{"error":"missing"}`), kv.ErrNotFound, 0},
		{"history gone", "GET", withLength(410, ""), kv.ErrHistoryGone, 0},
		{"written", "POST", withLength(200, `{"revision":12}`), nil, 0},
		{"written, no content", "POST", "HTTP/1.1 204 No Content\r\nX-Other: v\r\n\r\n", nil, 0},
		{"conflict", "POST", withLength(412, `{"items":[]}`), kv.ErrConflict, 0},
		{"rate limited", "POST", withLength(429, ""), kv.ErrRateLimited, 0},
		{"unavailable", "POST", withLength(503, "down"), kv.ErrUnavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for n := range len(c.response) + 1 {
				for _, reset := range []bool{false, true} {
					client, err := kv.NewHTTPClient(startRawServer(t, c.response[:n], reset), statuses)
					require.NoError(t, err)
					var dest *struct {
						Items []struct{ Key string }
					}
					call := kv.Call{Op: c.name, Method: c.method, Path: "/x", Timeout: time.Second}
					if c.method == "GET" {
						err = client.Do(context.Background(), call, &dest)
					} else {
						call.Body = []byte("{}")
						err = client.Do(context.Background(), call, nil)
					}
					name := fmt.Sprintf("%d of %d bytes, reset %v: %v", n, len(c.response), reset, err)
					switch {
					case n == len(c.response) && c.kind == nil && !reset:
						require.NoError(t, err, name)
					case n == len(c.response) && !reset:
						require.ErrorIs(t, err, c.kind, name)
					case n >= len(c.response)-c.end:
					case c.method == "GET":
						assert.ErrorIs(t, err, kv.ErrUnavailable, name)
					default:
						assert.ErrorIs(t, err, kv.ErrUncertain, name)
					}
				}
			}
		})
	}
}

// Guards against a store that seems away for longer than it is, because a read is
// sent on one kept connection after another that went silent together.
func TestReadAfterATimeoutUsesANewConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int32
	var both sync.WaitGroup // The first two connections have a request each.
	both.Add(2)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			first := accepted.Add(1) <= 2
			go func() {
				reader := bufio.NewReader(c)
				for i := 0; ; i++ {
					if _, err := http.ReadRequest(reader); err != nil {
						_ = c.Close()
						return
					}
					if first && i > 0 {
						continue // Silent after the first response.
					}
					if first {
						both.Done()
						both.Wait()
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
		}
	}()
	client, err := kv.NewHTTPClient(listener.Addr().String(), map[int]error{200: nil})
	require.NoError(t, err)
	read := func() error {
		return client.Do(context.Background(), kv.Call{Op: "get", Method: "GET", Path: "/", Timeout: 500 * time.Millisecond, MaxTime: time.Second}, nil)
	}
	var group errgroup.Group
	group.Go(read)
	group.Go(read)
	require.NoError(t, group.Wait())
	assert.Error(t, read(), "the connection is silent")
	assert.NoError(t, read(), "the other silent connection was used")
}
