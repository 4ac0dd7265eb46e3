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
func (b *Balancer) regionOrder(s *service, want Request, object uint64) []string {
	order := b.allowedRegions(want.HomeRegions)
	if len(order) < 2 || s.regionWeights.weights == nil {
		return order
	}
	first, best := 0, 0.0
	seed := mix(object, hashOf(s.name))
	for i, region := range order {
		if score := WeightedScore(s.regionWeights.weights[region], mix(seed, hashOf(region))); score > best {
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
func (b *Balancer) allowedRegions(homes steering.HomeRegions) []string {
	all := b.sortedRegions()
	if len(homes) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(r string) bool { return !homes.Allows(r) })
}

// sortedRegions returns all regions in the order of their round trips. The order is
// made anew when a round trip was measured.
func (b *Balancer) sortedRegions() []string {
	if b.regionsByRoundTrip != nil {
		return b.regionsByRoundTrip
	}
	for _, region := range b.options.Regions {
		if !slices.Contains(b.regionsByRoundTrip, region) {
			b.regionsByRoundTrip = append(b.regionsByRoundTrip, region)
		}
	}
	slices.SortFunc(b.regionsByRoundTrip, func(a, c string) int {
		return cmp.Or(cmp.Compare(b.roundTrip(a), b.roundTrip(c)), cmp.Compare(a, c))
	})
	return b.regionsByRoundTrip
}

func (b *Balancer) roundTrip(region string) time.Duration {
	if region == b.options.Region {
		return localRoundTrip
	}
	if d, ok := b.roundTrips[region]; ok {
		return d
	}
	return defaultRoundTrip
}

// RoundTrip returns the round trip to a region, as far as it is known.
func (b *Balancer) RoundTrip(region string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roundTrip(region)
}

// ObserveRoundTrip takes over a measured round trip to another region.
func (b *Balancer) ObserveRoundTrip(region string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if region == b.options.Region {
		return
	}
	if old, ok := b.roundTrips[region]; ok {
		d = old + time.Duration(ewmaWeight*float64(d-old))
	}
	b.roundTrips[region] = d
	b.regionsByRoundTrip = nil
}

// Tick moves the weights of all services towards what the loads call for, and
// returns those that have changed much. It is called often; between steps it
// does nothing.
func (b *Balancer) Tick(now time.Time) []WeightChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	if !now.Before(b.nextLoadSample) {
		b.nextLoadSample = now.Add(weightInterval)
		b.updateUtilization(now)
		b.updateBaselines(now)
	}
	var changes []WeightChange
	for _, s := range b.services {
		if now.Before(s.regionWeights.nextUpdate) {
			continue
		}
		s.regionWeights.nextUpdate = now.Add(weightInterval)
		if c, changed := b.updateWeights(now, s); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

func (b *Balancer) updateWeights(now time.Time, s *service) (WeightChange, bool) {
	slots := b.slotsByRegion(s)
	load := b.loadByRegion(now, s, slots)
	goal := goalWeights(b.options.Region, load, slots)
	if s.regionWeights.weights == nil || slotsChangedAbruptly(s.regionWeights.slots, slots) {
		s.regionWeights.weights, s.regionWeights.slots = goal, slots
	}
	bound := b.options.MaxWeightShift
	if bound <= 0 {
		bound = defaultMaxWeightShift
	}
	moveWeights(s.regionWeights.weights, goal, slots, bound*stepShiftShare)
	moved := s.regionWeights.reported == nil
	for region, part := range s.regionWeights.weights {
		moved = moved || math.Abs(part-s.regionWeights.reported[region]) >= minReportedWeightChange
	}
	if !moved {
		return WeightChange{}, false
	}
	s.regionWeights.reported = maps.Clone(s.regionWeights.weights)
	return WeightChange{Service: s.name, Weights: s.regionWeights.reported, Load: load, Slots: slots}, true
}

func (b *Balancer) slotsByRegion(s *service) map[string]float64 {
	slots := map[string]float64{}
	for _, region := range b.options.Regions {
		slots[region] += 0
	}
	for _, record := range b.state.TargetsOf(s.name) {
		if b.state.Usable(record) {
			slots[b.options.Regions[record.Domain]] += float64(record.Slots)
		}
	}
	return slots
}

// loadByRegion returns the slots that the requests of each region's callers
// keep busy.
func (b *Balancer) loadByRegion(now time.Time, s *service, slots map[string]float64) map[string]float64 {
	load := map[string]float64{}
	if s.callerRate.first.IsZero() || now.Sub(s.callerRate.first) < loadMeasurementDelay {
		total := 0.0
		for _, n := range slots {
			total += n
		}
		for region := range slots {
			load[region] = assumedUtilization * total / float64(len(slots))
		}
		return load
	}
	work := s.meanExecTime.Seconds()
	for region := range slots {
		load[region] = 0
	}
	load[b.options.Region] += s.callerRate.at(now) * work
	for _, p := range b.peers {
		load[p.region] += p.report.CallerRates[shortHash(hashOf(s.name))] * work
	}
	return load
}
