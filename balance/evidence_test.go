package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
)

// observingBalancers are many instances of one domain, each of which gets few of a
// service's requests.
type observingBalancers []*balance.Balancer

func newObservingBalancers(n int) observingBalancers {
	list := make(observingBalancers, n)
	for i := range list {
		list[i] = newBalancer(fmt.Sprint("n", i), "a1")
		list[i].SetState(start, newState(6, 4))
	}
	return list
}

// exchangeReports passes the reports of all to all.
func (o observingBalancers) exchangeReports(now time.Time) {
	for i, from := range o {
		report := from.Report(now)
		for j, to := range o {
			if i != j {
				to.ApplyReport(now, fmt.Sprint("n", i), "a", report, time.Second)
			}
		}
	}
	for _, b := range o {
		b.Tick(now)
	}
}

// sendRequest has an instance send a request for an object and says whether it went
// to a target that fails.
func sendRequest(t *testing.T, b *balance.Balancer, now time.Time, object string, fails func(id string) bool) bool {
	g := mustPick(t, b, now, newRequest(object))
	bad := fails(g.Target.ID)
	result := balance.Succeeded
	if bad {
		result = balance.Failed
	}
	b.Done(now, g, balance.Observation{Result: result, Duration: 100 * time.Millisecond})
	return bad
}

// Pattern: a target fails, and each of 65 instances sees one or two of its
// answers. Guards against a failure for each of them before they leave the
// target alone.
func TestInstancesShareFailureEvidence(t *testing.T) {
	o := newObservingBalancers(65)
	bad := mustPick(t, o[0], start, newRequest("x")).Target.ID
	fails := func(id string) bool { return id == bad }
	now, failed := start, 0
	for _, b := range o {
		now = now.Add(50 * time.Millisecond)
		for i := range 8 { // Other objects, at targets that work.
			sendRequest(t, b, now, fmt.Sprint("o", i), fails)
		}
		if sendRequest(t, b, now, "x", fails) {
			failed++
		}
		o.exchangeReports(now)
	}
	assert.LessOrEqual(t, failed, 10, "of 65 instances; each had one failure when they told each other nothing")
}

// Pattern: one instance has a bad network, so that most of its attempts fail
// whatever the target. Guards against others that leave targets alone for it.
func TestInstanceWithBadNetworkDoesNotExcludeTargets(t *testing.T) {
	o := newObservingBalancers(10)
	now := start
	homes := map[string]string{}
	for i := range 40 {
		object := fmt.Sprint("o", i)
		homes[object] = mustPick(t, o[1], now, newRequest(object)).Target.ID
	}
	o = newObservingBalancers(10)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for i := range 40 {
			sendRequest(t, o[0], now, fmt.Sprint("o", i), func(string) bool { return i%5 != 0 })
		}
		o.exchangeReports(now)
	}
	for i := range 40 {
		object := fmt.Sprint("o", i)
		assert.Equal(t, homes[object], mustPick(t, o[1], now, newRequest(object)).Target.ID)
	}
}

// Guards against evidence that keeps a target from its requests for long after
// it works again.
func TestEvidenceDecays(t *testing.T) {
	o := newObservingBalancers(20)
	home := mustPick(t, o[0], start, newRequest("x")).Target.ID
	now := start
	for _, b := range o {
		for i := range 8 {
			sendRequest(t, b, now, fmt.Sprint("o", i), func(string) bool { return false })
		}
		sendRequest(t, b, now, "x", func(id string) bool { return id == home })
	}
	o.exchangeReports(now)
	assert.NotEqual(t, home, mustPick(t, o[0], now, newRequest("x")).Target.ID)
	now = now.Add(15 * time.Second)
	o.exchangeReports(now)
	assert.Equal(t, home, mustPick(t, o[0], now, newRequest("x")).Target.ID)
}

// Guards against a slot for a request whose answer would come after its caller
// has given up. The expectation must rest on runs, not on a guess.
func TestRequestThatWouldMissDeadlineIsRefused(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	hopeless := newRequest("x")
	hopeless.Remaining = 200 * time.Millisecond
	g, refusal := b.Pick(start, hopeless)
	assert.Nil(t, refusal, "the time of a run is not known yet")
	b.Done(start, g, balance.Observation{Result: balance.Abandoned})
	now := start
	for i := range 40 {
		now = now.Add(time.Second)
		g := mustPick(t, b, now, newRequest(fmt.Sprint("o", i)))
		b.Done(now, g, balance.Observation{Result: balance.Succeeded, Duration: 600 * time.Millisecond})
	}
	_, refusal = b.Pick(now, func() balance.Request { w := newRequest("new"); w.Remaining = 200 * time.Millisecond; return w }())
	assert.NotNil(t, refusal)
	_, refusal = b.Pick(now, func() balance.Request { w := newRequest("new2"); w.Remaining = 500 * time.Millisecond; return w }())
	assert.Nil(t, refusal, "a faster run could still be in time")
	_, refusal = b.Pick(now, func() balance.Request {
		w := newRequest("new3")
		w.Remaining, w.HasFallback = 500*time.Millisecond, true
		return w
	}())
	assert.NotNil(t, refusal, "an answer that is at hand is not kept for it")
}
