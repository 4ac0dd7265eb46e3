package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/settings"
)

// All responses of a service are lost, so every request is due for a retry.
// The retries of all instances together must stay within the budget.
func TestRetriesOfAllInstancesStayWithinBudget(t *testing.T) {
	const instances, perSecond, ratio, slack = 8, 40, 0.2, 56
	bounds := settings.Bounds{RetryRatio: ratio, RetryWindow: 10 * time.Second, RetrySlack: slack}
	var budgets []*balance.RetryBudget
	for range instances {
		budgets = append(budgets, balance.NewRetryBudget(bounds, start))
	}
	var requests, retries []time.Time
	for i := range instances * perSecond * 40 {
		now := start.Add(time.Duration(i) * time.Second / (instances * perSecond))
		b := budgets[i%instances]
		b.CountRequest(now, "s")
		requests = append(requests, now)
		if b.AllowRetry(now, "s", instances, i%2 == 0) {
			retries = append(retries, now)
		}
	}
	assert.NotEmpty(t, retries)
	for second := range 31 {
		from := start.Add(time.Duration(second) * time.Second)
		assert.LessOrEqual(t, float64(countInWindow(retries, from)), ratio*float64(countInWindow(requests, from))+slack, second)
	}
}

// All instances are killed and start again while every request is due for a retry.
// Guards against instances that use their share of the slack once more after each
// start.
func TestRestartsStayWithinRetryBudget(t *testing.T) {
	const instances, perSecond, ratio, slack = 8, 8, 0.2, 56
	bounds := settings.Bounds{RetryRatio: ratio, RetryWindow: 10 * time.Second, RetrySlack: slack}
	for _, restart := range []time.Duration{3 * time.Second, 10 * time.Second} {
		var budgets [instances]*balance.RetryBudget
		var requests, retries []time.Time
		nextStart := start.Add(-10 * time.Second)
		for i := range instances * perSecond * 40 {
			now := start.Add(time.Duration(i) * time.Second / (instances * perSecond))
			if !now.Before(nextStart) {
				for j := range budgets {
					budgets[j] = balance.NewRetryBudget(bounds, nextStart)
				}
				nextStart = now.Add(restart)
			}
			b := budgets[i%instances]
			b.CountRequest(now, "s")
			requests = append(requests, now)
			for b.AllowRetry(now, "s", instances, true) {
				retries = append(retries, now)
			}
		}
		for second := range 30 {
			from := start.Add(time.Duration(second) * time.Second)
			assert.LessOrEqual(t, float64(countInWindow(retries, from)), ratio*float64(countInWindow(requests, from))+slack, "restart each %s, from %d s on", restart, second)
		}
	}
}

func countInWindow(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
			n++
		}
	}
	return n
}

func TestRetryBudgetIsPerService(t *testing.T) {
	b := balance.NewRetryBudget(settings.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 4}, start.Add(-10*time.Second))
	n := 0
	for b.AllowRetry(start, "a", 1, true) {
		n++
	}
	assert.Equal(t, 3, n, "0.85 of the slack")
	assert.True(t, b.AllowRetry(start, "b", 1, true))
	assert.False(t, b.AllowRetry(start.Add(9*time.Second), "a", 1, true))
	assert.True(t, b.AllowRetry(start.Add(11*time.Second), "a", 1, true), "the window has passed")
}

// Half of all attempts are shed. A request that is refused a second time
// fails, so it takes precedence over requests that were not refused before.
func TestRetryBudgetPrefersCallersRefusedBefore(t *testing.T) {
	b := balance.NewRetryBudget(settings.Bounds{RetryWindow: 10 * time.Second, RetrySlack: 100}, start.Add(-10*time.Second))
	firstRetries := 0
	for b.AllowRetry(start, "s", 1, false) {
		firstRetries++
	}
	laterRetries := 0
	for b.AllowRetry(start, "s", 1, true) {
		laterRetries++
	}
	assert.Equal(t, 51, firstRetries, "0.6 of 0.85 of the slack")
	assert.Equal(t, 34, laterRetries)
}
