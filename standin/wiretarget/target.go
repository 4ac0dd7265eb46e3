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
func New(options Options) *Target {
	if options.ColdTime == 0 {
		options.ColdTime = options.WarmTime
	}
	target := &Target{options: options, knownObjects: map[string]bool{}, executions: map[string]int{}, bodies: map[string]string{},
		freeSlots: make(chan struct{}, options.Slots)}
	for range options.Slots {
		target.freeSlots <- struct{}{}
	}
	return target
}

// NewServer returns a server of the target for a listener.
func (target *Target) NewServer(listener net.Listener) *server.Hertz {
	httpServer := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
	httpServer.NoRoute(target.handleRequest)
	return httpServer
}

// Executions returns how often each request was executed, by its ID.
func (target *Target) Executions() map[string]int {
	target.mu.Lock()
	defer target.mu.Unlock()
	counts := make(map[string]int, len(target.executions))
	for id, n := range target.executions {
		counts[id] = n
	}
	return counts
}

// Aborted returns the executions that were ended early.
func (target *Target) Aborted() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.aborted
}

// LastExecutionStart returns when the last execution began.
func (target *Target) LastExecutionStart() time.Time {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.lastStart
}

// Body returns the body with which a request was executed last.
func (target *Target) Body(id string) string {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.bodies[id]
}

func (target *Target) handleRequest(ctx context.Context, c *app.RequestContext) {
	id := string(c.Request.Header.Peek(platform.HeaderRequestID))
	c.Response.Header.Set(platform.HeaderRequestID, id)
	expected := string(c.Request.Header.Peek(platform.HeaderExpectTarget))
	switch {
	case expected != "" && expected != target.options.ID:
		target.rejectUnexecuted(c, 421)
		return
	case id == "":
		target.rejectUnexecuted(c, 400)
		return
	case !target.acquireSlot():
		target.rejectUnexecuted(c, 503)
		return
	}
	defer target.releaseSlot()
	if !target.execute(ctx, c, id) {
		c.SetStatusCode(504)
		target.setLoadHeader(c)
		return
	}
	target.respond(c, id)
}

// rejectUnexecuted answers without execution.
func (target *Target) rejectUnexecuted(c *app.RequestContext, status int) {
	c.Response.Header.Set(platform.HeaderNotExecuted, "1")
	target.setLoadHeader(c)
	c.SetStatusCode(status)
}

// acquireSlot takes a slot, or a place in the queue until there is one.
func (target *Target) acquireSlot() bool {
	select {
	case <-target.freeSlots:
	default:
		target.mu.Lock()
		if target.waiting >= target.options.MaxQueued {
			target.mu.Unlock()
			return false
		}
		target.waiting++
		target.mu.Unlock()
		<-target.freeSlots
		target.mu.Lock()
		target.waiting--
		target.mu.Unlock()
	}
	target.mu.Lock()
	target.running++
	target.mu.Unlock()
	return true
}

func (target *Target) releaseSlot() {
	target.mu.Lock()
	target.running--
	target.mu.Unlock()
	target.freeSlots <- struct{}{}
}

// execute works on a request. It returns false when the deadline passes or the
// caller leaves first.
func (target *Target) execute(ctx context.Context, c *app.RequestContext, id string) bool {
	object := string(c.Request.Header.Cookie("X-Jacinthstall-Affinity-Key"))
	target.mu.Lock()
	target.executions[id]++
	target.lastStart = time.Now()
	target.bodies[id] = string(c.Request.Body())
	executionTime := target.options.ColdTime
	if object == "" || target.knownObjects[object] {
		executionTime = target.options.WarmTime
	}
	target.knownObjects[object] = true
	target.mu.Unlock()
	timeLeft := time.Hour
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(platform.HeaderDeadline))); err == nil {
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(timeLeft)
	defer deadline.Stop()
	select {
	case <-time.After(executionTime):
		return true
	case <-deadline.C:
	case <-ctx.Done():
	}
	target.mu.Lock()
	target.aborted++
	target.mu.Unlock()
	return false
}

func (target *Target) setLoadHeader(c *app.RequestContext) {
	target.mu.Lock()
	defer target.mu.Unlock()
	c.Response.Header.Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", target.running, target.waiting, target.options.Slots))
}

func (target *Target) respond(c *app.RequestContext, id string) {
	target.setLoadHeader(c)
	c.SetStatusCode(200)
	stamp := "stamp-" + target.options.ID
	body := fmt.Sprintf("%s %s by %s", c.Method(), c.Request.RequestURI(), target.options.ID)
	switch string(c.Request.Header.Peek(HeaderFault)) {
	case FaultExtraResponse:
		target.writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other-%s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nextra",
			platform.HeaderRequestID, id, platform.HeaderServerStamp, stamp), false)
	case FaultUnframed:
		target.writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s",
			platform.HeaderRequestID, id, platform.HeaderServerStamp, stamp, body), true)
		return
	case FaultTruncate:
		target.writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 500\r\n\r\n%s",
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
func (target *Target) writeRaw(c *app.RequestContext, raw string, closes bool) {
	conn := c.GetConn()
	_, _ = conn.WriteBinary([]byte(raw))
	_ = conn.Flush()
	if closes {
		_ = conn.Close()
	}
}
