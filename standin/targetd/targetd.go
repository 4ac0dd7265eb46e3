// Package targetd is a stand-in for a target, for tests and the demo. It
// executes a bounded number of requests at a time and sheds the rest with a
// proof that they were not executed. It starts cold, drains, stops work whose
// caller has gone or whose deadline has passed, and counts executions by
// idempotency key, those that were not finished included. Faults are set by
// options, by admin routes and by marks on requests.
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

// executionCount counts the executions of one key.
type executionCount struct {
	started, finished int
}

type loadSample struct {
	at   time.Time
	busy int
}

// Target is the state of a stand-in target.
type Target struct {
	options  Options
	listener *Listener // Nil when the target cannot crash.

	mu               sync.Mutex
	faults           Faults
	busy             int
	leaving          bool
	coldRequestsLeft int          // Requests left that are slow.
	loadHistory      []loadSample // Changes of the load, oldest first.
	executions       map[string]*executionCount
	report           Report
}

// New returns a target without a listener; it cannot crash.
func New(opts Options) *Target {
	if opts.Faults == (Faults{}) {
		opts.Faults = DefaultFaults()
	}
	return &Target{options: opts, faults: opts.Faults, coldRequestsLeft: opts.ColdRequests, executions: map[string]*executionCount{}}
}

// NewServer returns a target and its server on a listener.
func NewServer(opts Options, l *Listener) (*Target, *server.Hertz) {
	t := New(opts)
	t.listener = l
	h := server.New(
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithExitWaitTime(time.Millisecond),
		server.WithDisablePrintRoute(true),
	)
	t.Register(h)
	return t, h
}

// Register adds the target's routes to a server.
func (t *Target) Register(h *server.Hertz) {
	h.GET("/-/health", t.handleHealth)
	h.POST("/-/leave", t.handleLeave)
	h.POST("/-/return", t.handleReturn)
	h.POST("/-/crash", t.handleCrash)
	h.GET("/-/faults", t.handleGetFaults)
	h.POST("/-/faults", t.handleSetFaults)
	h.GET("/-/executed", t.handleGetReport)
	h.NoRoute(t.handleRequest)
}

func (t *Target) handleRequest(ctx context.Context, c *app.RequestContext) {
	key := string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey))
	duration, ok := t.beginExecution(key)
	if !ok {
		t.shed(c)
		return
	}
	if string(c.Request.Header.Peek(HeaderFault)) == "crash" && t.listener != nil {
		t.endExecution(key, false)
		t.crash()
		return
	}
	if string(c.Request.Header.Peek(HeaderFault)) == "late" {
		duration += time.Duration(t.currentFaults().LateMs) * time.Millisecond
	}
	finished := t.execute(ctx, c, duration)
	t.endExecution(key, finished)
	t.respond(c, finished)
}

// execute waits for the execution time. It returns false when the caller has
// gone or the deadline has passed before.
func (t *Target) execute(ctx context.Context, c *app.RequestContext, duration time.Duration) bool {
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

func (t *Target) respond(c *app.RequestContext, finished bool) {
	t.setLeavingHeader(c)
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
	c.JSON(200, map[string]string{"target": t.options.Name, "path": string(c.Path())})
}

// sendTruncated writes a part of an answer and closes the connection.
func sendTruncated(c *app.RequestContext, part string) {
	conn := c.GetConn()
	_, _ = conn.WriteBinary([]byte(part))
	_ = conn.Flush()
	_ = conn.Close()
}

func (t *Target) shed(c *app.RequestContext) {
	t.setLeavingHeader(c)
	if !t.currentFaults().ShedWithoutProof {
		c.Response.Header.Set(outcome.HeaderExecuted, string(outcome.No))
	}
	c.JSON(503, map[string]string{"error": "all slots are busy"})
}

func (t *Target) beginExecution(key string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy >= t.options.Slots {
		t.report.Shed++
		return 0, false
	}
	t.setBusy(t.busy + 1)
	t.report.Total++
	if key != "" {
		if t.executions[key] == nil {
			t.executions[key] = &executionCount{}
		}
		t.executions[key].started++
	}
	duration := t.options.ServiceTime
	if t.coldRequestsLeft > 0 {
		t.coldRequestsLeft--
		duration *= time.Duration(max(1, t.options.ColdFactor))
	}
	return duration, true
}

func (t *Target) endExecution(key string, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setBusy(t.busy - 1)
	if !finished {
		t.report.Unfinished++
	} else if key != "" {
		t.executions[key].finished++
	}
}

// maxLoadHistory bounds the history from which a lagging load is read.
const maxLoadHistory = 4096

func (t *Target) setBusy(busy int) {
	t.busy = busy
	t.loadHistory = append(t.loadHistory, loadSample{at: time.Now(), busy: busy})
	if len(t.loadHistory) > maxLoadHistory {
		t.loadHistory = append(t.loadHistory[:0], t.loadHistory[maxLoadHistory/2:]...)
	}
}

// crash ends as a process does; the target is cold when it is back.
func (t *Target) crash() {
	t.mu.Lock()
	down := time.Duration(t.faults.DownMs) * time.Millisecond
	t.coldRequestsLeft = t.options.ColdRequests
	t.report.Crashes++
	t.mu.Unlock()
	t.listener.Crash(down)
}

func (t *Target) currentFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) setLeavingHeader(c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		c.Response.Header.Set(outcome.HeaderTargetState, "leaving")
	}
}
