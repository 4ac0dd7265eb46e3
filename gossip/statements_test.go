package gossip

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/steering"
)

// reportAfterStatements returns the message of an instance to which one target has made
// statements of any kind and another one states a limit of 5 requests per second.
func reportAfterStatements(t *testing.T, limit, load, cold, pause, leaving string) *Message {
	now := time.Now()
	balancer := balance.New(balance.Options{Name: "n", Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}}, now)
	targets := []*steering.Target{{ID: "odd", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 8}, {ID: "sound", Service: "s", Address: "127.0.0.1:2", Domain: "d", Slots: 8}}
	config := &steering.Config{Version: 1, Services: map[string]steering.Service{"s": {Name: "s"}}}
	config.Index()
	balancer.SetState(now, steering.NewState().Apply(1, []steering.Update{steering.ConfigUpdate{Config: config}, steering.TargetUpdate{Target: targets[0]}, steering.TargetUpdate{Target: targets[1]}}))
	balancer.SetInstances(now, []steering.Instance{{Name: "n", Domain: "d", Region: "r"}}, 0)
	statements := http.Header{platform.HeaderServerLimit: {limit}, platform.HeaderServerLoad: {load}, platform.HeaderColdTime: {cold}, platform.HeaderRetryAfter: {pause}, platform.HeaderServerLeaving: {leaving}}
	headers := platform.Headers{}
	for range 8 {
		grant, refusal := balancer.Pick(now, balance.Request{Service: "s", Remaining: time.Second, Objective: 400 * time.Millisecond})
		if refusal != nil {
			break
		}
		observation := balance.Observation{Result: balance.Succeeded, Duration: 50 * time.Millisecond}
		if grant.Target.ID == "odd" {
			stated, _ := headers.Load(statements)
			observation.SetLoad(stated, grant.Target)
			observation.ColdFor = headers.ColdStart(statements)
			if perSecond, ok := headers.RateLimit(statements); ok {
				balancer.ObserveRateLimit(now, grant.Target, now, perSecond, balance.LimitFromResponse)
			}
			if pause, ok := headers.Pause(http.StatusServiceUnavailable, statements); ok && pause > 0 {
				balancer.ObservePause(now, grant.Target, pause, balance.StatementFromResponse)
			}
			if leaving, ok := headers.Leaving(statements); ok && leaving {
				balancer.ObserveLeaving(now, grant.Target, balance.StatementFromResponse)
			}
		}
		now = now.Add(20 * time.Millisecond)
		balancer.Done(now, grant, observation)
	}
	balancer.ObserveRateLimit(now, targets[1], now, 5, balance.LimitFromResponse)
	sent := &Message{Name: "n", Domain: "d", Report: balancer.Report(now)}
	received, err := Parse(sent.Append(nil))
	require.NoError(t, err, "a peer cannot read the message")
	return received
}

// Guards against a statement of a target that makes the messages of an instance, or the
// items of other targets in them, unreadable to peers.
func FuzzStatementsInMessages(f *testing.F) {
	for _, limit := range []string{"", "5", "0", "1e9", "1000000001", "2e9", "1e300", "1e400", "inf", "-1", "NaN", "0x1p1000"} {
		f.Add(limit, "1,0,8", "500", "2", "0")
	}
	for _, load := range []string{"", "99999999999,1,8", "1,1048577,8", "1,0,8,1e9", "1,0,8,0.000001", "-1,-1,-1", "1,0,8,NaN"} {
		f.Add("5", load, "99999999999999", "1e300", "1")
	}
	f.Fuzz(func(t *testing.T, limit, load, cold, pause, leaving string) {
		m := reportAfterStatements(t, limit, load, cold, pause, leaving)
		assert.Zero(t, m.Dropped)
		found := false
		for _, statement := range m.Report.Limits {
			found = found || statement.Active && statement.PerSecond == 5
		}
		assert.True(t, found, "the limit of another target: %v", m.Report.Limits)
	})
}

// Guards against a value out of range, for example of an earlier version, for which the
// whole message of a peer is rejected.
func TestItemsOutOfRangeAreDropped(t *testing.T) {
	limit := func(perSecond float64) balance.LimitStatement {
		return balance.LimitStatement{RateLimit: balance.RateLimit{Active: true, PerSecond: perSecond}}
	}
	m, err := Parse((&Message{Name: "n", Report: balance.Report{Limits: map[uint32]balance.LimitStatement{1: limit(2e9), 2: limit(5)}, InFlight: map[uint32]int{3: 4, 5: maxCount + 1},
		FailureEvidence: map[uint32]int{6: maxCount + 1, 7: 1}, CallerRates: map[uint32]float64{8: -1, 9: 2}}}).Append(nil))
	require.NoError(t, err)
	assert.Equal(t, 4, m.Dropped)
	assert.Equal(t, map[uint32]balance.LimitStatement{2: limit(5)}, m.Report.Limits)
	assert.Equal(t, map[uint32]int{3: 4}, m.Report.InFlight)
	assert.Equal(t, map[uint32]int{7: 1}, m.Report.FailureEvidence)
	assert.Equal(t, map[uint32]float64{9: 2}, m.Report.CallerRates)
}
