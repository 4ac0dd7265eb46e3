package balance

import (
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/settings"
)

const (
	// usableBudgetShare is the part of the deployment's retry budget that is used.
	// The rest covers instances that have just started and do not know each
	// other yet.
	usableBudgetShare = 0.85
	// firstRequestShare is the part of it that requests may use whose callers ask for
	// the first time. They can come back; a request that was refused before
	// fails when it is refused again.
	firstRequestShare = 0.6
	// windowSteps is the number of parts that a window is counted in. One more
	// is kept, so that the oldest repeats of any window of that length count.
	windowSteps = 10
	keptSteps   = windowSteps + 1
)

// RetryBudget bounds the repeated requests to each service. Each instance has its
// own requests' part of the ratio and an equal part of the slack.
type RetryBudget struct {
	bounds  settings.Bounds
	started time.Time // Steps are counted from here, by the steady clock.

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow counts requests and repeats in the last window.
type retryWindow struct {
	requests, retries [keptSteps]int
	step              int64
}

// NewRetryBudget returns a budget of which nothing is used.
func NewRetryBudget(bounds settings.Bounds, now time.Time) *RetryBudget {
	return &RetryBudget{bounds: bounds, started: now, services: map[string]*retryWindow{}}
}

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.step%keptSteps]++
}

// AllowRetry reports whether a request may be sent once more, and counts it. fleet
// is the number of instances; returned says that the caller was refused before.
func (b *RetryBudget) AllowRetry(now time.Time, service string, fleet int, returned bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0, 0
	for i := range keptSteps {
		repeats += w.retries[i]
		if int64(i) != (w.step+1)%keptSteps { // The oldest step.
			requests += w.requests[i]
		}
	}
	share := usableBudgetShare
	if !returned {
		share *= firstRequestShare
	}
	slack := b.bounds.RetrySlack / float64(max(1, fleet))
	if float64(repeats+1) > share*(b.bounds.RetryRatio*float64(requests)+slack) {
		return false
	}
	w.retries[w.step%keptSteps]++
	return true
}

// window returns the counts of a service, with those that are too old removed.
func (b *RetryBudget) window(now time.Time, service string) *retryWindow {
	length := max(time.Second, b.bounds.RetryWindow) / windowSteps
	step := int64(now.Sub(b.started) / length)
	w := b.services[service]
	if w == nil {
		w = &retryWindow{step: step}
		b.services[service] = w
	}
	for i := 0; w.step < step && i < keptSteps; i++ {
		w.step++
		w.requests[w.step%keptSteps], w.retries[w.step%keptSteps] = 0, 0
	}
	w.step = max(w.step, step)
	return w
}
