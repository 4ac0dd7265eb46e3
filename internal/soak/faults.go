package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

const (
	// faultGap is the longest pause between two faults.
	faultGap = 700 * time.Millisecond
	// faultTime is the longest time that a fault lasts.
	faultTime = 2 * time.Second
)

// inject carries out the faults of the seed. They come in series and overlap.
func (r *Run) inject(ctx context.Context) {
	var running sync.WaitGroup
	for range r.options.Faults {
		if ctx.Err() != nil {
			break
		}
		kind, which := r.random.IntN(len(kinds)), r.random.IntN(1<<16)
		lasts := time.Duration(r.random.Int64N(int64(faultTime)))
		pause := time.Duration(r.random.Int64N(int64(faultGap)))
		r.log("fault %s %d for %s", kinds[kind].name, which, lasts.Round(time.Millisecond))
		running.Go(func() { kinds[kind].run(r, which, lasts) })
		time.Sleep(pause)
	}
	running.Wait()
	time.Sleep(time.Second)
}

func (r *Run) log(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Log, format+"\n", args...) // For a reader only.
}

// kinds are the faults. Each runs on its own; which picks its object.
var kinds = []struct {
	name string
	run  func(r *Run, which int, lasts time.Duration)
}{
	{"kill", (*Run).kill},
	{"kill-all", (*Run).killAll},
	{"pause", (*Run).pause},
	{"stop", (*Run).planStop},
	{"hup", (*Run).hup},
	{"store-link", (*Run).storeLink},
	{"target-link", (*Run).targetLink},
	{"store-down", (*Run).storeDown},
	{"store-slow", (*Run).storeSlow},
	{"compact", func(r *Run, _ int, _ time.Duration) { r.store.Compact() }},
	{"configure", func(r *Run, _ int, _ time.Duration) { r.configure() }},
	{"drain", (*Run).drain},
	{"evacuate", (*Run).evacuate},
}

func (r *Run) pick(which int) *instance { return r.instances[which%len(r.instances)] }

// disturb notes an unplanned fault at an instance, or everywhere.
func (r *Run) disturb(in *instance, fault func()) {
	from := time.Now()
	r.mu.Lock()
	at := len(r.faults)
	r.faults = append(r.faults, span{in, from, from.Add(time.Hour)})
	r.mu.Unlock()
	fault()
	r.mu.Lock()
	r.faults[at].to = time.Now()
	r.mu.Unlock()
}

// claim reserves an instance for a fault that ends its process. Several at the
// same instance would start it twice.
func (in *instance) claim() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopping {
		return false
	}
	in.stopping = true
	return true
}

func (r *Run) restart(in *instance) {
	if err := in.start(); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.leaving = append(r.leaving, Violation{"instances start again", err.Error()})
	}
}

func (r *Run) kill(which int, lasts time.Duration) {
	in := r.pick(which)
	if !in.claim() {
		return
	}
	r.disturb(in, func() {
		in.signal(syscall.SIGKILL)
		in.wait(5 * time.Second)
		time.Sleep(lasts)
		r.restart(in)
	})
}

// killAll ends all instances at one moment, but for those that are about to
// end or start already.
func (r *Run) killAll(_ int, lasts time.Duration) {
	var list []*instance
	for _, in := range r.instances {
		if in.claim() {
			list = append(list, in)
		}
	}
	r.disturb(nil, func() {
		for _, in := range list {
			in.signal(syscall.SIGKILL)
		}
		for _, in := range list {
			in.wait(5 * time.Second)
		}
		time.Sleep(lasts / 2)
		for _, in := range list {
			r.restart(in)
		}
	})
}

func (r *Run) pause(which int, lasts time.Duration) {
	in := r.pick(which)
	r.disturb(in, func() {
		in.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		in.signal(syscall.SIGCONT)
	})
}

func (r *Run) planStop(which int, lasts time.Duration) {
	in := r.pick(which)
	if !in.claim() {
		return
	}
	from := time.Now()
	ended := in.terminate()
	r.mu.Lock()
	r.stops = append(r.stops, span{in, from, time.Now()})
	if !ended && !r.disturbed(in, from, time.Now()) {
		r.leaving = append(r.leaving, Violation{"planned stops end in time", in.name})
	}
	r.mu.Unlock()
	time.Sleep(lasts)
	r.restart(in)
}

func (r *Run) hup(which int, _ time.Duration) { r.pick(which).signal(syscall.SIGHUP) }

func (r *Run) storeLink(which int, lasts time.Duration) {
	p := r.proxies[which%len(r.proxies)]
	m := mode(1 + which/7%4)
	r.log("link of %s to the store: %s", r.pick(which).name, modeNames[m])
	r.disturb(r.pick(which), func() {
		p.set(m)
		time.Sleep(lasts)
		p.set(pass)
	})
}

func (r *Run) targetLink(which int, lasts time.Duration) {
	p := r.toTargets[which%len(r.toTargets)]
	m := mode(1 + which/7%5)
	r.log("links to target %d: %s", which%len(r.toTargets), modeNames[m])
	r.disturb(nil, func() {
		p.set(m)
		time.Sleep(lasts)
		p.set(pass)
	})
}

func (r *Run) storeFault(f metastore.Faults, lasts time.Duration) {
	r.disturb(nil, func() {
		r.store.SetFaults(f)
		time.Sleep(lasts)
		r.store.SetFaults(metastore.Faults{})
	})
}

func (r *Run) storeDown(which int, lasts time.Duration) {
	r.storeFault(metastore.Faults{Down: which%2 == 0, Silent: which%2 == 1}, lasts)
}

func (r *Run) storeSlow(which int, lasts time.Duration) {
	r.storeFault(metastore.Faults{Delay: 200 * time.Millisecond, LoseWriteResponses: which % 3, DelayWrites: which % 2, WriteDelay: time.Second}, lasts)
}

// drain has a target leave and come back. Unless something disturbed the
// instances meanwhile, it gets no new work after the bound.
func (r *Run) drain(which int, _ time.Duration) {
	i := which % len(r.targets)
	if _, leaving := r.drains.LoadOrStore(i, true); leaving {
		return
	}
	defer r.drains.Delete(i)
	from := time.Now()
	r.record(i, "draining")
	r.checkLeft("no new work for leaving targets", []int{i}, from)
	r.record(i, "ready")
}

// evacuate takes the targets of a failure domain out and back. Domains are
// evacuated one at a time.
func (r *Run) evacuate(which int, _ time.Duration) {
	if !r.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer r.evacuating.Store(false)
	domain := domainNames[which%len(domainNames)]
	var list []int
	for i, of := range r.records {
		if of == domain {
			list = append(list, i)
		}
	}
	from := time.Now()
	r.store.Put(wiresite.EvacuationKey(domain), []byte("{}"))
	r.checkLeft("no new work for evacuated domains", list, from)
	r.store.Delete(wiresite.EvacuationKey(domain))
}

// checkLeft waits beyond the bound and checks that targets got no new work
// after it.
func (r *Run) checkLeft(promise string, targets []int, from time.Time) {
	time.Sleep(leaveBound + 500*time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range targets {
		last := r.targets[i].LastExecutionStart()
		if last.After(from.Add(leaveBound)) && !r.anyDisturbed(from.Add(-settleTime), time.Now()) {
			r.leaving = append(r.leaving, Violation{promise, fmt.Sprintf("t%d after %s", i, last.Sub(from))})
		}
	}
}

func (r *Run) anyDisturbed(from, to time.Time) bool {
	for _, s := range r.faults {
		if from.Before(s.to) && to.After(s.from) {
			return true
		}
	}
	return false
}
