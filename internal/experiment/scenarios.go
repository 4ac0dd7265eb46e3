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
	// poisonRequests is the number of identical requests of which each crashes its target.
	poisonRequests = 12
	// settleTime is the time under load before the first and after the last fault.
	settleTime = time.Second
)

// Scenario is a sequence of faults and the checks that apply to it.
type Scenario struct {
	Name         string
	checks       extraChecks
	injectFaults func(ctx context.Context, deployment *deployment, random *rand.Rand) error
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

// ShutdownTimeoutError means that a graceful shutdown took longer than shutdownTimeout.
type ShutdownTimeoutError struct {
	Name string // Name of the instance.
}

func (err *ShutdownTimeoutError) Error() string {
	return fmt.Sprintf("experiment: graceful shutdown of %s took longer than %s", err.Name, shutdownTimeout)
}

// sleep waits for a duration, or returns an error if ctx ends before.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// randomDuration returns a duration of at least low and less than high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// killInstances kills and restarts random instances one after another.
func killInstances(ctx context.Context, deployment *deployment, random *rand.Rand) error {
	for range 3 {
		i := random.IntN(len(deployment.instances))
		if err := deployment.instances[i].Kill(); err != nil {
			return err
		}
		if err := sleep(ctx, randomDuration(random, 200*time.Millisecond, 1500*time.Millisecond)); err != nil {
			return err
		}
		if err := deployment.restartInstance(i); err != nil {
			return err
		}
		if err := sleep(ctx, randomDuration(random, 500*time.Millisecond, time.Second)); err != nil {
			return err
		}
	}
	return nil
}

// suspendInstance suspends an instance for longer than 3 s, the time after which
// its peers may take over its duties.
func suspendInstance(ctx context.Context, deployment *deployment, random *rand.Rand) error {
	process := deployment.instances[random.IntN(len(deployment.instances))]
	if err := process.Suspend(); err != nil {
		return err
	}
	err := sleep(ctx, randomDuration(random, 3500*time.Millisecond, 5*time.Second))
	if resumeErr := process.Resume(); err == nil {
		err = resumeErr
	}
	return err
}

// shutDownInstances shuts down and restarts each instance in turn.
func shutDownInstances(ctx context.Context, deployment *deployment, _ *rand.Rand) error {
	for i, process := range deployment.instances {
		start := time.Now()
		exited, err := process.Terminate(shutdownTimeout)
		deployment.longestShutdown = max(deployment.longestShutdown, time.Since(start))
		if err != nil {
			return err
		}
		if !exited {
			return &ShutdownTimeoutError{Name: process.Name}
		}
		if err := deployment.restartInstance(i); err != nil {
			return err
		}
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	return nil
}

// killDuringPlatformFault injects faults into the platform stand-in, kills an
// instance meanwhile, and restarts it after the faults have been removed.
func killDuringPlatformFault(faults platformd.Faults) func(context.Context, *deployment, *rand.Rand) error {
	return func(ctx context.Context, deployment *deployment, random *rand.Rand) error {
		if err := deployment.setPlatformFaults(faults); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		i := random.IntN(len(deployment.instances))
		if err := deployment.instances[i].Kill(); err != nil {
			return err
		}
		if err := sleep(ctx, randomDuration(random, 2*time.Second, 4*time.Second)); err != nil {
			return err
		}
		if err := deployment.setPlatformFaults(platformd.Faults{}); err != nil {
			return err
		}
		return deployment.restartInstance(i)
	}
}

// crashTargets crashes random targets one after another.
func crashTargets(ctx context.Context, deployment *deployment, random *rand.Rand) error {
	for range 4 {
		if err := deployment.crashTarget(random.IntN(len(deployment.targets))); err != nil {
			return err
		}
		if err := sleep(ctx, randomDuration(random, 500*time.Millisecond, 1500*time.Millisecond)); err != nil {
			return err
		}
	}
	return nil
}

// sendPoison sends identical requests that crash the target that executes them.
func sendPoison(ctx context.Context, deployment *deployment, _ *rand.Rand) error {
	client, err := caller.New(caller.Options{Bootstrap: deployment.callerAddresses(), Address: "10.0.0.200"})
	if err != nil {
		return err
	}
	for range poisonRequests {
		_, _ = client.Do(ctx, caller.Request{Method: "GET", Path: "/catalogue/poison", Idempotent: true, Timeout: requestTimeout,
			Header: map[string]string{targetd.HeaderFault: "crash"}})
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
