package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// newLargeDeployment creates the largest deployment of the users: 300 instances
// and 3,000 targets in 6 domains.
func newLargeDeployment() (*Balancer, *steering.State, time.Time) {
	now := time.Unix(1_700_000_000, 0)
	regions := map[string]string{"p1": "p", "p2": "p", "c1": "c", "c2": "c", "a1": "a", "a2": "a"}
	domains := []string{"p1", "p2", "c1", "c2", "a1", "a2"}
	services := map[string]steering.Service{}
	for s := range 3 {
		services[fmt.Sprint("s", s)] = steering.Service{Name: fmt.Sprint("s", s), ColdDuration: 3 * time.Second, MaxColdRate: 5}
	}
	config := &steering.Config{Version: 1, Services: services}
	config.Index()
	updates := []steering.Update{steering.ConfigUpdate{Config: config}}
	var instances []steering.Instance
	for i := range 300 {
		in := steering.Instance{Name: fmt.Sprint("n", i), Domain: domains[i%6], Region: regions[domains[i%6]]}
		instances = append(instances, in)
		updates = append(updates, steering.InstanceUpdate{Instance: in})
	}
	for i := range 3000 {
		updates = append(updates, steering.TargetUpdate{Target: &steering.Target{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", i%3),
			Domain: domains[i%6], Slots: 6, Address: fmt.Sprint("10.0.0.1:", i)}})
	}
	state := steering.NewState().Apply(1, updates)
	b := New(Options{Name: "n0", Domain: "p1", Region: "p", Regions: regions}, now)
	b.SetState(now, state)
	b.SetInstances(now, instances, 0)
	b.Tick(now)
	return b, state, now
}

func BenchmarkStateChange(b *testing.B) {
	_, state, _ := newLargeDeployment()
	for i := range b.N {
		state = state.Apply(uint64(i+2), []steering.Update{steering.TargetUpdate{Target: state.Targets["i-7"]}})
	}
}

func BenchmarkSetState(b *testing.B) {
	balancer, state, now := newLargeDeployment()
	for i := range b.N {
		b.StopTimer()
		state = state.Apply(uint64(i+2), []steering.Update{steering.TargetUpdate{Target: state.Targets["i-7"]}})
		b.StartTimer()
		balancer.SetState(now, state)
	}
}

func BenchmarkTick(b *testing.B) {
	balancer, _, now := newLargeDeployment()
	for range b.N {
		now = now.Add(weightInterval)
		balancer.Tick(now)
	}
}

func BenchmarkPick(b *testing.B) {
	balancer, _, now := newLargeDeployment()
	for i := range b.N {
		g, refusal := balancer.Pick(now, Request{Service: "s1", Object: fmt.Sprint(i % 300), Objective: time.Second, Remaining: 3 * time.Second})
		if refusal == nil {
			balancer.Done(now, g, Observation{Result: Succeeded, Duration: 200 * time.Millisecond})
		}
	}
}

func BenchmarkPickFromColdTargets(b *testing.B) {
	balancer, _, now := newLargeDeployment()
	for _, t := range balancer.targets {
		t.coldUntil = now.Add(time.Hour)
	}
	for i := range b.N {
		g, refusal := balancer.Pick(now, Request{Service: "s1", Object: fmt.Sprint(i % 300), Objective: time.Second, Remaining: 3 * time.Second})
		if refusal == nil {
			balancer.Done(now, g, Observation{Result: Abandoned})
		}
	}
}

func BenchmarkReport(b *testing.B) {
	balancer, _, now := newLargeDeployment()
	for range b.N {
		balancer.Report(now)
	}
}

func BenchmarkApplyReport(b *testing.B) {
	balancer, _, now := newLargeDeployment()
	report := Report{InFlight: map[uint32]int{}, CallerRates: map[uint32]float64{1: 2}}
	for i, t := range balancer.targetsForTest() {
		if i%5 == 0 {
			report.InFlight[shortHash(t.hash)] = 2
		}
	}
	for range b.N {
		balancer.ApplyReport(now, "domain c1", "c", report, 1500*time.Millisecond)
	}
}

func (balancer *Balancer) targetsForTest() []*target {
	var list []*target
	for _, t := range balancer.targets {
		list = append(list, t)
	}
	return list
}

// In the largest deployment, with evidence about the capacity of 300 targets.
func BenchmarkCapacityEvidence(b *testing.B) {
	balancer, _, now := newLargeDeployment()
	report := Report{Capacities: map[uint32]CapacityEvidence{}}
	for i, t := range balancer.targetsForTest()[:300] {
		t.capacityEvidence = capacityEvidence{speed: weightedLog{2, 0.5}, low: weightedLog{1, 0.1}, updated: now}
		if i < maxReportedCapacities {
			report.Capacities[shortHash(t.hash)] = CapacityEvidence{Age: time.Second, Weight: 8, Sum: 20, LowWeight: 8, LowSum: 20}
		}
	}
	for name, step := range map[string]func(){
		"tick":   func() { now = now.Add(weightInterval); balancer.Tick(now) },
		"report": func() { balancer.Report(now) },
		"apply":  func() { balancer.ApplyReport(now, "n1", "p", report, time.Hour) },
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				step()
			}
		})
	}
}
