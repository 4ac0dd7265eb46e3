package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
)

// observingBalancers are instances of one domain. Each handles only a few of a
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

// exchangeReports delivers the report of each instance to all its peers.
func (balancers observingBalancers) exchangeReports(now time.Time) {
	for i, from := range balancers {
		report := from.Report(now)
		for j, to := range balancers {
			if i != j {
				to.ApplyReport(now, fmt.Sprint("n", i), "a", report, time.Second)
			}
		}
	}
	for _, b := range balancers {
		b.Tick(now)
	}
}

// sendRequest sends a request for an object and reports whether the selected
// target failed it.
func sendRequest(t *testing.T, b *balance.Balancer, now time.Time, object string, fails func(id string) bool) bool {
	grant := mustPick(t, b, now, newRequest(object))
	bad := fails(grant.Target.ID)
	result := balance.Succeeded
	if bad {
		result = balance.Failed
	}
	b.Done(now, grant, balance.Observation{Result: result, Duration: 100 * time.Millisecond})
	return bad
}

// A target fails, and each of 65 instances sees only one or two of its
// responses. Guards against one failed request per instance before the target
// is avoided.
func TestInstancesShareFailureEvidence(t *testing.T) {
	balancers := newObservingBalancers(65)
	bad := mustPick(t, balancers[0], start, newRequest("x")).Target.ID
	fails := func(id string) bool { return id == bad }
	now, failed := start, 0
	for _, b := range balancers {
		now = now.Add(50 * time.Millisecond)
		for i := range 8 { // Other objects, at healthy targets.
			sendRequest(t, b, now, fmt.Sprint("o", i), fails)
		}
		if sendRequest(t, b, now, "x", fails) {
			failed++
		}
		balancers.exchangeReports(now)
	}
	assert.LessOrEqual(t, failed, 10, "failed requests at 65 instances; without shared evidence there is one for each")
}

// Most attempts of one instance fail at any target because of its bad network.
// Guards against its peers avoiding targets because of its reports.
func TestInstanceWithBadNetworkDoesNotExcludeTargets(t *testing.T) {
	balancers := newObservingBalancers(10)
	now := start
	homes := map[string]string{}
	for i := range 40 {
		object := fmt.Sprint("o", i)
		homes[object] = mustPick(t, balancers[1], now, newRequest(object)).Target.ID
	}
	balancers = newObservingBalancers(10)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for i := range 40 {
			sendRequest(t, balancers[0], now, fmt.Sprint("o", i), func(string) bool { return i%5 != 0 })
		}
		balancers.exchangeReports(now)
	}
	for i := range 40 {
		object := fmt.Sprint("o", i)
		assert.Equal(t, homes[object], mustPick(t, balancers[1], now, newRequest(object)).Target.ID)
	}
}

// Guards against evidence that excludes a target long after it has recovered.
func TestEvidenceDecays(t *testing.T) {
	balancers := newObservingBalancers(20)
	home := mustPick(t, balancers[0], start, newRequest("x")).Target.ID
	now := start
	for _, b := range balancers {
		for i := range 8 {
			sendRequest(t, b, now, fmt.Sprint("o", i), func(string) bool { return false })
		}
		sendRequest(t, b, now, "x", func(id string) bool { return id == home })
	}
	balancers.exchangeReports(now)
	assert.NotEqual(t, home, mustPick(t, balancers[0], now, newRequest("x")).Target.ID)
	now = now.Add(15 * time.Second)
	balancers.exchangeReports(now)
	assert.Equal(t, home, mustPick(t, balancers[0], now, newRequest("x")).Target.ID)
}

// Guards against using a slot for a request whose response would come after
// its caller has given up. This must be decided from observed execution times,
// not from the initial estimate.
func TestRequestThatWouldMissDeadlineIsRefused(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	tooShort := newRequest("x")
	tooShort.Remaining = 200 * time.Millisecond
	g, refusal := b.Pick(start, tooShort)
	assert.Nil(t, refusal, "the execution time is not known yet")
	b.Done(start, g, balance.Observation{Result: balance.Abandoned})
	now := start
	for i := range 40 {
		now = now.Add(time.Second)
		g := mustPick(t, b, now, newRequest(fmt.Sprint("o", i)))
		b.Done(now, g, balance.Observation{Result: balance.Succeeded, Duration: 600 * time.Millisecond})
	}
	_, refusal = b.Pick(now, func() balance.Request {
		request := newRequest("new")
		request.Remaining = 200 * time.Millisecond
		return request
	}())
	assert.NotNil(t, refusal)
	_, refusal = b.Pick(now, func() balance.Request {
		request := newRequest("new2")
		request.Remaining = 500 * time.Millisecond
		return request
	}())
	assert.Nil(t, refusal, "a faster execution could still be in time")
	_, refusal = b.Pick(now, func() balance.Request {
		request := newRequest("new3")
		request.Remaining, request.HasFallback = 500*time.Millisecond, true
		return request
	}())
	assert.NotNil(t, refusal, "an available response is not delayed for another attempt")
}
