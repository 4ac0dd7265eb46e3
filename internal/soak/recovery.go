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
func MeasureRecovery(ctx context.Context, o Options, storeDown bool) (Recovery, error) {
	r := &Deployment{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: metastore.New()}
	defer r.close()
	if err := r.start(); err != nil {
		return Recovery{}, err
	}
	load, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range o.Callers {
		c := &caller{deployment: r, name: fmt.Sprintf("r%d-c%d", o.Seed, i), random: rand.New(rand.NewPCG(o.Seed, uint64(i+2)))}
		callers.Go(func() { c.sendLoop(load) })
	}
	time.Sleep(loadBeforeKill)
	killed := time.Now()
	for _, in := range r.instances {
		in.signal(syscall.SIGKILL)
		in.waitExit(startTimeout)
	}
	r.store.SetFaults(metastore.Faults{Down: storeDown})
	from := time.Now()
	for _, in := range r.instances {
		if err := in.start(); err != nil {
			stop()
			return Recovery{}, err
		}
	}
	if storeDown {
		time.Sleep(extraStoreDowntime)
		r.store.SetFaults(metastore.Faults{})
		from = time.Now()
	}
	result, err := r.awaitFullService(killed, from)
	result.StoreDown = storeDown
	stop()
	callers.Wait()
	return result, err
}

// awaitFullService waits until service is back.
func (r *Deployment) awaitFullService(killed, from time.Time) (Recovery, error) {
	for {
		time.Sleep(rateInterval)
		result := r.evaluateRecovery(killed, from)
		if result.FullService > 0 {
			return result, nil
		}
		if time.Since(from) > maxRecoveryTime {
			return result, fmt.Errorf("service did not come back within %s", maxRecoveryTime)
		}
	}
}

// evaluateRecovery finds the first answer after a moment and the first step in which
// answers come at nearly the rate that they had before the instances ended.
func (r *Deployment) evaluateRecovery(killed, from time.Time) Recovery {
	var result Recovery
	before, after := 0, map[int]int{}
	for _, o := range r.recorder.all() {
		switch {
		case o.status < 200 || o.status >= 300:
		case o.doneAt.After(killed.Add(-loadBeforeKill/2)) && o.doneAt.Before(killed):
			before++
		case o.doneAt.After(from):
			since := o.doneAt.Sub(from)
			after[int(since/rateInterval)]++
			if result.FirstResponse == 0 || since < result.FirstResponse {
				result.FirstResponse = since
			}
		}
	}
	usual := float64(before) * float64(rateInterval) / float64(loadBeforeKill/2)
	for step := range int(maxRecoveryTime / rateInterval) {
		if usual > 0 && float64(after[step]) >= fullServiceRatio*usual {
			result.FullService = time.Duration(step+1) * rateInterval
			break
		}
	}
	return result
}
