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
func TestRepeatsOfAllInstancesStayWithinTheBound(t *testing.T) {
	const instances, perSecond, ratio, slack = 8, 40, 0.2, 56
	bounds := settings.Bounds{RetryRatio: ratio, RetryWindow: 10 * time.Second, RetrySlack: slack}
	var budgets []*balance.Budget
	for range instances {
		budgets = append(budgets, balance.NewBudget(bounds, start))
	}
	var requests, repeats []time.Time
	for i := range instances * perSecond * 40 {
		now := start.Add(time.Duration(i) * time.Second / (instances * perSecond))
		b := budgets[i%instances]
		b.Request(now, "s")
		requests = append(requests, now)
		if b.Repeat(now, "s", instances) {
			repeats = append(repeats, now)
		}
	}
	assert.NotEmpty(t, repeats)
	for second := range 31 {
		from := start.Add(time.Duration(second) * time.Second)
		assert.LessOrEqual(t, float64(within(repeats, from)), ratio*float64(within(requests, from))+slack, second)
	}
}

func within(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
			n++
		}
	}
	return n
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	b := balance.NewBudget(settings.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 4}, start)
	n := 0
	for b.Repeat(start, "a", 1) {
		n++
	}
	assert.Equal(t, 2, n, "0.7 of the slack")
	assert.True(t, b.Repeat(start, "b", 1))
	assert.False(t, b.Repeat(start.Add(9*time.Second), "a", 1))
	assert.True(t, b.Repeat(start.Add(11*time.Second), "a", 1), "the window has passed")
}
