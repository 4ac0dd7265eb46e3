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
	// recoveryLoad is how long callers run before the end of all instances.
	recoveryLoad = 4 * time.Second
	// recoveryBound is the longest time in which full service must be back; the
	// users' deployments state it.
	recoveryBound = 15 * time.Second
	// storeDownFor is how long the store is still down when the instances start.
	storeDownFor = 2 * time.Second
	// fullPart is the part of the usual rate of answers that counts as full service.
	fullPart = 0.9
	// rateStep is the time over which answers are counted.
	rateStep = 250 * time.Millisecond
)

// Recovered is how service came back after all instances had ended at once and
// were started with nothing.
type Recovered struct {
	StoreDown bool          // The store was down for another 2 s; times count from its return.
	First     time.Duration // From the start to the first answer of a target.
	Full      time.Duration // From the start to nine tenths of the usual rate of answers.
}

// Recover kills all instances of a deployment under load, starts them again,
// and measures how service comes back.
func Recover(ctx context.Context, o Options, storeDown bool) (Recovered, error) {
	r := &Run{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: metastore.New()}
	defer r.close()
	if err := r.start(); err != nil {
		return Recovered{}, err
	}
	load, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range o.Callers {
		c := &caller{run: r, name: fmt.Sprintf("r%d-c%d", o.Seed, i), random: rand.New(rand.NewPCG(o.Seed, uint64(i+2)))}
		callers.Go(func() { c.loop(load) })
	}
	time.Sleep(recoveryLoad)
	killed := time.Now()
	for _, in := range r.instances {
		in.signal(syscall.SIGKILL)
		in.wait(startLimit)
	}
	r.store.SetFaults(metastore.Faults{Down: storeDown})
	from := time.Now()
	for _, in := range r.instances {
		if err := in.start(); err != nil {
			stop()
			return Recovered{}, err
		}
	}
	if storeDown {
		time.Sleep(storeDownFor)
		r.store.SetFaults(metastore.Faults{})
		from = time.Now()
	}
	result, err := r.awaitService(killed, from)
	result.StoreDown = storeDown
	stop()
	callers.Wait()
	return result, err
}

// awaitService waits until service is back.
func (r *Run) awaitService(killed, from time.Time) (Recovered, error) {
	for {
		time.Sleep(rateStep)
		result := r.recovered(killed, from)
		if result.Full > 0 {
			return result, nil
		}
		if time.Since(from) > recoveryBound {
			return result, fmt.Errorf("service did not come back within %s", recoveryBound)
		}
	}
}

// recovered finds the first answer after a moment and the first step in which
// answers come at nearly the rate that they had before the instances ended.
func (r *Run) recovered(killed, from time.Time) Recovered {
	var result Recovered
	before, after := 0, map[int]int{}
	for _, o := range r.recorder.all() {
		switch {
		case o.status < 200 || o.status >= 300:
		case o.done.After(killed.Add(-recoveryLoad/2)) && o.done.Before(killed):
			before++
		case o.done.After(from):
			since := o.done.Sub(from)
			after[int(since/rateStep)]++
			if result.First == 0 || since < result.First {
				result.First = since
			}
		}
	}
	usual := float64(before) * float64(rateStep) / float64(recoveryLoad/2)
	for step := range int(recoveryBound / rateStep) {
		if usual > 0 && float64(after[step]) >= fullPart*usual {
			result.Full = time.Duration(step+1) * rateStep
			break
		}
	}
	return result
}
