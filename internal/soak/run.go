package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
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
	Faults    int      // Number of faults to inject; they may overlap.
	Throttle  float64  // Share of the time for which each process runs, in periods of quotaPeriod; 0 for always.
	Cores     int      // Processors that the runtime of an instance uses; 0 for all.
	Kinds     []string // Names of the kinds of faults; all if empty.
	Rejects   float64  // Probability that a target rejects a request though it has room.
	Noise     float64  // Probability that an extra or repeated response of a target precedes a response.
	// TargetFaults is the share of requests that select a fault of the target; 0 means
	// targetFaultShare.
	TargetFaults float64
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
	Promised                                 int // Of Refused: statuses that guarantee that nothing was executed.
	PlannedStops                             int
	Causes                                   map[string]int // Of requests without response.
	RepeatedRefusals                         int            // Refusals that targets wrote once more.
	Violations                               []Violation
}

// Deployment is a set of entry instances, with their store, targets and proxies,
// that is tested under load and faults.
type Deployment struct {
	options         Options
	random          *rand.Rand
	store           *metastore.Store
	storeProxies    []*proxy // Between each instance and the store; indexes as in instances.
	seats           []*targetSeat
	instances       []*instance
	recorder        outcomeRecorder
	lag             lagMeter
	configVersion   atomic.Int64
	evacuating      atomic.Bool  // Whether a failure domain is being evacuated.
	evacuatedDomain atomic.Value // Name of the domain that is being evacuated, or "".
	restoring       atomic.Bool  // Whether the store is being restored.
	silencing       atomic.Bool  // Whether connections to the store are being made silent.
	configMu        sync.Mutex   // Guards writes of the configuration.
	drainingTargets sync.Map     // Set of the indexes of draining targets.
	closed          atomic.Bool  // Whether close was called.
	playsPoison     bool         // Whether the run includes requests that crash targets.
	poison          poisonRecorder
	poisonSenders   sync.Map // Instances to which such requests were sent, by ID.
	closers         []func() // Close the proxies and the servers of stand-ins.

	idleTimeout atomic.Int64   // Idle time-out of the latest published configuration, in nanoseconds.
	restarts    sync.WaitGroup // Of instances that ended by themselves.

	mu             sync.Mutex
	targets        []*wiretarget.Target // All that were ever started.
	faultIntervals []interval
	plannedStops   int
	violations     []Violation // Violations that faults found while they ran.
}

var regionByDomain = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

var domainNames = []string{"a1", "a2", "b1"}

const (
	startTimeout = 15 * time.Second
	// startTimePerInstance is added to startTimeout.
	startTimePerInstance = 300 * time.Millisecond
	serviceName          = "s"
	// settleTime is how long after the last request executions are still counted.
	settleTime = requestDeadline + 4*time.Second
	// routeTimeout is shorter than requestDeadline, so that it expires before the
	// deadline of the callers and its effect is tested.
	routeTimeout = 1800 * time.Millisecond
)

// Run starts a deployment, injects faults under load and checks the guarantees of
// the system.
func Run(ctx context.Context, options Options) (Result, error) {
	deployment := &Deployment{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), store: metastore.New(),
		poison: poisonRecorder{crashes: map[string][]poisonCrash{}}}
	defer deployment.close()
	if err := deployment.start(); err != nil {
		return Result{}, err
	}
	load, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range options.Callers {
		client := newCaller(deployment, fmt.Sprintf("s%d-c%d", options.Seed, i), uint64(i+2))
		callers.Go(func() { client.sendLoop(load) })
	}
	go deployment.lag.run(load)
	deployment.injectFaults(ctx)
	stopLoad()
	callers.Wait()
	time.Sleep(settleTime)
	deployment.restarts.Wait()
	result := deployment.countOutcomes()
	deployment.checkGuarantees(&result)
	return result, ctx.Err()
}

func (deployment *Deployment) countOutcomes() Result {
	result := Result{Causes: map[string]int{}, PlannedStops: deployment.plannedStops}
	for _, outcome := range deployment.recorder.all() {
		result.Requests++
		switch {
		case outcome.status == 0:
			result.NoResponse++
		case outcome.status < 300:
			result.Succeeded++
		default:
			result.Refused++
			if outcome.reportsNotExecuted() {
				result.Promised++
			}
		}
	}
	for _, target := range deployment.targets {
		result.RepeatedRefusals += target.RepeatedRefusals()
	}
	return result
}

// close kills the instances and closes the proxies and stand-ins.
func (deployment *Deployment) close() {
	deployment.closed.Store(true)
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
	deployment.idleTimeout.Store(int64(wiresite.DefaultIdleTimeout))
	deployment.playsPoison = slices.ContainsFunc(faultKinds, func(kind faultKind) bool { return kind.name == poisonKind && deployment.plays(kind) })
	if slices.ContainsFunc(faultKinds, func(kind faultKind) bool { return kind.restores() && deployment.plays(kind) }) {
		deployment.store.SetEra(deployment.options.Seed % 2) // Half of the runs begin with a store that states no era.
	}
	deployment.publishConfig()
	if deployment.playsPoison {
		if err := deployment.startPoisonTargets(); err != nil {
			return err
		}
	}
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
	deployment.configMu.Lock()
	defer deployment.configMu.Unlock()
	deployment.configVersion.Add(1)
	deployment.writeConfig()
}

// writeConfig writes the latest version of the configuration. The caller must hold
// configMu.
func (deployment *Deployment) writeConfig() {
	version := deployment.configVersion.Load()
	route := func(name string, idempotent bool) wiresite.Route {
		return wiresite.Route{Segment: name, Idempotent: idempotent, Timeout: routeTimeout}
	}
	routes := []wiresite.Route{route("safe", true), route("unsafe", false), route(fmt.Sprint("extra", version), true)}
	if deployment.playsPoison {
		poison := route(poisonRoute, false)
		poison.Service = poisonService(version)
		routes = append(routes, poison)
	}
	deployment.store.Put(wiresite.ConfigKey, wiresite.ConfigWithIdleTimeout(version, serviceName, time.Duration(deployment.idleTimeout.Load()), routes...))
}

func (deployment *Deployment) addInstance(index int, storeAddress string) error {
	proxy, err := newProxy(loopback.Host()+":8100", storeAddress)
	if err != nil {
		return err
	}
	deployment.closers = append(deployment.closers, proxy.close)
	deployment.storeProxies = append(deployment.storeProxies, proxy)
	inst := &instance{name: fmt.Sprint("n", index), domain: domainNames[index%len(domainNames)], host: loopback.Host(),
		binary: deployment.options.Binary, dir: filepath.Join(deployment.options.Dir, fmt.Sprint("n", index)), throttle: deployment.options.Throttle}
	if deployment.options.Cores > 0 {
		inst.env = []string{fmt.Sprint("GOMAXPROCS=", deployment.options.Cores)}
	}
	inst.unexpectedEnd = func(cause string) { deployment.restarts.Go(func() { deployment.endedByItself(inst, cause) }) }
	if err := os.MkdirAll(inst.dir, 0o700); err != nil {
		return err
	}
	if err := inst.writeSettings(proxy.listener.Addr().String()); err != nil {
		return err
	}
	deployment.instances = append(deployment.instances, inst)
	return inst.start()
}

// restartDelay is the time after which an instance that ended by itself is started.
const restartDelay = time.Second

// endedByItself records a process that ended without a signal and starts it again.
func (deployment *Deployment) endedByItself(inst *instance, cause string) {
	deployment.addViolation("instances do not end by themselves", "%s", cause)
	time.Sleep(restartDelay)
	if inst.hasExited() && inst.markStopping() {
		deployment.restartInstance(inst)
	}
}

func (deployment *Deployment) awaitReady() error {
	deadline := time.Now().Add(startTimeout + startTimePerInstance*time.Duration(len(deployment.instances)))
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
