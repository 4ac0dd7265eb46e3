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
