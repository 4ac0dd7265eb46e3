package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

// scenario is a course of demand and faults. The account's usual demand is 1/1.6
// of its limit.
type scenario struct {
	name    string
	prepare func(f *fleet, usual float64)
	from    time.Duration // Start of the windows that are checked.
	lowered bool          // The limit changes, so the share used is not checked.
	minUse  float64       // Least share of the requests that one token bucket would admit, from 4 s to 20 s.
}

// surge raises the demand to a multiple of the usual one from 8 s to 16 s.
func surge(usual, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 8*time.Second && at < 16*time.Second {
			return factor * usual
		}
		return usual
	}
}

// divide splits the instances into sides by failure domain from 8 s to 14 s.
func divide(f *fleet, side func(in *instance) int) {
	f.events[8*time.Second] = func() {
		for _, in := range f.instances {
			in.side = side(in)
		}
	}
	f.events[14*time.Second] = func() {
		for _, in := range f.instances {
			in.side = 0
		}
	}
}

var scenarios = []scenario{
	{"even", func(f *fleet, usual float64) { f.demand = surge(usual, 5) }, 0, false, 0.95},
	{"skewed", func(f *fleet, usual float64) {
		f.demand = surge(usual, 5)
		f.choose = func(time.Duration) int { return min(f.random.IntN(len(f.instances)), f.random.IntN(4)) }
	}, 0, false, 0.95},
	{"moving", func(f *fleet, usual float64) {
		f.demand = surge(usual, 5)
		f.choose = func(at time.Duration) int { return int(at/(3*time.Second)) * 3 % len(f.instances) }
	}, 0, false, 0.95},
	{"lost messages", func(f *fleet, usual float64) { f.demand, f.loss = surge(usual, 5), 0.3 }, 0, false, 0.95},
	{"partition", func(f *fleet, usual float64) {
		f.demand = constant(5 * usual)
		divide(f, func(in *instance) int { return in.domain % 2 })
	}, 0, false, 0.9},
	{"partition with a surge", func(f *fleet, usual float64) {
		f.demand = surge(usual, 5)
		divide(f, func(in *instance) int { return in.domain % 2 })
	}, 0, false, 0.9},
	{"regions with a surge", func(f *fleet, usual float64) {
		f.demand = surge(usual, 5)
		divide(f, func(in *instance) int { return in.domain % regionCount })
	}, 0, false, 0.9},
	{"isolation", func(f *fleet, usual float64) {
		f.demand = constant(5 * usual)
		divide(f, func(in *instance) int { return in.index })
	}, 0, false, 0.8},
	{"restart of all", func(f *fleet, usual float64) {
		f.demand = constant(5 * usual)
		f.events[10*time.Second] = f.restart
	}, 0, false, 0.9},
	{"pause of half", func(f *fleet, usual float64) {
		f.demand = constant(5 * usual)
		pause := func(paused bool) func() {
			return func() {
				for _, in := range f.instances[:len(f.instances)/2] {
					in.paused = paused
				}
			}
		}
		f.events[8*time.Second], f.events[11*time.Second] = pause(true), pause(false)
	}, 0, false, 0.8},
	{"lowered limit", func(f *fleet, usual float64) {
		f.demand = constant(usual)
		f.events[3*time.Second] = func() {
			f.account.RequestsPerSecond, f.account.Burst = f.account.RequestsPerSecond/20, f.account.Burst/20
			for _, in := range f.instances {
				f.configure(in)
			}
		}
	}, 3*time.Second + window, true, 0},
}

const maxInstancesWithRaceDetector = 72

// Guards against more requests in a window than the platform's rule permits, and
// against refusals below the limit.
func TestRuleHoldsInEachWindow(t *testing.T) {
	for _, n := range []int{8, 72, 300} {
		if raceEnabled && n > maxInstancesWithRaceDetector {
			continue // The model uses one goroutine; test.sh runs these without the race detector.
		}
		for i, s := range scenarios {
			t.Run(fmt.Sprint(n, " ", s.name), func(t *testing.T) {
				t.Parallel()
				f := newFleet(uint64(i), n, 300)
				s.prepare(f, f.account.RequestsPerSecond/1.6)
				f.run(20 * time.Second)
				t.Logf("largest window %.3f of the bound", float64(f.largestWindow(s.from))/f.bound())
				assert.LessOrEqual(t, float64(f.largestWindow(s.from)), f.bound())
				if !s.lowered {
					t.Logf("%.3f of one token bucket", f.use(4*time.Second, 20*time.Second))
					assert.GreaterOrEqual(t, f.use(4*time.Second, 20*time.Second), s.minUse)
				}
			})
		}
	}
}

// Guards against refusals below the limit because callers use other instances than
// before. Where all of them move several times while a report is on its way, they
// count twice or thrice, and a burst may meet a refusal.
func TestMovingRequestsBelowTheLimitAreNotRefused(t *testing.T) {
	for _, perSecond := range []float64{30, 300} {
		for _, move := range []time.Duration{700 * time.Millisecond, 3 * time.Second} {
			f := newFleet(3, 72, perSecond)
			f.demand = constant(perSecond / 1.6)
			f.choose = func(at time.Duration) int { return int(at/move) * 7 % len(f.instances) }
			f.run(2 * time.Second)
			sent, admitted := f.sent, len(f.arrivals)
			f.run(18 * time.Second)
			refused := f.sent - sent - (len(f.arrivals) - admitted)
			if move > time.Second {
				assert.Zero(t, refused, "%v requests per second, callers move every %s", perSecond, move)
			}
			assert.LessOrEqual(t, refused, (f.sent-sent)/100, "%v requests per second, callers move every %s", perSecond, move)
		}
	}
}

// Guards against refusals of small accounts because of the noise of few requests.
func TestSmallAccountsAreRefusedLessThanByOneTokenBucket(t *testing.T) {
	sent, admitted, ideal := 0, 0, 0
	for seed := range uint64(6) {
		f := newFleet(seed, 72, 3)
		f.demand = constant(f.account.RequestsPerSecond / 1.6)
		f.run(2 * time.Second)
		sent, admitted, ideal = sent-f.sent, admitted-len(f.arrivals), ideal-len(f.ideal)
		f.run(28 * time.Second)
		sent, admitted, ideal = sent+f.sent, admitted+len(f.arrivals), ideal+len(f.ideal)
	}
	t.Logf("%d requests, %d refused, %d by one token bucket", sent, sent-admitted, sent-ideal)
	assert.LessOrEqual(t, sent-admitted, sent-ideal)
	assert.LessOrEqual(t, sent-admitted, sent/50)
}

func newLimiter(account steering.Account, chance float64) *quota.Limiter {
	limiter := quota.New(quota.Options{Window: window, Over: over, Slack: slack, Random: func() float64 { return chance }})
	limiter.SetAccounts(start, map[string]*steering.Account{"a": &account})
	return limiter
}

// Guards against work and messages where no account has a limit.
func TestAccountsWithoutLimitAreNotReported(t *testing.T) {
	limiter := newLimiter(steering.Account{}, 1)
	assert.True(t, limiter.Admit(start, "a").Admitted)
	assert.Nil(t, limiter.Report(start))
	assert.Zero(t, limiter.OverLimit())
}

// Guards against datagrams that are too large to be sent, so that all messages of an
// instance are lost.
func TestReportsOfManyAccountsAreLimited(t *testing.T) {
	report := quota.Report{}
	for hash := range uint32(5000) {
		report[hash] = quota.Rates{Demand: float64(hash)}
	}
	limited := report.Limited()
	assert.Len(t, limited, 2048)
	assert.Contains(t, limited, uint32(4999), "the highest demand")
}

// Guards against requests that were refused for other reasons but count as
// admitted, so that others are refused below the limit.
func TestReturnedTokensAreAdmittedAgain(t *testing.T) {
	limiter := newLimiter(steering.Account{RequestsPerSecond: 10, Burst: 10}, 0.5)
	now := start
	for range 1000 { // Ten times the limit, of which one in twenty is executed.
		now = now.Add(10 * time.Millisecond)
		if limiter.Admit(now, "a").Admitted && now.UnixMilli()%200 != 0 {
			limiter.Return(now, "a", now)
		}
		limiter.Tick(now)
	}
	assert.Zero(t, limiter.OverLimit())
	assert.InDelta(t, 5, limiter.Report(now)[quota.Hash("a")].Admitted, 5)
}

// Guards against an instance that continues with the level of before a pause.
func TestLevelIsDiscardedAfterAPause(t *testing.T) {
	limiter := newLimiter(steering.Account{RequestsPerSecond: 100, Burst: 500}, 0.5)
	limiter.Tick(start)
	now := start.Add(900 * time.Millisecond)
	limiter.Tick(now)
	limiter.ApplyReport(now, "peer", quota.Report{quota.Hash("a"): {Demand: 300, Admitted: 100}}, time.Second)
	assert.True(t, limiter.Admit(now, "a").Admitted, "the level is used")
	now = now.Add(5 * time.Second)
	decision := limiter.Admit(now, "a")
	assert.False(t, decision.Admitted)
	assert.LessOrEqual(t, decision.Level, 0.0)
	assert.GreaterOrEqual(t, decision.RetryAfter, time.Second)
}

// Guards against a restored account that is still reported as limited.
func TestRestoredAccountIsReportedOnce(t *testing.T) {
	limiter := newLimiter(steering.Account{RequestsPerSecond: 1, Burst: 1}, 0.99)
	for range 100 {
		limiter.Admit(start, "a")
	}
	assert.Empty(t, limiter.Tick(start))
	assert.Equal(t, 1, limiter.OverLimit())
	later := start.Add(3 * time.Second)
	assert.Len(t, limiter.Tick(later), 1)
	assert.Empty(t, limiter.Tick(later))
	assert.Zero(t, limiter.OverLimit())
}

// Guards against instances that have shut down, whose reports expire while the share
// stays the same: their use must not reduce what a partition deducts from the level.
func TestReportsOfStoppedInstancesDoNotChangeALaterPartition(t *testing.T) {
	levelInPartition := func(stopped int) float64 {
		limiter, now := newLimiter(steering.Account{RequestsPerSecond: 100, Burst: 100}, 0.5), start
		report := quota.Report{quota.Hash("a"): {Demand: 50, Admitted: 50}}
		for i := range stopped {
			limiter.ApplyReport(now, fmt.Sprint("stopped", i), report, 500*time.Millisecond)
			now = now.Add(600 * time.Millisecond)
			limiter.SetShare(now, 1)
		}
		now = now.Add(10 * time.Second)
		limiter.SetShare(now, 1)
		limiter.ApplyReport(now, "heard", report, time.Minute)
		limiter.ApplyReport(now, "cut off", quota.Report{quota.Hash("a"): {Demand: 1, Admitted: 1}}, 500*time.Millisecond)
		now = now.Add(500 * time.Millisecond)
		limiter.SetShare(now, 0.5)
		for {
			if decision := limiter.Admit(now, "a"); !decision.Admitted {
				return decision.Level
			}
		}
	}
	assert.InDelta(t, levelInPartition(0), levelInPartition(60), 0.01)
}

// Targets fail all requests of a surge from 6 s to 12 s and then execute them again.
// Guards against tokens and demand that are returned late and let more requests pass
// than the rule permits.
func TestRuleHoldsAfterRequestsThatFailedLate(t *testing.T) {
	for _, lag := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		f := newFleet(1, 8, 300)
		f.demand = constant(5 * f.account.RequestsPerSecond / 1.6)
		f.admit = func(now time.Time, in *instance) bool {
			admitted := in.Admit(now, "a").Admitted
			at := now.Sub(start)
			if !admitted || at < 6*time.Second || at >= 12*time.Second {
				return admitted
			}
			due := now.Add(max(lag, tick))
			f.pending[due] = append(f.pending[due], func() { in.Return(f.now, "a", now) })
			return false
		}
		f.run(20 * time.Second)
		t.Logf("%s: largest window %.3f of the bound", lag, float64(f.largestWindow(0))/f.bound())
		assert.LessOrEqual(t, float64(f.largestWindow(0)), f.bound(), "returned after %s", lag)
		assert.GreaterOrEqual(t, f.use(13*time.Second, 20*time.Second), 0.9, "returned after %s", lag)
	}
}
