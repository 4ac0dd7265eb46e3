package targetd

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/outcome"
)

func (target *Target) handleHealth(_ context.Context, c *app.RequestContext) {
	target.mu.Lock()
	defer target.mu.Unlock()
	state := "ready"
	if target.leaving {
		state = "leaving"
	}
	if target.faults.ReportedState != "" {
		state = target.faults.ReportedState
	}
	if state == "leaving" {
		c.Response.Header.Set(outcome.HeaderTargetState, state)
	}
	c.JSON(200, map[string]string{"state": state, "busy": strconv.Itoa(target.reportedBusy(time.Now())), "slots": strconv.Itoa(target.options.Slots)})
}

// reportedBusy returns the load as it was before the lag.
func (target *Target) reportedBusy(now time.Time) int {
	if target.faults.ReportedBusy >= 0 {
		return target.faults.ReportedBusy
	}
	reportTime := now.Add(-time.Duration(target.faults.LoadLagMs) * time.Millisecond)
	busy := 0
	for _, sample := range target.loadHistory {
		if sample.at.After(reportTime) {
			break
		}
		busy = sample.busy
	}
	return busy
}

func (target *Target) handleLeave(_ context.Context, c *app.RequestContext) {
	target.setLeaving(c, true)
}
func (target *Target) handleReturn(_ context.Context, c *app.RequestContext) {
	target.setLeaving(c, false)
}

func (target *Target) setLeaving(c *app.RequestContext, leaving bool) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.leaving = leaving
	c.JSON(200, map[string]bool{"leaving": leaving})
}

func (target *Target) handleCrash(_ context.Context, c *app.RequestContext) {
	if target.listener == nil {
		c.JSON(409, map[string]string{"error": "the target has no listener of its own"})
		return
	}
	target.crash()
}

func (target *Target) handleGetFaults(_ context.Context, c *app.RequestContext) {
	c.JSON(200, target.currentFaults())
}

// handleSetFaults changes the faults that the body names and leaves the others.
func (target *Target) handleSetFaults(_ context.Context, c *app.RequestContext) {
	target.mu.Lock()
	defer target.mu.Unlock()
	faults := target.faults
	if err := json.Unmarshal(c.Request.Body(), &faults); err != nil {
		c.JSON(400, map[string]string{"error": err.Error()})
		return
	}
	target.faults = faults
	c.JSON(200, faults)
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
func (target *Target) Report() Report {
	target.mu.Lock()
	defer target.mu.Unlock()
	report := target.report
	report.Keys = len(target.executions)
	report.Executions = make(map[string]int, len(target.executions))
	for key, count := range target.executions {
		report.Executions[key] = count.started
		if count.started > 1 {
			report.Duplicates++
		}
	}
	return report
}

func (target *Target) handleGetReport(_ context.Context, c *app.RequestContext) {
	c.JSON(200, target.Report())
}
