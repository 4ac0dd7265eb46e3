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
	// weightInterval is the pause between two steps of the weights.
	weightInterval = 250 * time.Millisecond
	// stepShiftShare is the part of the deployment's bound on shifts that a step may
	// use: 8 steps fit into the bound's 2 s, and requests scatter around weights.
	stepShiftShare = 0.5 / 8
	// localUtilization is the load up to which a region keeps its requests, as a part
	// of its slots, however idle the others are.
	localUtilization = 0.5
	// assumedUtilization is assumed for all regions together until load was measured.
	assumedUtilization = 0.8
	// loadMeasurementDelay is how long after a service's first request its load counts
	// as measured. Until then most requests find no target that knows their
	// object, and say little about the load to come.
	loadMeasurementDelay = 5 * time.Second
	// abruptSlotsChange is the change of a region's slots, as a part of them, from which
	// on the weights follow at once: targets were lost or came back.
	abruptSlotsChange = 0.15
	// defaultMaxWeightShift is used when the deployment states no bound.
	defaultMaxWeightShift = 0.15
	// defaultRoundTrip is assumed to another region until it was measured.
	defaultRoundTrip = 80 * time.Millisecond
	// localRoundTrip is that inside a region.
	localRoundTrip = 2 * time.Millisecond
)

// regionWeights are the parts of a service's requests that go to each region.
type regionWeights struct {
	weights    map[string]float64
	nextUpdate time.Time
	reported   map[string]float64 // The parts that Step returned last.
	// slots are those that the parts were last made for.
	slots map[string]float64
}

// WeightChange tells how a service's requests are dealt to regions, and the
// loads and slots that led to it.
type WeightChange struct {
	Service              string
	Weights, Load, Slots map[string]float64
}

// minReportedWeightChange is the change of a part from which on Step returns it.
const minReportedWeightChange = 0.05

// regionOrder returns the regions to try for a request. The first one follows
// from the object, so an object stays in its region while the weights change
// little.
func (balancer *Balancer) regionOrder(svc *service, request Request, object uint64) []string {
	order := balancer.allowedRegions(request.HomeRegions)
	if len(order) < 2 || svc.regionWeights.weights == nil {
		return order
	}
	first, best := 0, 0.0
	seed := mix(object, hashOf(svc.name))
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

// WeightedScore is the score of weighted rendezvous hashing: the highest score wins
// in proportion to the weights, and a change of one weight moves no more
// objects than it has to.
func WeightedScore(weight float64, hash uint64) float64 {
	if weight <= 0 {
		return 0
	}
	return -weight / math.Log(unitInterval(hash)+math.SmallestNonzeroFloat64)
}

// allowedRegions returns the regions that may serve, this one first, then in the
// order of their round trips.
func (balancer *Balancer) allowedRegions(homes steering.HomeRegions) []string {
	all := balancer.sortedRegions()
	if len(homes) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(r string) bool { return !homes.Allows(r) })
}

// sortedRegions returns all regions in the order of their round trips. The order is
// made anew when a round trip was measured.
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

// RoundTrip returns the round trip to a region, as far as it is known.
func (balancer *Balancer) RoundTrip(region string) time.Duration {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	return balancer.roundTrip(region)
}

// ObserveRoundTrip takes over a measured round trip to another region.
func (balancer *Balancer) ObserveRoundTrip(region string, d time.Duration) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	if region == balancer.options.Region {
		return
	}
	if old, ok := balancer.roundTrips[region]; ok {
		d = old + time.Duration(ewmaWeight*float64(d-old))
	}
	balancer.roundTrips[region] = d
	balancer.regionsByRoundTrip = nil
}

// Tick moves the weights of all services towards what the loads call for, and
// returns those that have changed much. It is called often; between steps it
// does nothing.
func (balancer *Balancer) Tick(now time.Time) []WeightChange {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.expirePeers(now)
	if !now.Before(balancer.nextLoadSample) {
		balancer.nextLoadSample = now.Add(weightInterval)
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
	slots := balancer.slotsByRegion(svc)
	load := balancer.loadByRegion(now, svc, slots)
	goal := goalWeights(balancer.options.Region, load, slots)
	if svc.regionWeights.weights == nil || slotsChangedAbruptly(svc.regionWeights.slots, slots) {
		svc.regionWeights.weights, svc.regionWeights.slots = goal, slots
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

func (balancer *Balancer) slotsByRegion(svc *service) map[string]float64 {
	slots := map[string]float64{}
	for _, region := range balancer.options.Regions {
		slots[region] += 0
	}
	for _, record := range balancer.state.TargetsOf(svc.name) {
		if balancer.state.Usable(record) {
			slots[balancer.options.Regions[record.Domain]] += float64(record.Slots)
		}
	}
	return slots
}

// loadByRegion returns the slots that the requests of each region's callers
// keep busy.
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
		load[p.region] += p.report.Rates[shortHash(hashOf(svc.name))] * execSeconds
	}
	return load
}
