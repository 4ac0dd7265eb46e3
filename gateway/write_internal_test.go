package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

// respondAfterCancel runs the writer of a connection whose context has ended while
// the response was made, and returns what the caller receives.
func respondAfterCancel(t *testing.T, resp *response) string {
	t.Helper()
	g := New(Options{State: steering.NewState, Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)})})
	server := NewServer(g, nil)
	here, there := net.Pipe()
	c := newConn(context.Background(), server, there)
	c.pending = 1
	c.cancel()
	ex := &exchange{response: resp, ready: make(chan struct{}), ended: make(chan struct{})}
	close(ex.ready)
	c.exchanges <- ex
	close(c.exchanges)
	received := make(chan string)
	go func() {
		content, _ := io.ReadAll(here)
		received <- string(content)
	}()
	c.writeLoop()
	_ = there.Close()
	select {
	case content := <-received:
		return content
	case <-time.After(10 * time.Second):
		t.Fatal("the connection does not end")
		return ""
	}
}

// Guards against discarding a response that is ready when the context ends, and
// against sending the status that the log has for callers that left. Both depended
// on which of two events a select statement took.
func TestResponseReadyAtCancellation(t *testing.T) {
	for range 20 {
		assert.Contains(t, respondAfterCancel(t, &response{status: 200, header: http.Header{}, body: []byte("whole")}), "whole")
		assert.Empty(t, respondAfterCancel(t, (&routedRequest{}).interruptedResponse(cancelledContext())))
	}
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
