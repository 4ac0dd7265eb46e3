package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Guards against refused requests that keep their request lines in memory until their
// responses are written: a connection may have many, and nothing else limits them.
func TestRefusedRequestsKeepNoRequestLine(t *testing.T) {
	const requests, lineBytes = 64, 50 << 10
	here, there := net.Pipe()
	defer func() { _, _ = here.Close(), there.Close() }()
	c := newConn(context.Background(), NewServer(New(Options{Headers: platform.Headers{}}), nil), here)
	head := "GET /" + strings.Repeat("x", lineBytes) + " HTTP/1.1\r\nHost: h\r\n\r\n"
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	exchanges := make([]*exchange, 0, requests)
	for i := range requests {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		require.NoError(t, err)
		exchanges = append(exchanges, c.refusedExchange(i, &incomingRequest{httpRequest: request}, systemResponse(http.StatusNotFound, "no-route")))
	}
	assert.Less(t, int64(heap())-int64(before), int64(requests*lineBytes/4))
	runtime.KeepAlive(exchanges)
}

// Guards against refusing the request of a caller that sends one at a time as one that
// is behind another: its caller may be faster than the writer of the response before.
func TestRequestAfterAResponseIsNotPipelined(t *testing.T) {
	here, there := net.Pipe()
	defer func() { _, _ = here.Close(), there.Close() }()
	c := newConn(context.Background(), NewServer(New(Options{State: steering.NewState}), nil), here)
	c.inputAwaited(nil)
	assert.False(t, c.isPipelined())
	c.inputAwaited(nil)
	assert.True(t, c.isPipelined())
	c.closesAfterResponse(nil)
	assert.False(t, c.isPipelined())
}
