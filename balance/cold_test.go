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

// Pattern: a domain comes back cold while all instances have requests for it.
// The rate that a cold target tolerates is one for all of them together.
func TestColdTargetRateIsSharedByAllInstances(t *testing.T) {
	const rate, over, slack = 7, 1.5, 5 // Bounds of the deployments.
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
		// Views of the live instances differ by one.
		b.SetInstances(newInstances(names...)[i%2:])
		all = append(all, b)
	}
	var sent []time.Time
	for ms := range 5000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, b := range all {
			w := newRequest(fmt.Sprint("object", ms%20))
			w.HomeRegions = []string{"a"}
			g, refusal := b.Pick(now, w)
			if refusal != nil {
				continue
			}
			if g.Target.ID == cold.ID {
				sent = append(sent, now)
			}
			b.Done(now, g, balance.Observation{Result: balance.Succeeded, Duration: time.Millisecond})
		}
	}
	assert.NotEmpty(t, sent, "it gets some requests")
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

// Guards against a domain that gets its whole load at the moment its evacuation
// is taken back.
func TestDomainIsColdAfterEvacuation(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetInstances(newInstances("n1"))
	b.SetState(start, newState(1, 4, steering.EvacuationUpdate{Domain: "a1", Active: true}, steering.EvacuationUpdate{Domain: "a2", Active: true}))
	b.SetState(start, newState(1, 4))
	inRegion := 0
	for range 20 {
		w := newRequest("")
		w.HomeRegions = []string{"a"}
		if _, refusal := b.Pick(start, w); refusal == nil {
			inRegion++
		}
	}
	assert.LessOrEqual(t, inRegion, 2, "one for each of its two targets")
}
