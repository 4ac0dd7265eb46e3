// Package wiretarget is a stand-in for a target of the platform, used by tests and
// the soak. It reports its load, rejects requests that are addressed to another
// target, sheds requests with a statement that they were not executed, is slower
// for objects that it has not served before, may state a rate limit, that it is
// leaving or that it wants a pause, and records arrivals and executions. Faults are selected by request headers.
package wiretarget

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/platform"
)

// HeaderFault is the request header that selects a fault for that request.
const HeaderFault = "X-Fault"

// Values of HeaderFault.
const (
	FaultExtraResponse = "extra"    // Sends a late response to another request first.
	FaultUnframed      = "unframed" // The response has no length and ends when the connection is closed.
	FaultTruncate      = "cut"      // The connection is closed before the end of the response.
	FaultNoStamp       = "no-stamp" // The response has no signature.
	FaultNoResponse    = "reset"    // The connection is closed after the execution, without a response.
	FaultStatus500     = "error"    // The response has status 500.
)

// Options configures a target.
type Options struct {
	ID        string
	Slots     int
	MaxQueued int           // Maximum number of requests that wait for a slot.
	WarmTime  time.Duration // Execution time of requests without an object or with a known object.
	ColdTime  time.Duration // Execution time of requests with a new object; 0 means WarmTime.
}

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	options Options

	mu           sync.Mutex
	running      int
	waiting      int
	knownObjects map[string]bool
	executions   map[string]int // Executions by request ID.
	aborted      int            // Executions ended by a disconnected client or a passed deadline.
	bodies       map[string]string
	lastStart    time.Time     // Time at which the latest execution started.
	rateLimit    string        // Stated in responses; empty for none.
	leaving      bool          // Stated in responses.
	pausedUntil  time.Time     // Until then requests are rejected, with the rest of the time.
	arrivals     []time.Time   // Of all requests, rejected ones included.
	freeSlots    chan struct{} // Contains one element for each free slot.
}

// New returns a target without executions.
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

// NewServer returns an HTTP server that serves the target on a listener.
func (target *Target) NewServer(listener net.Listener) *server.Hertz {
	httpServer := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
	httpServer.NoRoute(target.handleRequest)
	return httpServer
}

// Executions returns the number of executions by request ID.
func (target *Target) Executions() map[string]int {
	target.mu.Lock()
	defer target.mu.Unlock()
	counts := make(map[string]int, len(target.executions))
	for id, n := range target.executions {
		counts[id] = n
	}
	return counts
}

// Aborted returns the number of executions that did not finish because the client
// disconnected or the deadline passed.
func (target *Target) Aborted() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.aborted
}

// LastExecutionStart returns the time at which the latest execution started.
func (target *Target) LastExecutionStart() time.Time {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.lastStart
}

// SetRateLimit makes the target state that it takes a number of requests per
// second from all instances together. It does not enforce the limit.
func (target *Target) SetRateLimit(perSecond float64) {
	target.setRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
}

// ClearRateLimit makes the target state no limit.
func (target *Target) ClearRateLimit() { target.setRateLimit("") }

func (target *Target) setRateLimit(stated string) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.rateLimit = stated
}

// SetLeaving makes the target state in all responses that it is leaving.
func (target *Target) SetLeaving(leaving bool) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.leaving = leaving
}

// Pause makes the target reject all requests for some time and ask the senders to
// send nothing until its end.
func (target *Target) Pause(duration time.Duration) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.pausedUntil = time.Now().Add(duration)
}

// pauseLeft returns the rest of the pause.
func (target *Target) pauseLeft() time.Duration {
	target.mu.Lock()
	defer target.mu.Unlock()
	return time.Until(target.pausedUntil)
}

// Arrivals returns the times at which requests arrived, in ascending order.
func (target *Target) Arrivals() []time.Time { return target.ArrivalsAfter(time.Time{}) }

// ArrivalsAfter returns the times from from on at which requests arrived, in
// ascending order.
func (target *Target) ArrivalsAfter(from time.Time) []time.Time {
	target.mu.Lock()
	defer target.mu.Unlock()
	first, _ := slices.BinarySearchFunc(target.arrivals, from, time.Time.Compare)
	return slices.Clone(target.arrivals[first:])
}

// MostArrivals returns the largest number of requests that arrived within a window
// of the given length that begins at from or later.
func (target *Target) MostArrivals(from time.Time, window time.Duration) int {
	arrivals := target.ArrivalsAfter(from)
	most, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Body returns the request body of the latest execution of a request ID.
func (target *Target) Body(id string) string {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.bodies[id]
}

func (target *Target) handleRequest(ctx context.Context, c *app.RequestContext) {
	id := string(c.Request.Header.Peek(platform.HeaderRequestID))
	c.Response.Header.Set(platform.HeaderRequestID, id)
	target.recordArrival()
	expected := string(c.Request.Header.Peek(platform.HeaderExpectTarget))
	switch {
	case expected != "" && expected != target.options.ID:
		target.rejectUnexecuted(c, 421)
		return
	case id == "":
		target.rejectUnexecuted(c, 400)
		return
	case target.pauseLeft() > 0:
		c.Response.Header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(target.pauseLeft().Seconds(), 'f', 3, 64))
		target.rejectUnexecuted(c, 503)
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

// rejectUnexecuted responds with a statement that the request was not executed.
func (target *Target) rejectUnexecuted(c *app.RequestContext, status int) {
	c.Response.Header.Set(platform.HeaderNotExecuted, "1")
	target.setLoadHeader(c)
	c.SetStatusCode(status)
}

// acquireSlot takes a slot. If none is free, it waits in the queue, or returns
// false if the queue is full.
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

// execute simulates the execution of a request. It returns false if the deadline
// passes or the client disconnects first.
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

func (target *Target) recordArrival() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.arrivals = append(target.arrivals, time.Now())
}

// setLoadHeader adds the current load, the rate limit and whether the target is
// leaving to a response.
func (target *Target) setLoadHeader(c *app.RequestContext) {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.rateLimit != "" {
		c.Response.Header.Set(platform.HeaderServerLimit, target.rateLimit)
	}
	if target.leaving {
		c.Response.Header.Set(platform.HeaderServerLeaving, "1")
	}
	c.Response.Header.Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", target.running, target.waiting, target.options.Slots))
}

// respond sends the response to an executed request, with the fault that the
// request selects.
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

// writeRaw writes raw bytes to the connection, and closes it if closes is set.
func (target *Target) writeRaw(c *app.RequestContext, raw string, closes bool) {
	conn := c.GetConn()
	_, _ = conn.WriteBinary([]byte(raw))
	_ = conn.Flush()
	if closes {
		_ = conn.Close()
	}
}
