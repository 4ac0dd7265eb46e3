package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthstall/jacinthstall/caller"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

const (
	stopTimeout = 12 * time.Second
	// poisonRequests is the number of identical requests that crash targets.
	poisonRequests = 12
	// settleTime lets load run before the first and after the last fault.
	settleTime = time.Second
)

// Scenario is a sequence of faults.
type Scenario struct {
	Name   string
	checks checks
	faults func(ctx context.Context, r *running, random *rand.Rand) error
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "kill", faults: killInstances},
		{Name: "freeze", faults: freezeInstance},
		{Name: "stop", checks: checks{nothingCut: true}, faults: stopInstances},
		{Name: "outage", faults: platformFault(platformd.Faults{Outage: true})},
		{Name: "slow", faults: platformFault(platformd.Faults{DelayMs: 700})},
		{Name: "lost", faults: platformFault(platformd.Faults{LoseResponses: 50})},
		{Name: "crash", faults: crashTargets},
		{Name: "poison", checks: checks{poisonCrashes: true}, faults: sendPoison},
	}
}

// StopError means that a planned stop did not end in time.
type StopError struct {
	Name string
}

// Error names the instance.
func (e *StopError) Error() string {
	return fmt.Sprintf("experiment: the planned stop of %s took longer than %s", e.Name, stopTimeout)
}

// sleep waits for a duration or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func killInstances(ctx context.Context, r *running, random *rand.Rand) error {
	for range 3 {
		i := random.IntN(len(r.instances))
		if err := r.instances[i].Kill(); err != nil {
			return err
		}
		if err := sleep(ctx, between(random, 200*time.Millisecond, 1500*time.Millisecond)); err != nil {
			return err
		}
		if err := r.restart(i); err != nil {
			return err
		}
		if err := sleep(ctx, between(random, 500*time.Millisecond, time.Second)); err != nil {
			return err
		}
	}
	return nil
}

// freezeInstance freezes an instance for longer than the 3 s after which others
// may take over from it.
func freezeInstance(ctx context.Context, r *running, random *rand.Rand) error {
	p := r.instances[random.IntN(len(r.instances))]
	if err := p.Freeze(); err != nil {
		return err
	}
	err := sleep(ctx, between(random, 3500*time.Millisecond, 5*time.Second))
	if resumed := p.Resume(); err == nil {
		err = resumed
	}
	return err
}

func stopInstances(ctx context.Context, r *running, _ *rand.Rand) error {
	for i, p := range r.instances {
		start := time.Now()
		ended, err := p.Terminate(stopTimeout)
		r.longestStop = max(r.longestStop, time.Since(start))
		if err != nil {
			return err
		}
		if !ended {
			return &StopError{Name: p.Name}
		}
		if err := r.restart(i); err != nil {
			return err
		}
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	return nil
}

// platformFault injects a fault into the platform, kills an instance meanwhile,
// and restarts it after the fault.
func platformFault(f platformd.Faults) func(context.Context, *running, *rand.Rand) error {
	return func(ctx context.Context, r *running, random *rand.Rand) error {
		if err := r.platformFaults(f); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		i := random.IntN(len(r.instances))
		if err := r.instances[i].Kill(); err != nil {
			return err
		}
		if err := sleep(ctx, between(random, 2*time.Second, 4*time.Second)); err != nil {
			return err
		}
		if err := r.platformFaults(platformd.Faults{}); err != nil {
			return err
		}
		return r.restart(i)
	}
}

func crashTargets(ctx context.Context, r *running, random *rand.Rand) error {
	for range 4 {
		if err := r.crashTarget(random.IntN(len(r.targets))); err != nil {
			return err
		}
		if err := sleep(ctx, between(random, 500*time.Millisecond, 1500*time.Millisecond)); err != nil {
			return err
		}
	}
	return nil
}

// sendPoison sends identical requests that crash the target that executes them.
func sendPoison(ctx context.Context, r *running, _ *rand.Rand) error {
	c, err := caller.New(caller.Options{Bootstrap: r.callerAddresses(), Address: "10.0.0.200"})
	if err != nil {
		return err
	}
	for range poisonRequests {
		_, _ = c.Do(ctx, caller.Request{Method: "GET", Path: "/catalogue/poison", Idempotent: true, Timeout: requestTimeout,
			Header: map[string]string{targetd.HeaderFault: "crash"}})
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
