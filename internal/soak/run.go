package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// Options describe a run.
type Options struct {
	Binary    string // Program of an instance.
	Dir       string // For settings and logs.
	Seed      uint64
	Instances int
	Targets   int
	Callers   int
	Faults    int // Number of faults; they come in series and overlap.
	Log       io.Writer
}

// Result is what a run showed.
type Result struct {
	Requests, Succeeded, Refused, NoResponse int
	Violations                               []Violation
}

// Deployment is a deployment under faults.
type Deployment struct {
	options       Options
	random        *rand.Rand
	store         *metastore.Store
	storeProxies  []*proxy // One for each instance, to the store.
	targetProxies []*proxy
	targets       []*wiretarget.Target
	targetDomains []string // Domains of the targets.
	instances     []*instance
	recorder      outcomeRecorder
	configVersion atomic.Int64
	evacuating    atomic.Bool // A domain is evacuated.
	draining      sync.Map    // Numbers of the targets that are draining.
	closers       []func()

	mu             sync.Mutex
	gracefulStops  []interval
	faultIntervals []interval
	violations     []Violation
}

var regionByDomain = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

var domainNames = []string{"a1", "a2", "b1"}

const (
	startTimeout = 15 * time.Second
	targetSlots  = 6
	serviceName  = "s"
	// routeTimeout is shorter than the callers' deadline, so that it shows.
	routeTimeout = 1800 * time.Millisecond
)

// Run starts a deployment, runs load and faults, and checks the promises.
func Run(ctx context.Context, options Options) (Result, error) {
	deployment := &Deployment{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), store: metastore.New()}
	defer deployment.close()
	if err := deployment.start(); err != nil {
		return Result{}, err
	}
	load, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range options.Callers {
		client := &caller{deployment: deployment, name: fmt.Sprintf("s%d-c%d", options.Seed, i), random: rand.New(rand.NewPCG(options.Seed, uint64(i+2)))}
		callers.Go(func() { client.sendLoop(load) })
	}
	deployment.injectFaults(ctx)
	stopLoad()
	callers.Wait()
	time.Sleep(requestDeadline) // Executions under way end by their deadline.
	result := deployment.countOutcomes()
	result.Violations = deployment.checkGuarantees()
	return result, ctx.Err()
}

func (deployment *Deployment) countOutcomes() Result {
	var result Result
	for _, outcome := range deployment.recorder.all() {
		result.Requests++
		switch {
		case outcome.status == 0:
			result.NoResponse++
		case outcome.status < 300:
			result.Succeeded++
		default:
			result.Refused++
		}
	}
	return result
}

func (deployment *Deployment) close() {
	for _, inst := range deployment.instances {
		inst.signal(9)
		inst.waitExit(5 * time.Second)
	}
	for _, closer := range deployment.closers {
		closer()
	}
}

func (deployment *Deployment) start() error {
	listener, err := net.Listen("tcp", loopback.Host()+":8100")
	if err != nil {
		return err
	}
	storeServer := metastore.NewServer(deployment.store, listener)
	go func() { _ = storeServer.Run() }()
	deployment.closers = append(deployment.closers, func() { _ = storeServer.Close() })
	deployment.publishConfig()
	for i := range deployment.options.Targets {
		if err := deployment.addTarget(i); err != nil {
			return err
		}
	}
	for i := range deployment.options.Instances {
		if err := deployment.addInstance(i, listener.Addr().String()); err != nil {
			return err
		}
	}
	return deployment.awaitReady()
}

// publishConfig writes the next version. All versions have the routes of the load.
func (deployment *Deployment) publishConfig() {
	version := deployment.configVersion.Add(1)
	route := func(name string, idempotent bool) wiresite.Route {
		return wiresite.Route{Segment: name, Idempotent: idempotent, Timeout: routeTimeout}
	}
	deployment.store.Put(wiresite.ConfigKey, wiresite.Config(version, serviceName, route("safe", true), route("unsafe", false),
		route(fmt.Sprint("extra", version), true)))
}

func (deployment *Deployment) addTarget(index int) error {
	listener, err := net.Listen("tcp", loopback.Host()+":8200")
	if err != nil {
		return err
	}
	proxy, err := newProxy(loopback.Host()+":8200", listener.Addr().String())
	if err != nil {
		return err
	}
	target := wiretarget.New(wiretarget.Options{ID: fmt.Sprint("t", index), Slots: targetSlots, Queue: 12,
		Warm: 10 * time.Millisecond, Cold: 30 * time.Millisecond})
	targetServer := target.NewServer(listener)
	go func() { _ = targetServer.Run() }()
	deployment.closers = append(deployment.closers, proxy.close, func() { _ = targetServer.Close() })
	deployment.targets, deployment.targetProxies = append(deployment.targets, target), append(deployment.targetProxies, proxy)
	deployment.targetDomains = append(deployment.targetDomains, domainNames[index%len(domainNames)])
	deployment.writeTargetRecord(index, "ready")
	return nil
}

// writeTargetRecord writes the record of a target, as the target itself does.
func (deployment *Deployment) writeTargetRecord(index int, state string) {
	id := fmt.Sprint("t", index)
	deployment.store.Put(wiresite.TargetKey(id), wiresite.Target(serviceName, deployment.targetDomains[index], deployment.targetProxies[index].listener.Addr().String(), state, targetSlots))
}

func (deployment *Deployment) addInstance(index int, storeAddress string) error {
	proxy, err := newProxy(loopback.Host()+":8100", storeAddress)
	if err != nil {
		return err
	}
	deployment.closers = append(deployment.closers, proxy.close)
	deployment.storeProxies = append(deployment.storeProxies, proxy)
	inst := &instance{name: fmt.Sprint("n", index), domain: domainNames[index%len(domainNames)], host: loopback.Host(),
		binary: deployment.options.Binary, dir: filepath.Join(deployment.options.Dir, fmt.Sprint("n", index))}
	if err := os.MkdirAll(inst.dir, 0o700); err != nil {
		return err
	}
	if err := inst.writeSettings(proxy.listener.Addr().String()); err != nil {
		return err
	}
	deployment.instances = append(deployment.instances, inst)
	return inst.start()
}

func (deployment *Deployment) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, inst := range deployment.instances {
		for !inst.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", inst.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
