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
	// loadBeforeKill is the time under load before all instances are killed. The
	// usual rate of successful responses is measured in its second half.
	loadBeforeKill = 4 * time.Second
	// maxRecoveryTime is the time within which full service must be restored, as
	// the users require for their deployments.
	maxRecoveryTime = 15 * time.Second
	// extraStoreDowntime is the time for which the store stays down after the
	// instances have been started.
	extraStoreDowntime = 2 * time.Second
	// fullServiceRatio is the fraction of the usual rate of successful responses
	// that counts as full service.
	fullServiceRatio = 0.9
	// rateInterval is the interval over which the rate of responses is measured.
	rateInterval = 250 * time.Millisecond
)

// Recovery states how long the service took to recover after all instances had
// been killed and started again without any state kept from before.
type Recovery struct {
	StoreDown     bool          // The store stayed down for extraStoreDowntime; the times count from its recovery.
	FirstResponse time.Duration // Until the first successful response.
	FullService   time.Duration // Until the rate of successful responses reached fullServiceRatio of the usual rate.
}

// MeasureRecovery kills all instances of a deployment under load, starts them again
// and measures the time until service is restored. It returns an error if full
// service is not restored within maxRecoveryTime.
func MeasureRecovery(ctx context.Context, options Options, storeDown bool) (Recovery, error) {
	deployment := &Deployment{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), store: metastore.New()}
	defer deployment.close()
	if err := deployment.start(); err != nil {
		return Recovery{}, err
	}
	load, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range options.Callers {
		client := newCaller(deployment, fmt.Sprintf("r%d-c%d", options.Seed, i), uint64(i+2))
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

// awaitFullService waits until full service is restored.
func (deployment *Deployment) awaitFullService(killedAt, measuredFrom time.Time) (Recovery, error) {
	for {
		time.Sleep(rateInterval)
		result := deployment.evaluateRecovery(killedAt, measuredFrom)
		if result.FullService > 0 {
			return result, nil
		}
		if time.Since(measuredFrom) > maxRecoveryTime {
			return result, fmt.Errorf("full service not restored within %s", maxRecoveryTime)
		}
	}
}

// evaluateRecovery finds the first successful response after measuredFrom and the
// first interval with full service. FullService is zero if there is none yet.
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
