package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Options configure a Balancer.
type Options struct {
	Name           string // Of this instance.
	Domain         string
	Region         string
	Regions        map[string]string // Region of each failure domain.
	MaxWeightShift float64           // See settings.Bounds.
	// Random returns a number below n; nil takes the usual source.
	Random func(n int64) int64
}

// Balancer chooses targets.
type Balancer struct {
	options Options

	mu            sync.Mutex
	state         *steering.State
	targets       map[string]*target
	services      map[string]*service
	peers         map[string]*peer
	peerInFlight  map[uint32]int      // Requests of other instances, by short hash of the target's ID.
	peerEvidence  map[uint32]int      // Evidence of other instances, likewise.
	ownStats      attemptStats        // Of all own attempts.
	liveInstances []steering.Instance // Live ones, this one included.
	// instanceHashes is that of the name of each of the instances; generation
	// counts their changes.
	instanceHashes      []uint64
	instancesGeneration uint64
	roundTrips          map[string]time.Duration // To other regions, as measured.
	regionsByRoundTrip  []string                 // Regions by round trip; nil when it has to be made.
	nextLoadSample      time.Time                // When levels are measured again.
	started             time.Time
}

// target is what is known of one incarnation of a target.
type target struct {
	record *steering.Target
	region string
	hash   uint64 // Of its ID.

	ownInFlight    int // Requests of this instance in flight.
	unreportedLoad int // In flight beyond these, by the target's own word.
	loadReportedAt time.Time

	slowdown            float64 // Observed time by expected time; 1 is usual.
	failureRate         failureRate
	stats               attemptStats // Of own attempts.
	consecutiveFailures int          // Failures in a row.
	// unansweredConnects is the number of connection attempts in a row that nothing
	// answered.
	unansweredConnects int
	down               bool // It has refused or ended connections and not answered since.
	avoidUntil         time.Time
	coldUntil          time.Time
	nextColdRequest    time.Time // When the next request may go there while it is cold.
	// coldSender tells whether this instance may use it while it is cold, as of a
	// generation of instances.
	coldSender           bool
	coldSenderGeneration uint64
	recentObjects        *objectLRU // Objects that it has handled.
	utilization          float64    // Requests in flight by slots, averaged.
	rebalanceAfter       time.Time  // Until then its objects do not move.
}

// service is what is known of a service.
type service struct {
	name         string
	warmExecTime time.Duration // Usual time of a request whose object is known.
	coldExecTime time.Duration // Usual time of one whose object is not.
	meanExecTime time.Duration
	// Runs from which the usual times were learned.
	warmSamples, coldSamples int
	callerRate               eventRate // Requests that callers sent to this instance.
	regionWeights            regionWeights
	targetsByRegion          map[string][]*target // Those that may get requests, by region.
	targetsByHash            map[uint32]*target   // The same, by short hash of the ID.
	demand                   demand               // Of objects, in the own region.
	// baselineFailureRate is the part of attempts that fails at most targets, by region.
	baselineFailureRate map[string]float64
	// baselineEvidence is the evidence against most targets, by region.
	baselineEvidence map[string]float64
	sequence         uint64 // Spreads requests without an object.
}

// samples returns the number of runs from which a usual time was learned.
func (s *service) samples(warm bool) int {
	if warm {
		return s.warmSamples
	}
	return s.coldSamples
}

// New returns a balancer without targets.
func New(o Options, now time.Time) *Balancer {
	if o.Random == nil {
		o.Random = rand.Int64N
	}
	return &Balancer{options: o, state: steering.NewState().Apply(0, nil), targets: map[string]*target{},
		services: map[string]*service{}, peers: map[string]*peer{}, peerInFlight: map[uint32]int{}, peerEvidence: map[uint32]int{}, roundTrips: map[string]time.Duration{}, started: now}
}

// Guesses used until requests have been observed.
const (
	initialWarmExecTime = 150 * time.Millisecond
	initialColdExecTime = 450 * time.Millisecond
)

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{name: name, warmExecTime: initialWarmExecTime, coldExecTime: initialColdExecTime, meanExecTime: (initialWarmExecTime + initialColdExecTime) / 2,
			targetsByRegion: map[string][]*target{}, targetsByHash: map[uint32]*target{}}
		b.services[name] = s
	}
	return s
}

// SetState takes over what is believed now. Targets of another incarnation
// start anew.
func (b *Balancer) SetState(now time.Time, w *steering.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.state
	b.state = w
	if w.Config != nil {
		for name := range w.Config.Services {
			b.service(name)
		}
	}
	evacuations := !maps.Equal(before.Evacuated, w.Evacuated)
	for _, name := range w.Services() {
		changed := !sameTargets(before.TargetsOf(name), w.TargetsOf(name))
		if changed {
			b.updateTargets(now, before.TargetsOf(name), w.TargetsOf(name))
		}
		if changed || evacuations {
			b.indexTargets(b.service(name))
		}
	}
	for domain := range before.Evacuated {
		if !w.Evacuated[domain] {
			b.markDomainCold(now, domain)
		}
	}
}

// sameTargets reports whether two lists of a service's targets are one. A world
// shares the lists that have not changed with the world before.
func sameTargets(a, b []*steering.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// updateTargets takes over the changed targets of a service.
func (b *Balancer) updateTargets(now time.Time, before, after []*steering.Target) {
	for _, record := range after {
		if t := b.targets[record.ID]; t == nil || t.record != record {
			b.updateTarget(now, record.ID, record)
		}
	}
	for _, record := range before {
		if b.state.Targets[record.ID] == nil {
			delete(b.targets, record.ID)
		}
	}
}

// indexTargets sorts the targets of a service that may get requests by region.
func (b *Balancer) indexTargets(s *service) {
	s.targetsByRegion, s.targetsByHash = map[string][]*target{}, map[uint32]*target{}
	for _, record := range b.state.TargetsOf(s.name) {
		if t := b.targets[record.ID]; t != nil && b.state.Usable(record) {
			s.targetsByRegion[t.region] = append(s.targetsByRegion[t.region], t)
			s.targetsByHash[shortHash(t.hash)] = t
		}
	}
}

func (b *Balancer) updateTarget(now time.Time, id string, record *steering.Target) {
	t := b.targets[id]
	if t == nil || !t.record.SameIncarnation(record) {
		t = &target{region: b.options.Regions[record.Domain], hash: hashOf(id), slowdown: 1, recentObjects: newObjectLRU()}
		b.targets[id] = t
	}
	t.record = record
	if record.ColdUntil.After(t.coldUntil) {
		t.coldUntil = record.ColdUntil
	}
}

// markDomainCold treats the targets of a failure domain as cold. They had no requests
// while the domain was evacuated.
func (b *Balancer) markDomainCold(now time.Time, domain string) {
	for _, t := range b.targets {
		if t.record.Domain == domain {
			t.coldUntil = now.Add(b.coldDuration(t.record.Service))
		}
	}
}

// SetInstances takes over which instances are live, this one included.
func (b *Balancer) SetInstances(list []steering.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.liveInstances = list
	b.instancesGeneration++
	b.instanceHashes = make([]uint64, len(list))
	for i, in := range list {
		b.instanceHashes[i] = hashOf(in.Name)
	}
}

// unreportedLoadTTL is how long a load that only the target itself told counts.
const unreportedLoadTTL = 500 * time.Millisecond

// load is the number of requests in flight at the target.
func (b *Balancer) load(now time.Time, t *target) int {
	load := t.ownInFlight + b.peerInFlight[shortHash(t.hash)]
	if now.Sub(t.loadReportedAt) < unreportedLoadTTL {
		load += t.unreportedLoad
	}
	return load
}

// coldDuration is how long targets of a service stay cold.
func (b *Balancer) coldDuration(service string) time.Duration {
	if b.state.Config == nil {
		return 0
	}
	return b.state.Config.Services[service].ColdDuration
}
