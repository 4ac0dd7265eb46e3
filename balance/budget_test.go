package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/settings"
)

// Pattern: every answer of a service is lost, so that each request wants to be
// repeated. The repeats of all instances together stay within the bound.
func TestRetriesOfAllInstancesStayWithinBudget(t *testing.T) {
	const instances, perSecond, ratio, slack = 8, 40, 0.2, 56
	bounds := settings.Bounds{RetryRatio: ratio, RetryWindow: 10 * time.Second, RetrySlack: slack}
	var budgets []*balance.RetryBudget
	for range instances {
		budgets = append(budgets, balance.NewRetryBudget(bounds, start))
	}
	var requests, repeats []time.Time
	for i := range instances * perSecond * 40 {
		now := start.Add(time.Duration(i) * time.Second / (instances * perSecond))
		b := budgets[i%instances]
		b.CountRequest(now, "s")
		requests = append(requests, now)
		if b.AllowRetry(now, "s", instances, i%2 == 0) {
			repeats = append(repeats, now)
		}
	}
	assert.NotEmpty(t, repeats)
	for second := range 31 {
		from := start.Add(time.Duration(second) * time.Second)
		assert.LessOrEqual(t, float64(countInWindow(repeats, from)), ratio*float64(countInWindow(requests, from))+slack, second)
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
	b := balance.NewRetryBudget(settings.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 4}, start)
	n := 0
	for b.AllowRetry(start, "a", 1, true) {
		n++
	}
	assert.Equal(t, 3, n, "0.85 of the slack")
	assert.True(t, b.AllowRetry(start, "b", 1, true))
	assert.False(t, b.AllowRetry(start.Add(9*time.Second), "a", 1, true))
	assert.True(t, b.AllowRetry(start.Add(11*time.Second), "a", 1, true), "the window has passed")
}

// Pattern: half of all attempts are shed. A caller that was refused before fails
// when it is refused again, so it comes before one that asks for the first time.
func TestRetryBudgetPrefersCallersRefusedBefore(t *testing.T) {
	b := balance.NewRetryBudget(settings.Bounds{RetryWindow: 10 * time.Second, RetrySlack: 100}, start)
	fresh := 0
	for b.AllowRetry(start, "s", 1, false) {
		fresh++
	}
	returned := 0
	for b.AllowRetry(start, "s", 1, true) {
		returned++
	}
	assert.Equal(t, 51, fresh, "0.6 of 0.85 of the slack")
	assert.Equal(t, 34, returned)
}
