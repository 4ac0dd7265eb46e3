package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Options configures a Balancer.
type Options struct {
	Name           string // Name of this instance.
	Domain         string
	Region         string
	Regions        map[string]string // Region of each failure domain.
	MaxWeightShift float64           // Limit on the share of requests that weights may shift between regions; see settings.Bounds.
	// BootClock returns the time since boot, including suspensions of the machine.
	// It is used to detect pauses of the process; nil turns this off.
	BootClock func() time.Duration
	// FixedCapacity turns off learning of the targets' speed and limits: all slots
	// of the records are used, at a speed that each instance measures alone.
	FixedCapacity bool
	// LearnWhereStated limits learning to services whose targets state how loaded
	// their machines are. Where targets are equal there is nothing to learn, and the
	// evidence costs messages.
	LearnWhereStated bool
	// Random returns a number in [0, n); nil selects rand.Int64N.
	Random func(n int64) int64
}

// Balancer selects a target for each request.
type Balancer struct {
	options Options

	mu            *sync.Mutex // A pointer, so that Explain can copy the fields.
	state         *steering.State
	targets       map[string]*target
	services      map[string]*service
	peers         map[string]*peer
	peerInFlight  map[uint32]int      // Requests in flight from peers, by short hash of the target ID.
	peerEvidence  map[uint32]int      // Failure evidence reported by peers, by short hash of the target ID.
	ownStats      attemptStats        // All attempts of this instance.
	liveInstances []steering.Instance // Includes this instance.
	// instanceHashes holds the name hash of each live instance.
	// instancesGeneration is incremented whenever the list of live instances
	// changes.
	instanceHashes      []uint64
	instancesGeneration uint64
	roundTrips          map[string]time.Duration // Measured round trips to other regions.
	regionsByRoundTrip  []string                 // Sorted by round trip; nil when it must be rebuilt.
	nextLoadSample      time.Time                // When target utilization is sampled next.
	started             time.Time
	instancesChangedAt  time.Time                     // When the list of live instances last changed.
	settleTime          time.Duration                 // From becoming the owner of a limited target to the first admission.
	lastTick            time.Duration                 // Reading of the boot clock at the last Tick.
	resumedAt           time.Time                     // When the process last continued after a pause.
	statedTargets       map[*target]struct{}          // Targets with a limit, or with one that has ended lately.
	limitChanges        []LimitChange                 // Since the last call of LimitChanges.
	callers             servedCallers                 // Of all services.
	availabilities      map[incarnation]*availability // Also of incarnations whose records are gone; see retainStatements.
	pendingLimits       map[uint32]limitStatement     // Reported limits of targets that are not in use, by short hash of the ID.
	availabilityChanges []AvailabilityChange          // Since the last call of AvailabilityChanges.
	peerCapacities      map[uint32]CapacityEvidence   // Sum of the peers' reports, by short hash of the target ID.
	capacityChanges     []CapacityChange              // Since the last call of CapacityChanges.
}

// target is the state of one incarnation of a target.
type target struct {
	record *steering.Target
	region string
	hash   uint64 // Hash of the target ID.

	ownInFlight    int // Requests in flight from this instance.
	unreportedLoad int // Requests in flight according to the target beyond those reported by instances.
	loadReportedAt time.Time

	slowdown            float64 // Observed divided by expected execution time; 1 is normal.
	failureRate         failureRate
	stats               attemptStats // Attempts of this instance.
	consecutiveFailures int          // Consecutive connection failures.
	// unansweredConnects counts consecutive connection attempts without any
	// response.
	unansweredConnects int
	down               bool // Could not be reached and has not responded since.
	avoidUntil         time.Time
	coldUntil          time.Time
	nextColdRequest    time.Time // Earliest time of this instance's next request while the target is cold.
	// coldSender caches isColdSender for instancesGeneration
	// coldSenderGeneration.
	coldSender           bool
	coldSenderGeneration uint64
	recentObjects        *objectLRU    // Objects handled recently.
	availability         *availability // Nil until the target has stated something about it.
	limit                limitStatement
	owner                steering.Instance // Admits requests while the target has a limit; valid while limit.Active.
	bucket               tokenBucket       // Requests that this instance may admit as the owner.
	deferredUntil        time.Time         // Until when this instance does not ask the owner again.
	// overflowDeferredUntil is the same for requests that belong to other targets.
	overflowDeferredUntil time.Time
	utilization           float64          // Moving average of requests in flight divided by slots.
	rebalanceAfter        time.Time        // Excluded from rebalancing until then.
	capacityEvidence      capacityEvidence // Of this instance.
	logSlowness           float64          // Estimated logarithm of the execution time relative to the usual one.
	limitShare            float64          // Estimated limit as a share of the slots.
	loggedLimit           float64          // Limit in the last CapacityChange; 0 if there was none.
	statedSlowness        float64          // Slowdown that the target stated last.
	statedAt              time.Time
}

// service is the state of one service.
type service struct {
	name         string
	warmExecTime time.Duration // Average execution time at targets that handled the object recently.
	coldExecTime time.Duration // Average execution time at other targets.
	meanExecTime time.Duration
	// Number of observations behind the average execution times.
	warmSamples, coldSamples int
	callerRate               eventRate // Requests from callers to this instance.
	regionWeights            regionWeights
	targetsByRegion          map[string][]*target // Usable targets by region.
	targetsByHash            map[uint32]*target   // Usable targets by short hash of the ID.
	demand                   demand               // Requests by object in this instance's region.
	// baselineFailureRate is the median failure rate of the targets, by
	// region.
	baselineFailureRate map[string]float64
	// baselineEvidence is the median failure evidence against the targets, by
	// region.
	baselineEvidence map[string]float64
	sequence         uint64        // Spreads requests without an object over targets.
	interferedAt     time.Time     // When a target last stated that other load on its machine slows it down.
	slownessStatedAt time.Time     // When a target last stated how loaded its machine is.
	ranks            *serviceRanks // Nil if all requests have one rank.
	references       map[referenceKey]*reference
	logVariance      float64 // Variance of the logarithm of a response's execution time; 0 until measured.
}

// samples returns the number of observations behind an average execution time.
func (svc *service) samples(warm bool) int {
	if warm {
		return svc.warmSamples
	}
	return svc.coldSamples
}

// New returns a Balancer without targets; call SetState and SetInstances next.
func New(options Options, now time.Time) *Balancer {
	if options.Random == nil {
		options.Random = rand.Int64N
	}
	balancer := &Balancer{options: options, mu: &sync.Mutex{}, state: steering.NewState().Apply(0, nil), targets: map[string]*target{},
		services: map[string]*service{}, peers: map[string]*peer{}, peerInFlight: map[uint32]int{}, peerEvidence: map[uint32]int{}, peerCapacities: map[uint32]CapacityEvidence{}, roundTrips: map[string]time.Duration{},
		started: now, instancesChangedAt: now, settleTime: minSettleTime, statedTargets: map[*target]struct{}{}, availabilities: map[incarnation]*availability{}, pendingLimits: map[uint32]limitStatement{}}
	if options.BootClock != nil {
		balancer.lastTick = options.BootClock()
	}
	return balancer
}

// Execution times assumed until requests have been observed.
const (
	initialWarmExecTime = 150 * time.Millisecond
	initialColdExecTime = 450 * time.Millisecond
)

func (balancer *Balancer) service(name string) *service {
	svc := balancer.services[name]
	if svc == nil {
		svc = &service{name: name, warmExecTime: initialWarmExecTime, coldExecTime: initialColdExecTime, meanExecTime: (initialWarmExecTime + initialColdExecTime) / 2,
			targetsByRegion: map[string][]*target{}, targetsByHash: map[uint32]*target{}}
		balancer.services[name] = svc
	}
	return svc
}

// SetState replaces the state of the deployment. A target of a new incarnation
// starts without history.
func (balancer *Balancer) SetState(now time.Time, state *steering.State) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	before := balancer.state
	balancer.state = state
	if state.Config != nil {
		for name := range state.Config.Services {
			balancer.service(name)
		}
	}
	if state.Config != before.Config {
		balancer.setRankedServices()
	}
	evacuations := !maps.Equal(before.Evacuated, state.Evacuated)
	for _, name := range state.Services() {
		changed := !sameTargets(before.TargetsOf(name), state.TargetsOf(name))
		if changed {
			balancer.updateTargets(now, before.TargetsOf(name), state.TargetsOf(name))
		}
		if changed || evacuations {
			balancer.indexTargets(balancer.service(name))
			balancer.applyPendingLimits(now, balancer.service(name))
		}
	}
	for domain := range before.Evacuated {
		if !state.Evacuated[domain] {
			balancer.markDomainCold(now, domain)
		}
	}
}

// sameTargets reports whether two target lists of a service are the same
// slice. Consecutive states share the lists that have not changed.
func sameTargets(a, b []*steering.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// updateTargets applies the changed target records of a service.
func (balancer *Balancer) updateTargets(now time.Time, before, after []*steering.Target) {
	for _, record := range after {
		if t := balancer.targets[record.ID]; t == nil || t.record != record {
			balancer.updateTarget(now, record.ID, record)
		}
	}
	for _, record := range before {
		if t := balancer.targets[record.ID]; t != nil && balancer.state.Targets[record.ID] == nil {
			balancer.retainStatements(now, t)
			delete(balancer.targets, record.ID)
		}
	}
}

// indexTargets rebuilds the indexes of a service's usable targets.
func (balancer *Balancer) indexTargets(svc *service) {
	svc.targetsByRegion, svc.targetsByHash = map[string][]*target{}, map[uint32]*target{}
	for _, record := range balancer.state.TargetsOf(svc.name) {
		if t := balancer.targets[record.ID]; t != nil && balancer.takesRequests(record) {
			svc.targetsByRegion[t.region] = append(svc.targetsByRegion[t.region], t)
			svc.targetsByHash[shortHash(t.hash)] = t
		}
	}
}

func (balancer *Balancer) updateTarget(now time.Time, id string, record *steering.Target) {
	t := balancer.targets[id]
	if t == nil || !t.record.SameIncarnation(record) {
		if t != nil {
			balancer.retainStatements(now, t)
		}
		t = &target{record: record, region: balancer.options.Regions[record.Domain], hash: hashOf(id), slowdown: 1, limitShare: 1, recentObjects: newObjectLRU()}
		balancer.targets[id] = t
		balancer.restoreStatements(now, t)
	}
	t.record = record
	if record.ColdUntil.After(t.coldUntil) {
		t.coldUntil = record.ColdUntil
	}
}

// markDomainCold marks the targets of a failure domain as cold. They received
// no requests while the domain was evacuated.
func (balancer *Balancer) markDomainCold(now time.Time, domain string) {
	for _, t := range balancer.targets {
		if t.record.Domain == domain {
			t.coldUntil = now.Add(balancer.coldDuration(t.record.Service))
		}
	}
}

// SetInstances replaces the list of live instances, which includes this one unless
// it is shutting down. settleTime is the time in which connected instances hear of
// each other.
func (balancer *Balancer) SetInstances(now time.Time, instances []steering.Instance, settleTime time.Duration) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.liveInstances = instances
	balancer.instancesGeneration++
	balancer.instancesChangedAt, balancer.settleTime = now, max(minSettleTime, settleTime)
	balancer.instanceHashes = make([]uint64, len(instances))
	for i, in := range instances {
		balancer.instanceHashes[i] = hashOf(in.Name)
	}
	balancer.updateOwners(now)
}

// unreportedLoadTTL is how long a target's own report of its load is used for
// requests that no instance has reported.
const unreportedLoadTTL = 500 * time.Millisecond

// load returns the number of requests executing and waiting at the target.
func (balancer *Balancer) load(now time.Time, t *target) int {
	load := t.ownInFlight + balancer.peerInFlight[shortHash(t.hash)]
	if now.Sub(t.loadReportedAt) < unreportedLoadTTL {
		load += t.unreportedLoad
	}
	return load
}

// coldDuration returns how long targets of a service stay cold.
func (balancer *Balancer) coldDuration(service string) time.Duration {
	if balancer.state.Config == nil {
		return 0
	}
	return balancer.state.Config.Services[service].ColdDuration
}
