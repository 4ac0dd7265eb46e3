package targetd

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/outcome"
)

func (t *Target) handleHealth(_ context.Context, c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := "ready"
	if t.leaving {
		state = "leaving"
	}
	if t.faults.ReportedState != "" {
		state = t.faults.ReportedState
	}
	if state == "leaving" {
		c.Response.Header.Set(outcome.HeaderTargetState, state)
	}
	c.JSON(200, map[string]string{"state": state, "busy": strconv.Itoa(t.reportedBusy(time.Now())), "slots": strconv.Itoa(t.options.Slots)})
}

// reportedBusy returns the load as it was before the lag.
func (t *Target) reportedBusy(now time.Time) int {
	if t.faults.ReportedBusy >= 0 {
		return t.faults.ReportedBusy
	}
	seen := now.Add(-time.Duration(t.faults.LoadLagMs) * time.Millisecond)
	busy := 0
	for _, s := range t.loadHistory {
		if s.at.After(seen) {
			break
		}
		busy = s.busy
	}
	return busy
}

func (t *Target) handleLeave(_ context.Context, c *app.RequestContext)  { t.setLeaving(c, true) }
func (t *Target) handleReturn(_ context.Context, c *app.RequestContext) { t.setLeaving(c, false) }

func (t *Target) setLeaving(c *app.RequestContext, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
	c.JSON(200, map[string]bool{"leaving": leaving})
}

func (t *Target) handleCrash(_ context.Context, c *app.RequestContext) {
	if t.listener == nil {
		c.JSON(409, map[string]string{"error": "the target has no listener of its own"})
		return
	}
	t.crash()
}

func (t *Target) handleGetFaults(_ context.Context, c *app.RequestContext) {
	c.JSON(200, t.currentFaults())
}

// handleSetFaults changes the faults that the body names and leaves the others.
func (t *Target) handleSetFaults(_ context.Context, c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.faults
	if err := json.Unmarshal(c.Request.Body(), &changed); err != nil {
		c.JSON(400, map[string]string{"error": err.Error()})
		return
	}
	t.faults = changed
	c.JSON(200, changed)
}

// Report counts the executions of a target.
type Report struct {
	Total      int `json:"total"`      // Executions that were started.
	Unfinished int `json:"partial"`    // Executions that were not finished.
	Shed       int `json:"shed"`       // Requests that were not executed.
	Crashes    int `json:"crashes"`    // Crashes of the target.
	Keys       int `json:"keys"`       // Different idempotency keys executed.
	Duplicates int `json:"duplicates"` // Keys whose execution was started more than once.
	// Executions counts started executions by key.
	Executions map[string]int `json:"executions,omitempty"`
}

// Report returns the counts so far.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Keys = len(t.executions)
	r.Executions = make(map[string]int, len(t.executions))
	for key, e := range t.executions {
		r.Executions[key] = e.started
		if e.started > 1 {
			r.Duplicates++
		}
	}
	return r
}

func (t *Target) handleGetReport(_ context.Context, c *app.RequestContext) {
	c.JSON(200, t.Report())
}
