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

// reportedBusy returns the load to report: Faults.ReportedBusy if it is set,
// otherwise the number of busy slots Faults.LoadLagMs before now.
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

// handleSetFaults updates the faults that are present in the body. The others
// remain unchanged.
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

// Report contains the counters of a target.
type Report struct {
	Total      int `json:"total"`      // Started executions.
	Unfinished int `json:"partial"`    // Executions that were aborted by a deadline, a canceled request or a crash.
	Shed       int `json:"shed"`       // Requests rejected because all slots were busy.
	Crashes    int `json:"crashes"`    // Simulated crashes.
	Keys       int `json:"keys"`       // Distinct idempotency keys with a started execution.
	Duplicates int `json:"duplicates"` // Keys with more than one started execution.
	// Executions maps each idempotency key to its number of started executions.
	Executions map[string]int `json:"executions,omitempty"`
}

// Report returns the current counters.
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
