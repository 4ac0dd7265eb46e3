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
	// maxFaultGap is the longest pause between two faults.
	maxFaultGap = 700 * time.Millisecond
	// maxFaultDuration is the longest time that a fault lasts.
	maxFaultDuration = 2 * time.Second
)

// injectFaults carries out the faults of the seed. They come in series and overlap.
func (r *Deployment) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	for range r.options.Faults {
		if ctx.Err() != nil {
			break
		}
		kind, which := r.random.IntN(len(faultKinds)), r.random.IntN(1<<16)
		lasts := time.Duration(r.random.Int64N(int64(maxFaultDuration)))
		pause := time.Duration(r.random.Int64N(int64(maxFaultGap)))
		r.log("fault %s %d for %s", faultKinds[kind].name, which, lasts.Round(time.Millisecond))
		running.Go(func() { faultKinds[kind].run(r, which, lasts) })
		time.Sleep(pause)
	}
	running.Wait()
	time.Sleep(time.Second)
}

func (r *Deployment) log(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Log, format+"\n", args...) // For a reader only.
}

// faultKinds are the faults. Each runs on its own; which picks its object.
var faultKinds = []struct {
	name string
	run  func(r *Deployment, which int, lasts time.Duration)
}{
	{"kill", (*Deployment).killInstance},
	{"kill-all", (*Deployment).killAllInstances},
	{"pause", (*Deployment).pauseInstance},
	{"stop", (*Deployment).shutDownGracefully},
	{"hup", (*Deployment).sendHangup},
	{"store-link", (*Deployment).injectStoreLinkFault},
	{"target-link", (*Deployment).injectTargetLinkFault},
	{"store-down", (*Deployment).injectStoreOutage},
	{"store-slow", (*Deployment).injectSlowStore},
	{"compact", func(r *Deployment, _ int, _ time.Duration) { r.store.Compact() }},
	{"configure", func(r *Deployment, _ int, _ time.Duration) { r.publishConfig() }},
	{"drain", (*Deployment).drainTarget},
	{"evacuate", (*Deployment).evacuateDomain},
}

func (r *Deployment) instanceAt(which int) *instance { return r.instances[which%len(r.instances)] }

// recordFault notes an unplanned fault at an instance, or everywhere.
func (r *Deployment) recordFault(in *instance, fault func()) {
	from := time.Now()
	r.mu.Lock()
	at := len(r.faultIntervals)
	r.faultIntervals = append(r.faultIntervals, interval{in, from, from.Add(time.Hour)})
	r.mu.Unlock()
	fault()
	r.mu.Lock()
	r.faultIntervals[at].end = time.Now()
	r.mu.Unlock()
}

// markStopping reserves an instance for a fault that ends its process. Several at the
// same instance would start it twice.
func (in *instance) markStopping() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopping {
		return false
	}
	in.stopping = true
	return true
}

func (r *Deployment) restartInstance(in *instance) {
	if err := in.start(); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.violations = append(r.violations, Violation{"instances start again", err.Error()})
	}
}

func (r *Deployment) killInstance(which int, lasts time.Duration) {
	in := r.instanceAt(which)
	if !in.markStopping() {
		return
	}
	r.recordFault(in, func() {
		in.signal(syscall.SIGKILL)
		in.waitExit(5 * time.Second)
		time.Sleep(lasts)
		r.restartInstance(in)
	})
}

// killAllInstances ends all instances at one moment, but for those that are about to
// end or start already.
func (r *Deployment) killAllInstances(_ int, lasts time.Duration) {
	var list []*instance
	for _, in := range r.instances {
		if in.markStopping() {
			list = append(list, in)
		}
	}
	r.recordFault(nil, func() {
		for _, in := range list {
			in.signal(syscall.SIGKILL)
		}
		for _, in := range list {
			in.waitExit(5 * time.Second)
		}
		time.Sleep(lasts / 2)
		for _, in := range list {
			r.restartInstance(in)
		}
	})
}

func (r *Deployment) pauseInstance(which int, lasts time.Duration) {
	in := r.instanceAt(which)
	r.recordFault(in, func() {
		in.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		in.signal(syscall.SIGCONT)
	})
}

func (r *Deployment) shutDownGracefully(which int, lasts time.Duration) {
	in := r.instanceAt(which)
	if !in.markStopping() {
		return
	}
	from := time.Now()
	ended := in.terminate()
	r.mu.Lock()
	r.gracefulShutdowns = append(r.gracefulShutdowns, interval{in, from, time.Now()})
	if !ended && !r.affectedByFault(in, from, time.Now()) {
		r.violations = append(r.violations, Violation{"planned stops end in time", in.name})
	}
	r.mu.Unlock()
	time.Sleep(lasts)
	r.restartInstance(in)
}

func (r *Deployment) sendHangup(which int, _ time.Duration) {
	r.instanceAt(which).signal(syscall.SIGHUP)
}

func (r *Deployment) injectStoreLinkFault(which int, lasts time.Duration) {
	p := r.storeProxies[which%len(r.storeProxies)]
	m := proxyMode(1 + which/7%4)
	r.log("link of %s to the store: %s", r.instanceAt(which).name, proxyModeNames[m])
	r.recordFault(r.instanceAt(which), func() {
		p.setMode(m)
		time.Sleep(lasts)
		p.setMode(modePass)
	})
}

func (r *Deployment) injectTargetLinkFault(which int, lasts time.Duration) {
	p := r.targetProxies[which%len(r.targetProxies)]
	m := proxyMode(1 + which/7%5)
	r.log("links to target %d: %s", which%len(r.targetProxies), proxyModeNames[m])
	r.recordFault(nil, func() {
		p.setMode(m)
		time.Sleep(lasts)
		p.setMode(modePass)
	})
}

func (r *Deployment) injectStoreFault(f metastore.Faults, lasts time.Duration) {
	r.recordFault(nil, func() {
		r.store.SetFaults(f)
		time.Sleep(lasts)
		r.store.SetFaults(metastore.Faults{})
	})
}

func (r *Deployment) injectStoreOutage(which int, lasts time.Duration) {
	r.injectStoreFault(metastore.Faults{Down: which%2 == 0, Silent: which%2 == 1}, lasts)
}

func (r *Deployment) injectSlowStore(which int, lasts time.Duration) {
	r.injectStoreFault(metastore.Faults{Delay: 200 * time.Millisecond, LoseWriteResponses: which % 3, DelayWrites: which % 2, WriteDelay: time.Second}, lasts)
}

// drainTarget has a target leave and come back. Unless something disturbed the
// instances meanwhile, it gets no new work after the bound.
func (r *Deployment) drainTarget(which int, _ time.Duration) {
	i := which % len(r.targets)
	if _, leaving := r.drainingTargets.LoadOrStore(i, true); leaving {
		return
	}
	defer r.drainingTargets.Delete(i)
	from := time.Now()
	r.writeTargetRecord(i, "draining")
	r.checkNoNewRequests("no new work for leaving targets", []int{i}, from)
	r.writeTargetRecord(i, "ready")
}

// evacuateDomain takes the targets of a failure domain out and back. Domains are
// evacuated one at a time.
func (r *Deployment) evacuateDomain(which int, _ time.Duration) {
	if !r.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer r.evacuating.Store(false)
	domain := domainNames[which%len(domainNames)]
	var list []int
	for i, of := range r.targetDomains {
		if of == domain {
			list = append(list, i)
		}
	}
	from := time.Now()
	r.store.Put(wiresite.EvacuationKey(domain), []byte("{}"))
	r.checkNoNewRequests("no new work for evacuated domains", list, from)
	r.store.Delete(wiresite.EvacuationKey(domain))
}

// checkNoNewRequests waits beyond the bound and checks that targets got no new work
// after it.
func (r *Deployment) checkNoNewRequests(promise string, targets []int, from time.Time) {
	time.Sleep(drainBound + 500*time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range targets {
		last := r.targets[i].LastExecutionStart()
		if last.After(from.Add(drainBound)) && !r.anyFaultDuring(from.Add(-faultSettleTime), time.Now()) {
			r.violations = append(r.violations, Violation{promise, fmt.Sprintf("t%d after %s", i, last.Sub(from))})
		}
	}
}

func (r *Deployment) anyFaultDuring(from, to time.Time) bool {
	for _, s := range r.faultIntervals {
		if from.Before(s.end) && to.After(s.start) {
			return true
		}
	}
	return false
}
