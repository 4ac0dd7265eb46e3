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

// Options configure a run.
type Options struct {
	Binary    string // Path of the program of an entry instance.
	Dir       string // Directory for the settings and logs of the instances.
	Seed      uint64
	Instances int
	Targets   int
	Callers   int
	Faults    int // Number of faults to inject; they may overlap.
	// RefuseEvery makes targets refuse one in so many requests with free slots and
	// repeat their refusals; see wiretarget.Target.RepeatRefusals. 0 means none.
	RefuseEvery int
	// CutResponses makes targets break off a part of their responses after a random
	// number of bytes.
	CutResponses bool
	Log          io.Writer // Receives a line for each injected fault.
}

// Result holds the numbers of requests by outcome and the violations of a run.
// Refused counts all responses with a status of 300 or more; NoResponse counts the
// requests whose connection ended without a complete response.
type Result struct {
	Requests, Succeeded, Refused, NoResponse int
	RepeatedRefusals                         int // Refusals that targets wrote once more.
	Violations                               []Violation
}

// Deployment is a set of entry instances, with their store, targets and proxies,
// that is tested under load and faults.
type Deployment struct {
	options         Options
	random          *rand.Rand
	store           *metastore.Store
	storeProxies    []*proxy // Between each instance and the store; indexes as in instances.
	targetProxies   []*proxy // Between the instances and each target; indexes as in targets.
	targets         []*wiretarget.Target
	targetDomains   []string // Failure domain of each target; indexes as in targets.
	instances       []*instance
	recorder        outcomeRecorder
	configVersion   atomic.Int64
	evacuating      atomic.Bool // Whether a failure domain is being evacuated.
	drainingTargets sync.Map    // Set of the indexes of draining targets.
	limitedTargets  sync.Map    // Set of the indexes of targets with a rate limit.
	closers         []func()    // Close the proxies and the servers of stand-ins.

	mu                sync.Mutex
	gracefulShutdowns []interval
	faultIntervals    []interval
	violations        []Violation // Violations that faults found while they ran.
}

var regionByDomain = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

var domainNames = []string{"a1", "a2", "b1"}

const (
	startTimeout = 15 * time.Second
	targetSlots  = 6
	serviceName  = "s"
	// routeTimeout is shorter than requestDeadline, so that it expires before the
	// deadline of the callers and its effect is tested.
	routeTimeout = 1800 * time.Millisecond
)

// Run starts a deployment, injects faults under load and checks the guarantees of
// the system.
func Run(ctx context.Context, options Options) (Result, error) {
	deployment := &Deployment{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), store: metastore.New()}
	defer deployment.close()
	if err := deployment.start(); err != nil {
		return Result{}, err
	}
	load, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range options.Callers {
		client := &caller{deployment: deployment, name: fmt.Sprintf("s%d-c%d", options.Seed, i),
			random: rand.New(rand.NewPCG(options.Seed, uint64(i+2)))}
		callers.Go(func() { client.sendLoop(load) })
	}
	deployment.injectFaults(ctx)
	stopLoad()
	callers.Wait()
	time.Sleep(requestDeadline) // Executions in flight end by their deadline.
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
	for _, target := range deployment.targets {
		result.RepeatedRefusals += target.RepeatedRefusals()
	}
	return result
}

// close kills the instances and closes the proxies and stand-ins.
func (deployment *Deployment) close() {
	for _, inst := range deployment.instances {
		inst.signal(9)
		inst.waitExit(killTimeout)
	}
	for _, closer := range deployment.closers {
		closer()
	}
}

// start starts the store, the targets and the instances, and waits until all
// instances are ready.
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

// publishConfig publishes the next version of the configuration. Every version
// has the routes that the callers use.
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
	target := wiretarget.New(wiretarget.Options{ID: fmt.Sprint("t", index), Slots: targetSlots, MaxQueued: 12,
		WarmTime: 10 * time.Millisecond, ColdTime: 30 * time.Millisecond})
	target.RepeatRefusals(deployment.options.RefuseEvery)
	targetServer := target.NewServer(listener)
	go func() { _ = targetServer.Run() }()
	deployment.closers = append(deployment.closers, proxy.close, func() { _ = targetServer.Close() })
	deployment.targets, deployment.targetProxies = append(deployment.targets, target), append(deployment.targetProxies, proxy)
	deployment.targetDomains = append(deployment.targetDomains, domainNames[index%len(domainNames)])
	deployment.writeTargetRecord(index, "ready")
	return nil
}

// writeTargetRecord writes the record of a target to the store, as a real target does.
func (deployment *Deployment) writeTargetRecord(index int, state string) {
	id := fmt.Sprint("t", index)
	deployment.store.Put(wiresite.TargetKey(id), wiresite.TargetRecord(serviceName, deployment.targetDomains[index],
		deployment.targetProxies[index].listener.Addr().String(), state, targetSlots))
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
				return fmt.Errorf("instance %s is not ready after %s", inst.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
