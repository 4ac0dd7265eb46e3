package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

func newInstances(names ...string) []steering.Instance {
	list := make([]steering.Instance, 0, len(names))
	for i, name := range names {
		domain := []string{"a1", "a2", "b1", "b2"}[i%4]
		list = append(list, steering.Instance{Name: name, Domain: domain, Region: testRegions[domain]})
	}
	return list
}

// A domain returns cold while all instances have requests for it. All
// instances together must stay within the rate that a cold target tolerates.
func TestColdTargetRateIsSharedByAllInstances(t *testing.T) {
	const rate, over, slack = 7, 1.5, 5 // Limits of the deployments.
	cold := newTarget("a1-0", "a1", 4)
	cold.ColdUntil = start.Add(10 * time.Second)
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprint("n", i))
	}
	var all []*balance.Balancer
	for i, name := range names {
		b := newBalancer(name, []string{"a1", "a2", "b1", "b2"}[i%4])
		b.SetState(start, newState(1, 4, steering.TargetUpdate{Target: cold}))
		// Half of the instances do not know that n0 is live.
		b.SetInstances(start, newInstances(names...)[i%2:], 0)
		all = append(all, b)
	}
	var sent []time.Time
	for ms := range 5000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, b := range all {
			request := newRequest(fmt.Sprint("object", ms%20))
			request.HomeRegions = []string{"a"}
			g, refusal := b.Pick(now, request)
			if refusal != nil {
				continue
			}
			if g.Target.ID == cold.ID {
				sent = append(sent, now)
			}
			b.Done(now, g, balance.Observation{Result: balance.Succeeded, Duration: time.Millisecond})
		}
	}
	assert.NotEmpty(t, sent, "the cold target gets some requests")
	for i, first := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		assert.LessOrEqual(t, float64(n), rate*over+slack)
	}
}

// Guards against sending a domain its full load as soon as its evacuation
// ends.
func TestDomainIsColdAfterEvacuation(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetInstances(start, newInstances("n1"), 0)
	b.SetState(start, newState(1, 4, steering.EvacuationUpdate{Domain: "a1", Active: true}, steering.EvacuationUpdate{Domain: "a2", Active: true}))
	b.SetState(start, newState(1, 4))
	inRegion := 0
	for range 20 {
		request := newRequest("")
		request.HomeRegions = []string{"a"}
		if _, refusal := b.Pick(start, request); refusal == nil {
			inRegion++
		}
	}
	assert.LessOrEqual(t, inRegion, 2, "one request for each of the two cold targets")
}
