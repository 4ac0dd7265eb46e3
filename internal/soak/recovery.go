package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/metastore"
)

const (
	// loadBeforeKill is how long callers run before the end of all instances.
	loadBeforeKill = 4 * time.Second
	// maxRecoveryTime is the longest time in which full service must be back; the
	// users' deployments state it.
	maxRecoveryTime = 15 * time.Second
	// extraStoreDowntime is how long the store is still down when the instances start.
	extraStoreDowntime = 2 * time.Second
	// fullServiceRatio is the part of the usual rate of answers that counts as full service.
	fullServiceRatio = 0.9
	// rateInterval is the time over which answers are counted.
	rateInterval = 250 * time.Millisecond
)

// Recovery is how service came back after all instances had ended at once and
// were started with nothing.
type Recovery struct {
	StoreDown     bool          // The store was down for another 2 s; times count from its return.
	FirstResponse time.Duration // From the start to the first answer of a target.
	FullService   time.Duration // From the start to nine tenths of the usual rate of answers.
}

// MeasureRecovery kills all instances of a deployment under load, starts them again,
// and measures how service comes back.
func MeasureRecovery(ctx context.Context, options Options, storeDown bool) (Recovery, error) {
	deployment := &Deployment{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), store: metastore.New()}
	defer deployment.close()
	if err := deployment.start(); err != nil {
		return Recovery{}, err
	}
	load, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range options.Callers {
		client := &caller{deployment: deployment, name: fmt.Sprintf("r%d-c%d", options.Seed, i), random: rand.New(rand.NewPCG(options.Seed, uint64(i+2)))}
		callers.Go(func() { client.sendLoop(load) })
	}
	time.Sleep(loadBeforeKill)
	killedAt := time.Now()
	for _, inst := range deployment.instances {
		inst.signal(syscall.SIGKILL)
		inst.waitExit(startTimeout)
	}
	deployment.store.SetFaults(metastore.Faults{Down: storeDown})
	measuredFrom := time.Now()
	for _, inst := range deployment.instances {
		if err := inst.start(); err != nil {
			stopLoad()
			return Recovery{}, err
		}
	}
	if storeDown {
		time.Sleep(extraStoreDowntime)
		deployment.store.SetFaults(metastore.Faults{})
		measuredFrom = time.Now()
	}
	result, err := deployment.awaitFullService(killedAt, measuredFrom)
	result.StoreDown = storeDown
	stopLoad()
	callers.Wait()
	return result, err
}

// awaitFullService waits until service is back.
func (deployment *Deployment) awaitFullService(killedAt, measuredFrom time.Time) (Recovery, error) {
	for {
		time.Sleep(rateInterval)
		result := deployment.evaluateRecovery(killedAt, measuredFrom)
		if result.FullService > 0 {
			return result, nil
		}
		if time.Since(measuredFrom) > maxRecoveryTime {
			return result, fmt.Errorf("service did not come back within %s", maxRecoveryTime)
		}
	}
}

// evaluateRecovery finds the first answer after a moment and the first step in which
// answers come at nearly the rate that they had before the instances ended.
func (deployment *Deployment) evaluateRecovery(killedAt, measuredFrom time.Time) Recovery {
	var result Recovery
	succeededBefore, succeededAfter := 0, map[int]int{}
	for _, outcome := range deployment.recorder.all() {
		switch {
		case outcome.status < 200 || outcome.status >= 300:
		case outcome.doneAt.After(killedAt.Add(-loadBeforeKill/2)) && outcome.doneAt.Before(killedAt):
			succeededBefore++
		case outcome.doneAt.After(measuredFrom):
			elapsed := outcome.doneAt.Sub(measuredFrom)
			succeededAfter[int(elapsed/rateInterval)]++
			if result.FirstResponse == 0 || elapsed < result.FirstResponse {
				result.FirstResponse = elapsed
			}
		}
	}
	usualPerInterval := float64(succeededBefore) * float64(rateInterval) / float64(loadBeforeKill/2)
	for index := range int(maxRecoveryTime / rateInterval) {
		if usualPerInterval > 0 && float64(succeededAfter[index]) >= fullServiceRatio*usualPerInterval {
			result.FullService = time.Duration(index+1) * rateInterval
			break
		}
	}
	return result
}
