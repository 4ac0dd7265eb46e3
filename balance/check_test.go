package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Guards against refusing a request before its body although a target would take it,
// and against a check that occupies a slot or uses the rate of a limited target.
func TestCheckRefusesOnlyWhatPickRefuses(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 2))
	granted, refused := 0, 0
	for i := range 400 {
		request := newRequest(fmt.Sprint("o", i%50))
		request.Remaining = time.Duration(1+i%40) * 50 * time.Millisecond
		for range 3 {
			_ = b.Check(start, request)
		}
		check := b.Check(start, request)
		_, refusal := b.Pick(start, request)
		if refusal == nil {
			assert.Nil(t, check)
			granted++
		}
		if check != nil {
			assert.Positive(t, check.RetryAfter)
			refused++
		}
	}
	assert.GreaterOrEqual(t, granted, 4*2, "all slots are used")
	assert.Positive(t, refused)
	empty := newBalancer("n1", "a1")
	empty.SetState(start, steering.NewState())
	assert.Equal(t, balance.NoTarget, empty.Check(start, newRequest("o")).Reason)
}

// Guards against demand of a rank that is not measured, and for which no capacity is
// kept, because its requests are refused before their bodies.
func TestRequestsRefusedByCheckAreDemandOfTheirRank(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, routesState(0, 2))
	request := newRequest("x")
	request.Rank, request.Remaining = lowRank, time.Hour
	for b.Check(start, request) == nil {
		if _, refusal := b.Pick(start, request); refusal != nil {
			break // The queue is as long as it gets.
		}
	}
	request.Rank, request.Remaining = highRank, time.Millisecond
	for range 10 {
		assert.NotNil(t, b.Check(start, request))
	}
	measured := false
	for key, demand := range b.Report(start).RankDemand {
		measured = measured || key.Rank == highRank && demand.PerSecond > 1 && demand.Served == 0
	}
	assert.True(t, measured)
}
