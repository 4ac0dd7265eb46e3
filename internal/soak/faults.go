package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

const (
	maxFaultGap      = 700 * time.Millisecond // Between the starts of two faults.
	maxFaultDuration = 2 * time.Second
)

// injectFaults injects the faults that the seed determines and returns one second
// after the last has ended. A fault does not wait for the end of the previous one,
// so faults overlap.
func (deployment *Deployment) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	var kinds []faultKind
	for _, kind := range faultKinds {
		if deployment.plays(kind) {
			kinds = append(kinds, kind)
		}
	}
	for range deployment.options.Faults {
		if ctx.Err() != nil {
			break
		}
		kind, selector := deployment.random.IntN(len(kinds)), deployment.random.IntN(1<<16)
		duration := time.Duration(deployment.random.Int64N(int64(maxFaultDuration)))
		pause := time.Duration(deployment.random.Int64N(int64(maxFaultGap)))
		deployment.log("fault %s %d for %s", kinds[kind].name, selector, duration.Round(time.Millisecond))
		running.Go(func() { kinds[kind].inject(deployment, selector, duration) })
		time.Sleep(pause)
	}
	running.Wait()
	time.Sleep(time.Second)
}

func (deployment *Deployment) log(format string, args ...any) {
	_, _ = fmt.Fprintf(deployment.options.Log, format+"\n", args...) // The log is informational; write errors are ignored.
}

type faultKind struct {
	name   string
	inject func(deployment *Deployment, selector int, duration time.Duration)
	// fromSeed is the first seed of which runs with all kinds include this one. Runs
	// of lower seeds stay the same when a kind is added.
	fromSeed uint64
}

// plays reports whether the run includes a kind of fault.
func (deployment *Deployment) plays(kind faultKind) bool {
	if len(deployment.options.Kinds) == 0 {
		return deployment.options.Seed >= kind.fromSeed
	}
	return slices.Contains(deployment.options.Kinds, kind.name)
}

// faultKinds are the kinds of faults. Each fault runs in a goroutine of its own.
// The selector is a random number that determines the affected instance, target,
// domain or variant of the fault.
var faultKinds = []faultKind{
	{name: "kill", inject: (*Deployment).killInstance},
	{name: "kill-all", inject: (*Deployment).killAllInstances},
	{name: "pause", inject: (*Deployment).pauseInstance},
	{name: "stop", inject: (*Deployment).shutDownGracefully},
	{name: "hup", inject: (*Deployment).sendHangup},
	{name: "store-link", inject: (*Deployment).injectStoreLinkFault},
	{name: "target-link", inject: (*Deployment).injectTargetLinkFault},
	{name: "store-down", inject: (*Deployment).injectStoreOutage},
	{name: "store-slow", inject: (*Deployment).injectSlowStore},
	{name: "compact", inject: func(deployment *Deployment, _ int, _ time.Duration) { deployment.store.Compact() }},
	{name: "configure", inject: func(deployment *Deployment, _ int, _ time.Duration) { deployment.publishConfig() }},
	{name: "drain", inject: (*Deployment).drainTarget},
	{name: "evacuate", inject: (*Deployment).evacuateDomain},
	{name: "limit", inject: (*Deployment).limitTarget},
	{name: "leave", inject: (*Deployment).leaveTarget},
	{name: "ask-for-pause", inject: (*Deployment).pauseTarget},
	{name: "replace-target", inject: (*Deployment).replaceTarget},
	{name: "freeze-target", inject: (*Deployment).freezeTarget},
	{name: "noisy-target", inject: (*Deployment).makeTargetNoisy},
	{name: "busy", inject: (*Deployment).occupyProcessors},
	{name: "signals", inject: (*Deployment).sendSignals},
	{name: "stop-signals", inject: (*Deployment).stopWithFurtherSignals},
	{name: "idle-timeout", inject: (*Deployment).changeIdleTimeout},
	{name: restoreKind, inject: (*Deployment).restoreStore, fromSeed: 40000},
	{name: leaveAndRestoreKind, inject: (*Deployment).leaveAndRestore, fromSeed: 50000},
	{name: "hold", inject: (*Deployment).holdTargetLink, fromSeed: 50000},
	{name: poisonKind, inject: (*Deployment).sendPoison, fromSeed: 50000},
	{name: "silent-store", inject: (*Deployment).silenceStore, fromSeed: 60000},
}

func (deployment *Deployment) instanceAt(selector int) *instance {
	return deployment.instances[selector%len(deployment.instances)]
}

// recordFault runs a fault and records its time span. A nil instance means that the
// fault affects all instances.
func (deployment *Deployment) recordFault(kind faultType, inst *instance, fault func()) {
	start := time.Now()
	deployment.mu.Lock()
	index := len(deployment.faultIntervals)
	deployment.faultIntervals = append(deployment.faultIntervals, interval{kind, inst, start, start.Add(time.Hour)})
	deployment.mu.Unlock()
	fault()
	deployment.mu.Lock()
	deployment.faultIntervals[index].end = time.Now()
	deployment.mu.Unlock()
}

// markStopping reserves an instance for a fault that ends and restarts its
// process. It reports false if another fault has reserved the instance, since
// both would start the process again.
func (inst *instance) markStopping() bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.stopping {
		return false
	}
	inst.stopping = true
	return true
}

// restartInstance starts the process of an instance again. A failure to start
// counts as a violation.
func (deployment *Deployment) restartInstance(inst *instance) {
	if err := inst.start(); err != nil {
		deployment.addViolation("instances start again", "%s", err)
	}
}

func (deployment *Deployment) addViolation(guarantee, format string, args ...any) {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.violations = append(deployment.violations, Violation{Guarantee: guarantee,
		Detail: time.Now().Format(clockFormat) + " " + fmt.Sprintf(format, args...)})
}

func (deployment *Deployment) killInstance(selector int, duration time.Duration) {
	inst := deployment.instanceAt(selector)
	if !inst.markStopping() {
		return
	}
	deployment.recordFault(faultKill, inst, func() {
		inst.signal(syscall.SIGKILL)
		inst.waitExit(killTimeout)
		time.Sleep(duration)
		deployment.restartInstance(inst)
	})
}

// killAllInstances kills all instances at the same time, except those that
// another fault is stopping or restarting.
func (deployment *Deployment) killAllInstances(_ int, duration time.Duration) {
	var reserved []*instance
	for _, inst := range deployment.instances {
		if inst.markStopping() {
			reserved = append(reserved, inst)
		}
	}
	deployment.recordFault(faultKill, nil, func() {
		for _, inst := range reserved {
			inst.signal(syscall.SIGKILL)
		}
		for _, inst := range reserved {
			inst.waitExit(killTimeout)
		}
		time.Sleep(duration / 2)
		for _, inst := range reserved {
			deployment.restartInstance(inst)
		}
	})
}

func (deployment *Deployment) pauseInstance(selector int, duration time.Duration) {
	inst := deployment.instanceAt(selector)
	deployment.recordFault(faultFreeze, inst, func() {
		inst.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		inst.signal(syscall.SIGCONT)
	})
}

// shutDownGracefully stops an instance gracefully and restarts it after the
// downtime.
func (deployment *Deployment) shutDownGracefully(selector int, downtime time.Duration) {
	deployment.stopAndRestart(selector, downtime)
}

// stopWithFurtherSignals stops an instance gracefully and sends further signals
// meanwhile.
func (deployment *Deployment) stopWithFurtherSignals(selector int, downtime time.Duration) {
	series := [][]syscall.Signal{{syscall.SIGHUP}, {syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}}
	deployment.stopAndRestart(selector, downtime, series[selector/7%len(series)]...)
}

// stopAndRestart stops an instance gracefully and restarts it. Not ending in time is
// a violation unless a fault affected the instance.
func (deployment *Deployment) stopAndRestart(selector int, downtime time.Duration, further ...syscall.Signal) {
	inst := deployment.instanceAt(selector)
	if !inst.markStopping() {
		return
	}
	start := time.Now()
	if !inst.terminate(further...) {
		deployment.mu.Lock()
		affected := deployment.affectedByFault(inst, start, time.Now())
		deployment.mu.Unlock()
		if !affected {
			deployment.addViolation("planned stops end in time", "%s", inst.name)
		}
		deployment.recordFault(faultKill, inst, func() {
			inst.signal(syscall.SIGKILL)
			inst.waitExit(killTimeout)
		})
	}
	deployment.mu.Lock()
	deployment.plannedStops++
	deployment.mu.Unlock()
	time.Sleep(downtime)
	deployment.restartInstance(inst)
}

// sendSignals kills an instance, starts it and sends several SIGHUP soon after.
func (deployment *Deployment) sendSignals(selector int, duration time.Duration) {
	deployment.killInstance(selector, duration/10)
	for range 3 {
		time.Sleep(time.Duration(selector%50) * time.Millisecond)
		deployment.sendHangup(selector, 0)
	}
}

// occupyProcessors keeps some processors busy.
func (deployment *Deployment) occupyProcessors(selector int, duration time.Duration) {
	var workers sync.WaitGroup
	end := time.Now().Add(duration / 2)
	for range 1 + selector%maxBusyProcessors {
		workers.Go(func() {
			for time.Now().Before(end) { //nolint:revive // The loop is there to use processor time.
			}
		})
	}
	workers.Wait()
}

const maxBusyProcessors = 4

// idleTimeouts are the values of the configuration's idle time-out.
var idleTimeouts = []time.Duration{wiresite.DefaultIdleTimeout, 5 * time.Second, 2 * time.Second, time.Second}

// changeIdleTimeout publishes a configuration with another idle time-out.
func (deployment *Deployment) changeIdleTimeout(selector int, _ time.Duration) {
	deployment.idleTimeout.Store(int64(idleTimeouts[selector%len(idleTimeouts)]))
	deployment.publishConfig()
}

// usableIdleTime returns for how long a caller may leave a connection idle and use
// it again.
func (deployment *Deployment) usableIdleTime() time.Duration {
	return time.Duration(deployment.idleTimeout.Load()) * 4 / 5
}

// sendHangup makes an instance reload its settings.
func (deployment *Deployment) sendHangup(selector int, _ time.Duration) {
	deployment.instanceAt(selector).signal(syscall.SIGHUP)
}

// injectStoreLinkFault applies a proxy mode other than modePass and modeResetIdle
// to the connections of an instance to the store.
func (deployment *Deployment) injectStoreLinkFault(selector int, duration time.Duration) {
	proxy := deployment.storeProxies[selector%len(deployment.storeProxies)]
	mode := proxyMode(1 + selector/7%4)
	deployment.log("link of %s to the store: %s", deployment.instanceAt(selector).name, proxyModeNames[mode])
	deployment.recordFault(faultStore, deployment.instanceAt(selector), func() {
		proxy.setMode(mode)
		time.Sleep(duration)
		proxy.setMode(modePass)
	})
}

// injectTargetLinkFault applies a proxy mode other than modePass to the connections
// of all instances to a target.
func (deployment *Deployment) injectTargetLinkFault(selector int, duration time.Duration) {
	index := selector % min(maxProxiedTargets, len(deployment.seats))
	proxy := deployment.seats[index].proxy
	mode := proxyMode(1 + selector/7%5)
	deployment.log("links to target %d: %s", index, proxyModeNames[mode])
	deployment.recordFault(faultTarget, nil, func() {
		proxy.setMode(mode)
		time.Sleep(duration)
		proxy.setMode(modePass)
	})
}

// maxRemovalDelay is the longest time from the silence of the connections to the store
// to the removal of a record.
const maxRemovalDelay = 500 * time.Millisecond

// silenceStore makes the open connections of all instances to the store silent, while
// new ones work, and removes the record of a target. It checks that the target gets no
// new requests after drainBound. At most one runs at a time: an instance whose
// connections go silent again must take that for an outage.
func (deployment *Deployment) silenceStore(selector int, downtime time.Duration) {
	if !deployment.silencing.CompareAndSwap(false, true) {
		return
	}
	defer deployment.silencing.Store(false)
	seat := deployment.seatAt(selector)
	if !seat.reserve() {
		return
	}
	defer seat.release()
	target, id := seat.current()
	deployment.recordFault(faultSilence, nil, func() {
		silent := time.Now()
		for _, proxy := range deployment.storeProxies {
			proxy.silenceOpen()
		}
		time.Sleep(time.Duration(selector) * time.Millisecond % maxRemovalDelay)
		deployment.removeTargetRecord(seat)
		// Instances have stabilityTime after the silence.
		start := time.Now()
		if earliest := silent.Add(stabilityTime - drainBound); earliest.After(start) {
			start = earliest
		}
		deployment.checkNoNewRequests("no new work for removed targets", []*wiretarget.Target{target}, start, faultSilence)
	})
	deployment.endAndReplace(seat, id, selector, downtime)
	time.Sleep(faultSettleTime) // The next check would be void.
}

// holdTargetLink holds what the instances send to a target and delivers it after that,
// like the network after a short cut. It checks that no request is delivered whose
// instance has given it up.
func (deployment *Deployment) holdTargetLink(selector int, duration time.Duration) {
	index := selector % min(maxProxiedTargets, len(deployment.seats))
	proxy := deployment.seats[index].proxy
	before := proxy.heldRequestCount()
	deployment.recordFault(faultTarget, nil, func() {
		proxy.setMode(modeHold)
		time.Sleep(2 * duration)
		proxy.setMode(modePass)
	})
	if delivered := proxy.heldRequestCount() - before; delivered > 0 {
		deployment.addViolation("requests that were given up are not delivered", "%d to target %d after its link was held for %s", delivered, index, 2*duration)
	}
}

func (deployment *Deployment) injectStoreFault(faults metastore.Faults, duration time.Duration) {
	deployment.recordFault(faultStore, nil, func() {
		deployment.store.SetFaults(faults)
		time.Sleep(duration)
		deployment.store.SetFaults(metastore.Faults{})
	})
}

func (deployment *Deployment) injectStoreOutage(selector int, duration time.Duration) {
	deployment.injectStoreFault(metastore.Faults{Down: selector%2 == 0, Silent: selector%2 == 1}, duration)
}

func (deployment *Deployment) injectSlowStore(selector int, duration time.Duration) {
	deployment.injectStoreFault(metastore.Faults{Delay: 200 * time.Millisecond, LoseWriteResponses: selector % 3, DelayWrites: selector % 2,
		WriteDelay: time.Second}, duration)
}

// drainTarget marks a target as draining, checks that it receives no new requests
// after drainBound, and marks it as ready again. A target that is already draining
// is left as it is.
func (deployment *Deployment) drainTarget(selector int, _ time.Duration) {
	index := selector % len(deployment.seats)
	if _, alreadyDraining := deployment.drainingTargets.LoadOrStore(index, true); alreadyDraining {
		return
	}
	defer deployment.drainingTargets.Delete(index)
	start := time.Now()
	target, id := deployment.seats[index].current()
	deployment.writeTargetRecord(deployment.seats[index], id, "draining")
	deployment.checkNoNewRequests("no new work for leaving targets", []*wiretarget.Target{target}, start)
	deployment.writeTargetRecord(deployment.seats[index], id, "ready")
}

const (
	minRateLimit = 2 // Requests per second.
	maxRateLimit = 10
	// limitReaction is the time from the first statement of a limit until it must
	// hold. It covers the first response to every instance.
	limitReaction = time.Second
	limitDuration = 9 * time.Second
	// limitWindow is the length of the windows in which requests are counted.
	limitWindow = 4 * time.Second
)

// limitTarget makes a target state a rate limit, checks that all instances together
// keep it, and ends the limit. Targets that are reserved for another fault are left as
// they are: a frozen one states no limit, and the requests that waited arrive at once.
func (deployment *Deployment) limitTarget(selector int, _ time.Duration) {
	index, seat := selector%len(deployment.seats), deployment.seatAt(selector)
	if !seat.reserve() {
		return
	}
	defer seat.release()
	target, _ := seat.current()
	perSecond := float64(minRateLimit + selector/7%(maxRateLimit-minRateLimit+1))
	start := time.Now()
	target.SetRateLimit(perSecond)
	time.Sleep(limitDuration)
	most := target.MostArrivals(start.Add(limitReaction), limitWindow)
	target.ClearRateLimit()
	allowed := 1.5*perSecond*limitWindow.Seconds() + 5
	deployment.log("limit of t%d: %v a second, %d requests in the worst %s, %.0f allowed", index, perSecond, most, limitWindow, allowed)
	if float64(most) > allowed {
		deployment.addViolation("limits of targets hold for all instances", "t%d stated %v a second and got %d requests in %s, allowed %.0f",
			index, perSecond, most, limitWindow, allowed)
	}
}

// evacuateDomain evacuates a failure domain, checks that its targets receive no new
// requests after drainBound, and ends the evacuation. At most one domain is
// evacuated at a time.
func (deployment *Deployment) evacuateDomain(selector int, _ time.Duration) {
	if !deployment.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer deployment.evacuating.Store(false)
	domain := domainNames[selector%len(domainNames)]
	var targets []*wiretarget.Target
	for _, seat := range deployment.seats {
		if seat.domain == domain {
			target, _ := seat.current()
			targets = append(targets, target)
		}
	}
	deployment.evacuatedDomain.Store(domain)
	defer deployment.evacuatedDomain.Store("")
	start := time.Now()
	deployment.store.Put(wiresite.EvacuationKey(domain), []byte("{}"))
	deployment.checkNoNewRequests("no new work for evacuated domains", targets, start)
	deployment.store.Delete(wiresite.EvacuationKey(domain))
}

// checkNoNewRequests waits until drainBound has passed and checks that the targets
// began no execution after it. The check is void if a fault, other than of the kinds
// in spite of which it must hold, was injected meanwhile or shortly before.
func (deployment *Deployment) checkNoNewRequests(guarantee string, targets []*wiretarget.Target, start time.Time, inSpiteOf ...faultType) {
	time.Sleep(time.Until(start) + drainBound + 500*time.Millisecond)
	deployment.mu.Lock()
	faulty := deployment.anyFaultDuring(start.Add(-faultSettleTime), time.Now(), inSpiteOf)
	deployment.mu.Unlock()
	for _, target := range targets {
		lastExecution := target.LastExecutionStart()
		if lastExecution.After(start.Add(drainBound)) && !faulty {
			deployment.addViolation(guarantee, "%s after %s", target.ID(), lastExecution.Sub(start))
		}
	}
}

// anyFaultDuring reports whether any injected fault, at any instance, overlaps the
// time from start to end, except of some kinds. The caller must hold mu.
func (deployment *Deployment) anyFaultDuring(start, end time.Time, except []faultType) bool {
	for _, fault := range deployment.faultIntervals {
		if start.Before(fault.end) && end.After(fault.start) && !slices.Contains(except, fault.kind) {
			return true
		}
	}
	return false
}
