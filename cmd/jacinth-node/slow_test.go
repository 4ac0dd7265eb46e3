package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// Guards against slow callers, in each direction, that take the memory of the process
// together, and against other callers that are not served meanwhile. The target of the
// uploads reads nothing.
func TestSlowCallersDoNotExhaustMemory(t *testing.T) {
	const (
		callers  = 160 // In each direction.
		uploaded = 360 << 10
		memory   = 128 << 20 // In the settings.
	)
	p := newProcess(t, 0)
	p.startReady()
	stalled, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = stalled.Close() })
	endless := startEndlessTarget(t, "HTTP/1.1 200 OK\r\n"+platform.HeaderRequestID+": ID\r\n"+platform.HeaderServerStamp+": s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n")
	p.store.Put(wiresite.TargetKey("stalled"), wiresite.TargetRecord("up", "d", stalled.Addr().String(), "ready", 2*callers))
	p.store.Put(wiresite.TargetKey("endless"), wiresite.TargetRecord("down", "d", endless, "ready", 2*callers))
	p.store.Put(wiresite.ConfigKey, wiresite.Config(2, "s", wiresite.Route{Segment: "app", Timeout: 8 * time.Second},
		wiresite.Route{Segment: "up", Service: "up", Timeout: 6 * time.Second}, wiresite.Route{Segment: "down", Service: "down", Idempotent: true, Timeout: 6 * time.Second}))
	time.Sleep(time.Second) // The configuration is in force.
	var sending sync.WaitGroup
	for i := range callers {
		for _, request := range []string{
			wiresite.RequestHead("PUT", "/up/x", fmt.Sprint("u", i), "", 6*time.Second, fmt.Sprint("Content-Length: ", uploaded)) + strings.Repeat("x", uploaded/2),
			wiresite.Request("GET", "/down/x", fmt.Sprint("d", i), "", "", 6*time.Second),
		} {
			conn, err := p.dial()
			require.NoError(t, err)
			sending.Go(func() {
				_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
				_, _ = io.WriteString(conn, request)
			})
		}
	}
	sending.Wait()
	require.Eventually(t, p.serves, startTimeout, 50*time.Millisecond, "other callers are served")
	require.False(t, p.hasEnded(), "%v", p.cmd.ProcessState)
	peak := p.peakMemory()
	t.Logf("peak memory %d MB", peak>>20)
	assert.Less(t, peak, memory)
}
