package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// weightInterval is the time between two updates of the weights.
	weightInterval = 250 * time.Millisecond
	// stepShiftShare is the share of the deployment's shift limit that one
	// update may use. The limit applies to 2 s, which are 8 updates; half of
	// it is left for the random deviation of requests from the weights.
	stepShiftShare = 0.5 / 8
	// localUtilization is the utilization below which a region keeps its
	// requests even if others are idle.
	localUtilization = 0.5
	// assumedUtilization is the utilization assumed for all regions until load
	// has been measured.
	assumedUtilization = 0.8
	// loadMeasurementDelay is the time from a service's first request until
	// its load counts as measured. Before that, most requests go to targets
	// that are cold for their object and do not represent the later load.
	loadMeasurementDelay = 5 * time.Second
	// abruptSlotsChange is the relative change of a region's slots at which
	// the weights follow at once, because targets were lost or came back.
	abruptSlotsChange = 0.15
	// defaultMaxWeightShift applies if the deployment sets no limit.
	defaultMaxWeightShift = 0.15
	// defaultRoundTrip is assumed for another region until it has been
	// measured.
	defaultRoundTrip = 80 * time.Millisecond
	// localRoundTrip is assumed within the region.
	localRoundTrip = 2 * time.Millisecond
)

// regionWeights are the shares of a service's requests that go to each region.
type regionWeights struct {
	weights    map[string]float64
	nextUpdate time.Time
	reported   map[string]float64 // Weights that Tick returned last.
	// slots are the slots of each region at the last abrupt change.
	slots map[string]float64
}

// WeightChange is a change of a service's region weights, with the load and
// slots that led to it.
type WeightChange struct {
	Service              string
	Weights, Load, Slots map[string]float64
}

// minReportedWeightChange is the smallest change of a weight that Tick
// returns.
const minReportedWeightChange = 0.05

// regionOrder returns the regions to try for a request. The first one is
// selected by a weighted hash of the object, so that an object rarely changes
// its region with small changes of the weights.
func (balancer *Balancer) regionOrder(svc *service, request Request, objectHash uint64) []string {
	order := balancer.allowedRegions(request.HomeRegions)
	if len(order) < 2 || svc.regionWeights.weights == nil {
		return order
	}
	first, best := 0, 0.0
	seed := mix(objectHash, hashOf(svc.name))
	for i, region := range order {
		if score := WeightedScore(svc.regionWeights.weights[region], mix(seed, hashOf(region))); score > best {
			first, best = i, score
		}
	}
	return moveToFront(order, first)
}

func moveToFront(order []string, i int) []string {
	first := order[i]
	rest := slices.Delete(slices.Clone(order), i, i+1)
	return append([]string{first}, rest...)
}

// WeightedScore returns the score for weighted rendezvous hashing: the highest
// score wins with a probability proportional to its weight, and a change of
// one weight moves as few objects as possible.
func WeightedScore(weight float64, hash uint64) float64 {
	if weight <= 0 {
		return 0
	}
	return -weight / math.Log(unitInterval(hash)+math.SmallestNonzeroFloat64)
}

// allowedRegions returns the regions that may serve the request, nearest
// first.
func (balancer *Balancer) allowedRegions(homes steering.HomeRegions) []string {
	all := balancer.sortedRegions()
	if len(homes) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(r string) bool { return !homes.Allows(r) })
}

// sortedRegions returns all regions sorted by round trip. The order is rebuilt
// after a new measurement.
func (balancer *Balancer) sortedRegions() []string {
	if balancer.regionsByRoundTrip != nil {
		return balancer.regionsByRoundTrip
	}
	for _, region := range balancer.options.Regions {
		if !slices.Contains(balancer.regionsByRoundTrip, region) {
			balancer.regionsByRoundTrip = append(balancer.regionsByRoundTrip, region)
		}
	}
	slices.SortFunc(balancer.regionsByRoundTrip, func(a, c string) int {
		return cmp.Or(cmp.Compare(balancer.roundTrip(a), balancer.roundTrip(c)), cmp.Compare(a, c))
	})
	return balancer.regionsByRoundTrip
}

func (balancer *Balancer) roundTrip(region string) time.Duration {
	if region == balancer.options.Region {
		return localRoundTrip
	}
	if d, ok := balancer.roundTrips[region]; ok {
		return d
	}
	return defaultRoundTrip
}

// RoundTrip returns the measured or assumed round trip to a region.
func (balancer *Balancer) RoundTrip(region string) time.Duration {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	return balancer.roundTrip(region)
}

// ObserveRoundTrip records a measured round trip to another region.
func (balancer *Balancer) ObserveRoundTrip(region string, roundTrip time.Duration) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	if region == balancer.options.Region {
		return
	}
	if old, ok := balancer.roundTrips[region]; ok {
		roundTrip = old + time.Duration(ewmaWeight*float64(roundTrip-old))
	}
	balancer.roundTrips[region] = roundTrip
	balancer.regionsByRoundTrip = nil
}

// Tick performs periodic updates. It moves the region weights of all services
// towards the goal for the current load and returns the weights with notable
// changes. It may be called more often than once per weightInterval;
// additional calls only expire peer reports.
func (balancer *Balancer) Tick(now time.Time) []WeightChange {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.detectPause(now)
	if balancer.options.BootClock != nil {
		balancer.lastTick = balancer.options.BootClock()
	}
	balancer.expirePeers(now)
	balancer.expirePauses(now)
	balancer.expireRetained(now)
	if !now.Before(balancer.nextLoadSample) {
		balancer.nextLoadSample = now.Add(weightInterval)
		balancer.callers.age(weightInterval)
		balancer.updateCapacities(now)
		balancer.updateUtilization(now)
		balancer.updateBaselines(now)
	}
	var changes []WeightChange
	for _, svc := range balancer.services {
		if now.Before(svc.regionWeights.nextUpdate) {
			continue
		}
		svc.regionWeights.nextUpdate = now.Add(weightInterval)
		if c, changed := balancer.updateWeights(now, svc); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

func (balancer *Balancer) updateWeights(now time.Time, svc *service) (WeightChange, bool) {
	recorded, slots := balancer.slotsByRegion(now, svc)
	load := balancer.loadByRegion(now, svc, slots)
	goal := goalWeights(balancer.options.Region, load, slots)
	if svc.regionWeights.weights == nil || slotsChangedAbruptly(svc.regionWeights.slots, recorded) {
		svc.regionWeights.weights, svc.regionWeights.slots = goal, recorded
	}
	maxShift := balancer.options.MaxWeightShift
	if maxShift <= 0 {
		maxShift = defaultMaxWeightShift
	}
	moveWeights(svc.regionWeights.weights, goal, slots, maxShift*stepShiftShare)
	reportable := svc.regionWeights.reported == nil
	for region, weight := range svc.regionWeights.weights {
		reportable = reportable || math.Abs(weight-svc.regionWeights.reported[region]) >= minReportedWeightChange
	}
	if !reportable {
		return WeightChange{}, false
	}
	svc.regionWeights.reported = maps.Clone(svc.regionWeights.weights)
	return WeightChange{Service: svc.name, Weights: svc.regionWeights.reported, Load: load, Slots: slots}, true
}

// slotsByRegion returns the slots of each region according to the records, and those
// within the limits of its targets. Only the former shows that targets were lost or
// came back. The targets' speed does not count: its estimates vary faster than
// requests may move between regions, and each move costs cold executions.
func (balancer *Balancer) slotsByRegion(now time.Time, svc *service) (recorded, usable map[string]float64) {
	recorded, usable = map[string]float64{}, map[string]float64{}
	for _, region := range balancer.options.Regions {
		recorded[region] += 0
		usable[region] += 0
	}
	for _, record := range balancer.state.TargetsOf(svc.name) {
		if !balancer.takesRequests(record) {
			continue
		}
		region := balancer.options.Regions[record.Domain]
		recorded[region] += float64(record.Slots)
		if t := balancer.targets[record.ID]; t != nil {
			usable[region] += balancer.capacity(now, t)
		}
	}
	return recorded, usable
}

// usableSlots returns the number of slots of usual speed that a target is equal to.
func (balancer *Balancer) usableSlots(now time.Time, record *steering.Target) float64 {
	t := balancer.targets[record.ID]
	if t == nil || !balancer.learnsCapacity(now, record.Service) {
		return float64(record.Slots)
	}
	return balancer.capacity(now, t) / balancer.learnedSlowness(t)
}

// loadByRegion returns the number of slots in use by requests from each
// region's callers.
func (balancer *Balancer) loadByRegion(now time.Time, svc *service, slots map[string]float64) map[string]float64 {
	load := map[string]float64{}
	if svc.callerRate.first.IsZero() || now.Sub(svc.callerRate.first) < loadMeasurementDelay {
		total := 0.0
		for _, n := range slots {
			total += n
		}
		for region := range slots {
			load[region] = assumedUtilization * total / float64(len(slots))
		}
		return load
	}
	execSeconds := svc.meanExecTime.Seconds()
	for region := range slots {
		load[region] = 0
	}
	load[balancer.options.Region] += svc.callerRate.at(now) * execSeconds
	for _, p := range balancer.peers {
		load[p.region] += p.report.CallerRates[shortHash(hashOf(svc.name))] * execSeconds
	}
	return load
}
