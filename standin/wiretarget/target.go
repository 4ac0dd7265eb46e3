// Package wiretarget is a stand-in for a target of the platform, for tests and
// the soak. It tells its load, answers only requests that name it, sheds with
// a statement that nothing was executed, is slower for objects that it does
// not know, and records what it executed. Faults are set by marks on requests
// and by calls.
package wiretarget

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/platform"
)

// HeaderFault on a request makes the target misbehave for it.
const HeaderFault = "X-Fault"

// Values of HeaderFault.
const (
	FaultExtraResponse = "extra"    // A late answer to another request comes first.
	FaultUnframed      = "unframed" // The answer has no length and ends with the connection.
	FaultTruncate      = "cut"      // The answer breaks off.
	FaultNoStamp       = "no-stamp" // The answer has no signature.
	FaultNoResponse    = "reset"    // The connection ends without an answer, after the execution.
	FaultStatus500     = "error"    // Status 500.
)

// Options describe a target.
type Options struct {
	ID        string
	Slots     int
	MaxQueued int           // Requests that may wait beyond the slots.
	WarmTime  time.Duration // Execution time for an object that it knows, or without one.
	ColdTime  time.Duration // Execution time for another object; 0 means Warm.
}

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	options Options

	mu           sync.Mutex
	running      int
	waiting      int
	knownObjects map[string]bool
	executions   map[string]int // Executions by request ID.
	aborted      int            // Executions whose caller left or whose deadline passed.
	bodies       map[string]string
	lastStart    time.Time     // Start of the last execution.
	freeSlots    chan struct{} // Holds a token for each free slot.
}

// New returns a target that has executed nothing.
func New(o Options) *Target {
	if o.ColdTime == 0 {
		o.ColdTime = o.WarmTime
	}
	t := &Target{options: o, knownObjects: map[string]bool{}, executions: map[string]int{}, bodies: map[string]string{},
		freeSlots: make(chan struct{}, o.Slots)}
	for range o.Slots {
		t.freeSlots <- struct{}{}
	}
	return t
}

// NewServer returns a server of the target for a listener.
func (t *Target) NewServer(l net.Listener) *server.Hertz {
	h := server.New(server.WithListener(l), server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
	h.NoRoute(t.handleRequest)
	return h
}

// Executions returns how often each request was executed, by its ID.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.executions))
	for id, n := range t.executions {
		out[id] = n
	}
	return out
}

// Aborted returns the executions that were ended early.
func (t *Target) Aborted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.aborted
}

// LastExecutionStart returns when the last execution began.
func (t *Target) LastExecutionStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastStart
}

// Body returns the body with which a request was executed last.
func (t *Target) Body(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodies[id]
}

func (t *Target) handleRequest(ctx context.Context, c *app.RequestContext) {
	id := string(c.Request.Header.Peek(platform.HeaderRequestID))
	c.Response.Header.Set(platform.HeaderRequestID, id)
	expected := string(c.Request.Header.Peek(platform.HeaderExpectTarget))
	switch {
	case expected != "" && expected != t.options.ID:
		t.rejectUnexecuted(c, 421)
		return
	case id == "":
		t.rejectUnexecuted(c, 400)
		return
	case !t.acquireSlot():
		t.rejectUnexecuted(c, 503)
		return
	}
	defer t.releaseSlot()
	if !t.execute(ctx, c, id) {
		c.SetStatusCode(504)
		t.setLoadHeader(c)
		return
	}
	t.respond(c, id)
}

// rejectUnexecuted answers without execution.
func (t *Target) rejectUnexecuted(c *app.RequestContext, status int) {
	c.Response.Header.Set(platform.HeaderNotExecuted, "1")
	t.setLoadHeader(c)
	c.SetStatusCode(status)
}

// acquireSlot takes a slot, or a place in the queue until there is one.
func (t *Target) acquireSlot() bool {
	select {
	case <-t.freeSlots:
	default:
		t.mu.Lock()
		if t.waiting >= t.options.MaxQueued {
			t.mu.Unlock()
			return false
		}
		t.waiting++
		t.mu.Unlock()
		<-t.freeSlots
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	return true
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	t.freeSlots <- struct{}{}
}

// execute works on a request. It returns false when the deadline passes or the
// caller leaves first.
func (t *Target) execute(ctx context.Context, c *app.RequestContext, id string) bool {
	object := string(c.Request.Header.Cookie("X-Jacinthstall-Affinity-Key"))
	t.mu.Lock()
	t.executions[id]++
	t.lastStart = time.Now()
	t.bodies[id] = string(c.Request.Body())
	work := t.options.ColdTime
	if object == "" || t.knownObjects[object] {
		work = t.options.WarmTime
	}
	t.knownObjects[object] = true
	t.mu.Unlock()
	left := time.Hour
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(platform.HeaderDeadline))); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	select {
	case <-time.After(work):
		return true
	case <-deadline.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.aborted++
	t.mu.Unlock()
	return false
}

func (t *Target) setLoadHeader(c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.Response.Header.Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.options.Slots))
}

func (t *Target) respond(c *app.RequestContext, id string) {
	t.setLoadHeader(c)
	c.SetStatusCode(200)
	stamp := "stamp-" + t.options.ID
	body := fmt.Sprintf("%s %s by %s", c.Method(), c.Request.RequestURI(), t.options.ID)
	switch string(c.Request.Header.Peek(HeaderFault)) {
	case FaultExtraResponse:
		t.writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other-%s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nextra",
			platform.HeaderRequestID, id, platform.HeaderServerStamp, stamp), false)
	case FaultUnframed:
		t.writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s",
			platform.HeaderRequestID, id, platform.HeaderServerStamp, stamp, body), true)
		return
	case FaultTruncate:
		t.writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 500\r\n\r\n%s",
			platform.HeaderRequestID, id, platform.HeaderServerStamp, stamp, body), true)
		return
	case FaultNoResponse:
		_ = c.GetConn().Close()
		return
	case FaultStatus500:
		c.SetStatusCode(500)
	case FaultNoStamp:
		stamp = ""
	}
	if stamp != "" {
		c.Response.Header.Set(platform.HeaderServerStamp, stamp)
	}
	c.Response.SetBodyString(body)
}

// writeRaw sends raw bytes, and closes the connection when they are the answer.
func (t *Target) writeRaw(c *app.RequestContext, raw string, closes bool) {
	conn := c.GetConn()
	_, _ = conn.WriteBinary([]byte(raw))
	_ = conn.Flush()
	if closes {
		_ = conn.Close()
	}
}
