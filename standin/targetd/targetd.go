// Package targetd is a stand-in for a target, for tests and the demo. It
// executes a bounded number of requests at a time and sheds the rest with a
// proof that they were not executed.
package targetd

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// Options configure a target.
type Options struct {
	Name    string
	Slots   int           // Requests executed at the same time.
	Service time.Duration // Execution time of a request.
}

// Target is the state of a stand-in target.
type Target struct {
	opts Options

	mu       sync.Mutex
	busy     int
	leaving  bool
	executed map[string]int // Executions by idempotency key.
	total    int
}

// New returns a target.
func New(opts Options) *Target {
	return &Target{opts: opts, executed: map[string]int{}}
}

// Register adds the target's routes to a server.
func (t *Target) Register(h *server.Hertz) {
	h.GET("/-/health", t.health)
	h.POST("/-/leave", t.leave)
	h.GET("/-/executed", t.report)
	h.NoRoute(t.serve)
}

func (t *Target) serve(ctx context.Context, c *app.RequestContext) {
	if !t.begin(string(c.Request.Header.Peek(outcome.HeaderKey))) {
		c.Response.Header.Set(outcome.HeaderExecuted, string(outcome.No))
		c.JSON(503, map[string]string{"error": "all slots are busy"})
		return
	}
	defer t.end()
	t.markLeaving(c)
	select {
	case <-time.After(t.opts.Service):
	case <-ctx.Done():
	}
	c.JSON(200, map[string]string{"target": t.opts.Name, "path": string(c.Path())})
}

func (t *Target) begin(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy >= t.opts.Slots {
		return false
	}
	t.busy++
	t.total++
	if key != "" {
		t.executed[key]++
	}
	return true
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

func (t *Target) markLeaving(c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		c.Response.Header.Set(outcome.HeaderTargetState, "leaving")
	}
}

func (t *Target) health(_ context.Context, c *app.RequestContext) {
	t.markLeaving(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	c.JSON(200, map[string]string{"busy": strconv.Itoa(t.busy), "slots": strconv.Itoa(t.opts.Slots)})
}

func (t *Target) leave(_ context.Context, c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	c.JSON(200, map[string]string{"state": "leaving"})
}

// Report counts the executions of a target.
type Report struct {
	Total      int `json:"total"`
	Keys       int `json:"keys"`       // Different idempotency keys executed.
	Duplicates int `json:"duplicates"` // Keys executed more than once.
}

// Report returns the counts so far.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Total: t.total, Keys: len(t.executed)}
	for _, n := range t.executed {
		if n > 1 {
			r.Duplicates++
		}
	}
	return r
}

func (t *Target) report(_ context.Context, c *app.RequestContext) {
	c.JSON(200, t.Report())
}
