package balance

import (
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/settings"
)

const (
	// usableBudgetShare is the share of the deployment's retry budget that is
	// used. The remainder covers instances that have just started and are not
	// yet counted by their peers.
	usableBudgetShare = 0.85
	// firstRequestShare is the share of the usable budget available to
	// requests that were not refused before. Their callers can come back after
	// a refusal; a request that is refused a second time fails.
	firstRequestShare = 0.6
	// windowSteps is the number of steps in a window. One more step is kept:
	// its retries still count, but its requests do not, so that the ratio
	// holds for any window of that length.
	windowSteps = 10
	keptSteps   = windowSteps + 1
)

// RetryBudget limits the retries to each service. Each instance may use the
// retry ratio of its own requests and an equal share of the slack. The share
// accrues over the first window, because an instance that was restarted may have
// used it just before.
type RetryBudget struct {
	bounds  settings.Bounds
	started time.Time // Origin of the step numbers; monotonic.

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow counts requests and retries per step of the window.
type retryWindow struct {
	requests, retries [keptSteps]int
	step              int64
}

// NewRetryBudget returns a RetryBudget whose window starts at now.
func NewRetryBudget(bounds settings.Bounds, now time.Time) *RetryBudget {
	return &RetryBudget{bounds: bounds, started: now, services: map[string]*retryWindow{}}
}

// CountRequest counts a request from a caller to a service.
func (budget *RetryBudget) CountRequest(now time.Time, service string) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	window := budget.window(now, service)
	window.requests[window.step%keptSteps]++
}

// AllowRetry reports whether a retry is within the budget and, if so, counts
// it. instances is the number of instances that share the budget; refusedBefore
// tells whether the caller has been refused before.
func (budget *RetryBudget) AllowRetry(now time.Time, service string, instances int, refusedBefore bool) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	window := budget.window(now, service)
	requests, retries := 0, 0
	for i := range keptSteps {
		retries += window.retries[i]
		if int64(i) != (window.step+1)%keptSteps { // Requests of the oldest step do not count.
			requests += window.requests[i]
		}
	}
	share := usableBudgetShare
	if !refusedBefore {
		share *= firstRequestShare
	}
	slack := budget.bounds.RetrySlack / float64(max(1, instances))
	if age := now.Sub(budget.started); age < budget.bounds.RetryWindow {
		slack *= float64(age) / float64(budget.bounds.RetryWindow)
	}
	if float64(retries+1) > share*(budget.bounds.RetryRatio*float64(requests)+slack) {
		return false
	}
	window.retries[window.step%keptSteps]++
	return true
}

// window returns the counts of a service after clearing expired steps.
func (budget *RetryBudget) window(now time.Time, service string) *retryWindow {
	length := max(time.Second, budget.bounds.RetryWindow) / windowSteps
	step := int64(now.Sub(budget.started) / length)
	window := budget.services[service]
	if window == nil {
		window = &retryWindow{step: step}
		budget.services[service] = window
	}
	for i := 0; window.step < step && i < keptSteps; i++ {
		window.step++
		window.requests[window.step%keptSteps], window.retries[window.step%keptSteps] = 0, 0
	}
	window.step = max(window.step, step)
	return window
}
