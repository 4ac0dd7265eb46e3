// Package targetd is a stand-in for a target, used by tests and the demo. It
// executes a limited number of requests concurrently and sheds further requests
// with a statement that they were not executed. It simulates a cold start and
// draining, and aborts an execution when the client disconnects or the deadline
// passes. It counts executions by idempotency key, including unfinished ones.
// Faults are selected by options, by admin routes and by request headers.
package targetd

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// executionCount counts the executions of one idempotency key.
type executionCount struct {
	started, finished int
}

type loadSample struct {
	at   time.Time
	busy int
}

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	options  Options
	listener *Listener // Nil if the target cannot simulate crashes.

	mu               sync.Mutex
	faults           Faults
	busy             int
	leaving          bool
	coldRequestsLeft int          // Number of further requests that are executed slowly.
	loadHistory      []loadSample // Changes of busy, oldest first.
	executions       map[string]*executionCount
	report           Report
}

// New returns a target without a listener. It cannot simulate crashes.
func New(options Options) *Target {
	if options.Faults == (Faults{}) {
		options.Faults = DefaultFaults()
	}
	return &Target{options: options, faults: options.Faults, coldRequestsLeft: options.ColdRequests, executions: map[string]*executionCount{}}
}

// NewServer returns a target and an HTTP server that serves it on a listener.
func NewServer(options Options, listener *Listener) (*Target, *server.Hertz) {
	target := New(options)
	target.listener = listener
	httpServer := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithExitWaitTime(time.Millisecond),
		server.WithDisablePrintRoute(true),
	)
	target.Register(httpServer)
	return target, httpServer
}

// Register adds the target's routes to a server.
func (target *Target) Register(httpServer *server.Hertz) {
	httpServer.GET("/-/health", target.handleHealth)
	httpServer.POST("/-/leave", target.handleLeave)
	httpServer.POST("/-/return", target.handleReturn)
	httpServer.POST("/-/crash", target.handleCrash)
	httpServer.GET("/-/faults", target.handleGetFaults)
	httpServer.POST("/-/faults", target.handleSetFaults)
	httpServer.GET("/-/executed", target.handleGetReport)
	httpServer.NoRoute(target.handleRequest)
}

func (target *Target) handleRequest(ctx context.Context, c *app.RequestContext) {
	key := string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey))
	duration, ok := target.beginExecution(key)
	if !ok {
		target.shed(c)
		return
	}
	if string(c.Request.Header.Peek(HeaderFault)) == "crash" && target.listener != nil {
		target.endExecution(key, false)
		target.crash()
		return
	}
	if string(c.Request.Header.Peek(HeaderFault)) == "late" {
		duration += time.Duration(target.currentFaults().LateMs) * time.Millisecond
	}
	finished := target.execute(ctx, c, duration)
	target.endExecution(key, finished)
	target.respond(c, finished)
}

// execute simulates an execution by waiting for duration. It returns false if the
// client disconnects or the deadline passes first.
func (target *Target) execute(ctx context.Context, c *app.RequestContext, duration time.Duration) bool {
	var deadline <-chan time.Time
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(outcome.HeaderDeadline))); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	select {
	case <-time.After(duration):
		return true
	case <-deadline:
	case <-ctx.Done():
	}
	return false
}

func (target *Target) respond(c *app.RequestContext, finished bool) {
	target.setLeavingHeader(c)
	switch string(c.Request.Header.Peek(HeaderFault)) {
	case "truncate":
		sendTruncated(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
		return
	case "truncate-chunks":
		sendTruncated(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		return
	}
	if !finished {
		c.JSON(504, map[string]string{"error": "not finished"})
		return
	}
	c.JSON(200, map[string]string{"target": target.options.Name, "path": string(c.Path())})
}

// sendTruncated writes an incomplete response and closes the connection.
func sendTruncated(c *app.RequestContext, response string) {
	conn := c.GetConn()
	_, _ = conn.WriteBinary([]byte(response))
	_ = conn.Flush()
	_ = conn.Close()
}

// shed responds to a request that is not executed because all slots are busy.
func (target *Target) shed(c *app.RequestContext) {
	target.setLeavingHeader(c)
	if !target.currentFaults().ShedWithoutProof {
		c.Response.Header.Set(outcome.HeaderExecuted, string(outcome.No))
	}
	c.JSON(503, map[string]string{"error": "all slots are busy"})
}

// beginExecution takes a slot and returns the execution time. It returns false if
// all slots are busy.
func (target *Target) beginExecution(key string) (time.Duration, bool) {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.busy >= target.options.Slots {
		target.report.Shed++
		return 0, false
	}
	target.setBusy(target.busy + 1)
	target.report.Total++
	if key != "" {
		if target.executions[key] == nil {
			target.executions[key] = &executionCount{}
		}
		target.executions[key].started++
	}
	duration := target.options.ServiceTime
	if target.coldRequestsLeft > 0 {
		target.coldRequestsLeft--
		duration *= time.Duration(max(1, target.options.ColdFactor))
	}
	return duration, true
}

// endExecution frees a slot and records whether the execution finished.
func (target *Target) endExecution(key string, finished bool) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.setBusy(target.busy - 1)
	if !finished {
		target.report.Unfinished++
	} else if key != "" {
		target.executions[key].finished++
	}
}

// maxLoadHistory limits the entries of Target.loadHistory.
const maxLoadHistory = 4096

func (target *Target) setBusy(busy int) {
	target.busy = busy
	target.loadHistory = append(target.loadHistory, loadSample{at: time.Now(), busy: busy})
	if len(target.loadHistory) > maxLoadHistory {
		target.loadHistory = append(target.loadHistory[:0], target.loadHistory[maxLoadHistory/2:]...)
	}
}

// crash simulates a process crash. The target is cold again after the restart.
func (target *Target) crash() {
	target.mu.Lock()
	downtime := time.Duration(target.faults.DownMs) * time.Millisecond
	target.coldRequestsLeft = target.options.ColdRequests
	target.report.Crashes++
	target.mu.Unlock()
	target.listener.Crash(downtime)
}

func (target *Target) currentFaults() Faults {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.faults
}

// setLeavingHeader adds the target's state to a response while it is leaving.
func (target *Target) setLeavingHeader(c *app.RequestContext) {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.leaving {
		c.Response.Header.Set(outcome.HeaderTargetState, "leaving")
	}
}
