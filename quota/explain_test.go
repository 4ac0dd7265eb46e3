package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Guards against an explanation that takes a token or counts as demand, and against
// one that differs from the decision.
func TestExplainPredictsAndChangesNothing(t *testing.T) {
	run := func(explained bool) (decisions []quota.Decision, refused int) {
		now := time.Unix(1_700_000_000, 0)
		limiter := quota.New(quota.Options{Window: 5 * time.Second, Over: 0.1, Slack: 20, Random: func() float64 { return 0.5 }})
		limiter.SetAccounts(now, map[string]*steering.Account{"a": {Name: "a", RequestsPerSecond: 20, Burst: 5}})
		for i := range 400 {
			now = now.Add(10 * time.Millisecond)
			if i == 300 {
				now = now.Add(3 * time.Second) // Tick is overdue, as after a pause.
			}
			var explanation quota.Explanation
			if explained {
				var limited bool
				explanation, limited = limiter.Explain(now, "a")
				require.True(t, limited)
			}
			decision := limiter.Admit(now, "a")
			decisions = append(decisions, decision)
			if !decision.Admitted {
				refused++
			}
			if explained {
				require.Equal(t, decision.Admitted, explanation.Admitted, i)
				require.LessOrEqual(t, explanation.MinRetryAfter, decision.RetryAfter)
				require.GreaterOrEqual(t, explanation.MaxRetryAfter, decision.RetryAfter)
			}
			if i%10 == 0 {
				limiter.Tick(now)
			}
		}
		return decisions, refused
	}
	want, refused := run(false)
	got, _ := run(true)
	assert.Equal(t, want, got)
	assert.Positive(t, refused)
	_, limited := quota.New(quota.Options{}).Explain(time.Now(), "b")
	assert.False(t, limited)
}
