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
	shutdownTimeout = 12 * time.Second
	// poisonRequests is the number of identical requests that crash targets.
	poisonRequests = 12
	// settleTime lets load run before the first and after the last fault.
	settleTime = time.Second
)

// Scenario is a sequence of faults.
type Scenario struct {
	Name         string
	checks       extraChecks
	injectFaults func(ctx context.Context, r *deployment, random *rand.Rand) error
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "kill", injectFaults: killInstances},
		{Name: "freeze", injectFaults: suspendInstance},
		{Name: "stop", checks: extraChecks{noInterruptedRequests: true}, injectFaults: shutDownInstances},
		{Name: "outage", injectFaults: killDuringPlatformFault(platformd.Faults{Outage: true})},
		{Name: "slow", injectFaults: killDuringPlatformFault(platformd.Faults{DelayMs: 700})},
		{Name: "lost", injectFaults: killDuringPlatformFault(platformd.Faults{LoseResponses: 50})},
		{Name: "crash", injectFaults: crashTargets},
		{Name: "poison", checks: extraChecks{limitPoisonCrashes: true}, injectFaults: sendPoison},
	}
}

// ShutdownTimeoutError means that a planned stop did not end in time.
type ShutdownTimeoutError struct {
	Name string
}

// Error names the instance.
func (e *ShutdownTimeoutError) Error() string {
	return fmt.Sprintf("experiment: the planned stop of %s took longer than %s", e.Name, shutdownTimeout)
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

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func killInstances(ctx context.Context, r *deployment, random *rand.Rand) error {
	for range 3 {
		i := random.IntN(len(r.instances))
		if err := r.instances[i].Kill(); err != nil {
			return err
		}
		if err := sleep(ctx, randomDuration(random, 200*time.Millisecond, 1500*time.Millisecond)); err != nil {
			return err
		}
		if err := r.restartInstance(i); err != nil {
			return err
		}
		if err := sleep(ctx, randomDuration(random, 500*time.Millisecond, time.Second)); err != nil {
			return err
		}
	}
	return nil
}

// suspendInstance freezes an instance for longer than the 3 s after which others
// may take over from it.
func suspendInstance(ctx context.Context, r *deployment, random *rand.Rand) error {
	p := r.instances[random.IntN(len(r.instances))]
	if err := p.Suspend(); err != nil {
		return err
	}
	err := sleep(ctx, randomDuration(random, 3500*time.Millisecond, 5*time.Second))
	if resumed := p.Resume(); err == nil {
		err = resumed
	}
	return err
}

func shutDownInstances(ctx context.Context, r *deployment, _ *rand.Rand) error {
	for i, p := range r.instances {
		start := time.Now()
		ended, err := p.Terminate(shutdownTimeout)
		r.longestShutdown = max(r.longestShutdown, time.Since(start))
		if err != nil {
			return err
		}
		if !ended {
			return &ShutdownTimeoutError{Name: p.Name}
		}
		if err := r.restartInstance(i); err != nil {
			return err
		}
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	return nil
}

// killDuringPlatformFault injects a fault into the platform, kills an instance meanwhile,
// and restarts it after the fault.
func killDuringPlatformFault(f platformd.Faults) func(context.Context, *deployment, *rand.Rand) error {
	return func(ctx context.Context, r *deployment, random *rand.Rand) error {
		if err := r.setPlatformFaults(f); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		i := random.IntN(len(r.instances))
		if err := r.instances[i].Kill(); err != nil {
			return err
		}
		if err := sleep(ctx, randomDuration(random, 2*time.Second, 4*time.Second)); err != nil {
			return err
		}
		if err := r.setPlatformFaults(platformd.Faults{}); err != nil {
			return err
		}
		return r.restartInstance(i)
	}
}

func crashTargets(ctx context.Context, r *deployment, random *rand.Rand) error {
	for range 4 {
		if err := r.crashTarget(random.IntN(len(r.targets))); err != nil {
			return err
		}
		if err := sleep(ctx, randomDuration(random, 500*time.Millisecond, 1500*time.Millisecond)); err != nil {
			return err
		}
	}
	return nil
}

// sendPoison sends identical requests that crash the target that executes them.
func sendPoison(ctx context.Context, r *deployment, _ *rand.Rand) error {
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
