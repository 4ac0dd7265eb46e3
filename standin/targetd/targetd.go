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

// execution counts the executions of one key.
type execution struct {
	started, finished int
}

type loadSample struct {
	at   time.Time
	busy int
}

// Target is the state of a stand-in target.
type Target struct {
	opts     Options
	listener *Listener // Nil when the target cannot crash.

	mu       sync.Mutex
	faults   Faults
	busy     int
	leaving  bool
	cold     int          // Requests left that are slow.
	samples  []loadSample // Changes of the load, oldest first.
	executed map[string]*execution
	report   Report
}

// New returns a target without a listener; it cannot crash.
func New(opts Options) *Target {
	if opts.Faults == (Faults{}) {
		opts.Faults = DefaultFaults()
	}
	return &Target{opts: opts, faults: opts.Faults, cold: opts.ColdRequests, executed: map[string]*execution{}}
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
	h.GET("/-/health", t.health)
	h.POST("/-/leave", t.leave)
	h.POST("/-/return", t.comeBack)
	h.POST("/-/crash", t.crashNow)
	h.GET("/-/faults", t.getFaults)
	h.POST("/-/faults", t.setFaults)
	h.GET("/-/executed", t.getReport)
	h.NoRoute(t.serve)
}

func (t *Target) serve(ctx context.Context, c *app.RequestContext) {
	key := string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey))
	duration, ok := t.begin(key)
	if !ok {
		t.shed(c)
		return
	}
	if string(c.Request.Header.Peek(HeaderFault)) == "crash" && t.listener != nil {
		t.end(key, false)
		t.crash()
		return
	}
	if string(c.Request.Header.Peek(HeaderFault)) == "late" {
		duration += time.Duration(t.currentFaults().LateMs) * time.Millisecond
	}
	finished := t.execute(ctx, c, duration)
	t.end(key, finished)
	t.answer(c, finished)
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

func (t *Target) answer(c *app.RequestContext, finished bool) {
	t.markLeaving(c)
	switch string(c.Request.Header.Peek(HeaderFault)) {
	case "truncate":
		breakOff(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
		return
	case "truncate-chunks":
		breakOff(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		return
	}
	if !finished {
		c.JSON(504, map[string]string{"error": "not finished"})
		return
	}
	c.JSON(200, map[string]string{"target": t.opts.Name, "path": string(c.Path())})
}

// breakOff writes a part of an answer and closes the connection.
func breakOff(c *app.RequestContext, part string) {
	conn := c.GetConn()
	_, _ = conn.WriteBinary([]byte(part))
	_ = conn.Flush()
	_ = conn.Close()
}

func (t *Target) shed(c *app.RequestContext) {
	t.markLeaving(c)
	if !t.currentFaults().ShedWithoutProof {
		c.Response.Header.Set(outcome.HeaderExecuted, string(outcome.No))
	}
	c.JSON(503, map[string]string{"error": "all slots are busy"})
}

func (t *Target) begin(key string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy >= t.opts.Slots {
		t.report.Shed++
		return 0, false
	}
	t.setBusy(t.busy + 1)
	t.report.Total++
	if key != "" {
		if t.executed[key] == nil {
			t.executed[key] = &execution{}
		}
		t.executed[key].started++
	}
	duration := t.opts.Service
	if t.cold > 0 {
		t.cold--
		duration *= time.Duration(max(1, t.opts.ColdFactor))
	}
	return duration, true
}

func (t *Target) end(key string, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setBusy(t.busy - 1)
	if !finished {
		t.report.Partial++
	} else if key != "" {
		t.executed[key].finished++
	}
}

// maxSamples bounds the history from which a lagging load is read.
const maxSamples = 4096

func (t *Target) setBusy(busy int) {
	t.busy = busy
	t.samples = append(t.samples, loadSample{at: time.Now(), busy: busy})
	if len(t.samples) > maxSamples {
		t.samples = append(t.samples[:0], t.samples[maxSamples/2:]...)
	}
}

// crash ends as a process does; the target is cold when it is back.
func (t *Target) crash() {
	t.mu.Lock()
	down := time.Duration(t.faults.DownMs) * time.Millisecond
	t.cold = t.opts.ColdRequests
	t.report.Crashes++
	t.mu.Unlock()
	t.listener.Crash(down)
}

func (t *Target) currentFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) markLeaving(c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		c.Response.Header.Set(outcome.HeaderTargetState, "leaving")
	}
}
