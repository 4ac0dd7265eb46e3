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
	options         Options
	random          *rand.Rand
	store           *metastore.Store
	storeProxies    []*proxy // One for each instance, to the store.
	targetProxies   []*proxy
	targets         []*wiretarget.Target
	targetDomains   []string // Domains of the targets.
	instances       []*instance
	recorder        outcomeRecorder
	configVersion   atomic.Int64
	evacuating      atomic.Bool // A domain is evacuated.
	drainingTargets sync.Map    // Numbers of the targets that are draining.
	closers         []func()

	mu                sync.Mutex
	gracefulShutdowns []interval
	faultIntervals    []interval
	violations        []Violation
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
func Run(ctx context.Context, o Options) (Result, error) {
	r := &Deployment{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: metastore.New()}
	defer r.close()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	load, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range o.Callers {
		c := &caller{deployment: r, name: fmt.Sprintf("s%d-c%d", o.Seed, i), random: rand.New(rand.NewPCG(o.Seed, uint64(i+2)))}
		callers.Go(func() { c.sendLoop(load) })
	}
	r.injectFaults(ctx)
	stop()
	callers.Wait()
	time.Sleep(requestDeadline) // Executions under way end by their deadline.
	result := r.countOutcomes()
	result.Violations = r.checkGuarantees()
	return result, ctx.Err()
}

func (r *Deployment) countOutcomes() Result {
	var s Result
	for _, o := range r.recorder.all() {
		s.Requests++
		switch {
		case o.status == 0:
			s.NoResponse++
		case o.status < 300:
			s.Succeeded++
		default:
			s.Refused++
		}
	}
	return s
}

func (r *Deployment) close() {
	for _, in := range r.instances {
		in.signal(9)
		in.waitExit(5 * time.Second)
	}
	for _, c := range r.closers {
		c()
	}
}

func (r *Deployment) start() error {
	listener, err := net.Listen("tcp", loopback.Host()+":8100")
	if err != nil {
		return err
	}
	h := metastore.NewServer(r.store, listener)
	go func() { _ = h.Run() }()
	r.closers = append(r.closers, func() { _ = h.Close() })
	r.publishConfig()
	for i := range r.options.Targets {
		if err := r.addTarget(i); err != nil {
			return err
		}
	}
	for i := range r.options.Instances {
		if err := r.addInstance(i, listener.Addr().String()); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// publishConfig writes the next version. All versions have the routes of the load.
func (r *Deployment) publishConfig() {
	version := r.configVersion.Add(1)
	route := func(name string, idempotent bool) wiresite.Route {
		return wiresite.Route{Segment: name, Idempotent: idempotent, Timeout: routeTimeout}
	}
	r.store.Put(wiresite.ConfigKey, wiresite.Config(version, serviceName, route("safe", true), route("unsafe", false),
		route(fmt.Sprint("extra", version), true)))
}

func (r *Deployment) addTarget(i int) error {
	listener, err := net.Listen("tcp", loopback.Host()+":8200")
	if err != nil {
		return err
	}
	p, err := newProxy(loopback.Host()+":8200", listener.Addr().String())
	if err != nil {
		return err
	}
	t := wiretarget.New(wiretarget.Options{ID: fmt.Sprint("t", i), Slots: targetSlots, MaxQueued: 12,
		WarmTime: 10 * time.Millisecond, ColdTime: 30 * time.Millisecond})
	h := t.NewServer(listener)
	go func() { _ = h.Run() }()
	r.closers = append(r.closers, p.close, func() { _ = h.Close() })
	r.targets, r.targetProxies = append(r.targets, t), append(r.targetProxies, p)
	r.targetDomains = append(r.targetDomains, domainNames[i%len(domainNames)])
	r.writeTargetRecord(i, "ready")
	return nil
}

// writeTargetRecord writes the record of a target, as the target itself does.
func (r *Deployment) writeTargetRecord(i int, state string) {
	id := fmt.Sprint("t", i)
	r.store.Put(wiresite.TargetKey(id), wiresite.TargetRecord(serviceName, r.targetDomains[i], r.targetProxies[i].listener.Addr().String(), state, targetSlots))
}

func (r *Deployment) addInstance(i int, store string) error {
	p, err := newProxy(loopback.Host()+":8100", store)
	if err != nil {
		return err
	}
	r.closers = append(r.closers, p.close)
	r.storeProxies = append(r.storeProxies, p)
	in := &instance{name: fmt.Sprint("n", i), domain: domainNames[i%len(domainNames)], host: loopback.Host(),
		binary: r.options.Binary, dir: filepath.Join(r.options.Dir, fmt.Sprint("n", i))}
	if err := os.MkdirAll(in.dir, 0o700); err != nil {
		return err
	}
	if err := in.writeSettings(p.listener.Addr().String()); err != nil {
		return err
	}
	r.instances = append(r.instances, in)
	return in.start()
}

func (r *Deployment) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, in := range r.instances {
		for !in.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", in.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
