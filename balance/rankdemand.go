package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// planInterval is the time between two evaluations of the demand by rank. It is
	// that of the region weights; reports are not much newer.
	planInterval = weightInterval
	// maxRanks limits the ranks of a service whose demand is measured and reported.
	// Requests of further ranks are admitted by the demand of the measured ones.
	maxRanks = 16
	// servedTimeConstant is the time over which the share of served callers is
	// averaged. An instance gets a few requests of each rank in a second.
	servedTimeConstant = 8 * time.Second
	// unusedRate is the rate below which the measurements of a rank are dropped.
	unusedRate = 0.01
	// returnedAfter is the time since the caller's first attempt from which a request
	// counts as one that was refused before. It is shorter than any Retry-After.
	returnedAfter = minRetryAfter * 3 / 4
)

// RankKey identifies the requests of one rank to a service.
type RankKey struct {
	Service uint32 // Short hash of the service name.
	Rank    steering.Rank
}

// RankDemand is the measured demand of one rank.
type RankDemand struct {
	PerSecond float64       // Requests from callers, including those that return in time.
	Objective time.Duration // Mean.
	ExecTime  time.Duration // Mean; 0 if none was observed.
	Served    float64       // Share of the callers whose request was granted.
}

// add returns the demand of both, with means weighted by rate.
func (d RankDemand) add(other RankDemand) RankDemand {
	sum := RankDemand{PerSecond: d.PerSecond + other.PerSecond}
	sum.Objective = weightedMean(d.Objective, d.PerSecond, other.Objective, other.PerSecond)
	if sum.PerSecond > 0 {
		sum.Served = (d.Served*d.PerSecond + other.Served*other.PerSecond) / sum.PerSecond
	}
	sum.ExecTime = weightedMean(d.ExecTime, d.PerSecond, other.ExecTime, other.PerSecond)
	return sum
}

// weightedMean returns the mean of two durations, of which 0 is unknown.
func weightedMean(a time.Duration, weightA float64, b time.Duration, weightB float64) time.Duration {
	switch {
	case a == 0 || weightA+weightB == 0:
		return b
	case b == 0:
		return a
	}
	return time.Duration((float64(a)*weightA + float64(b)*weightB) / (weightA + weightB))
}

// mergeRankDemand adds the demand of a report to another one.
func mergeRankDemand(into, from map[RankKey]RankDemand) map[RankKey]RankDemand {
	if len(from) > 0 && into == nil {
		into = map[RankKey]RankDemand{}
	}
	for key, demand := range from {
		into[key] = into[key].add(demand)
	}
	return into
}

// servedCallers counts callers and those of them whose request was granted, with
// exponential decay (servedTimeConstant).
type servedCallers struct {
	arrived, served float64
}

// count counts a request. first is set unless its caller was counted before.
func (c *servedCallers) count(first, served bool) {
	if first {
		c.arrived++
	}
	if served {
		c.served++
	}
}

// share returns the share of callers that were served.
func (c *servedCallers) share() float64 { return min(1, c.served/max(1, c.arrived)) }

func (c *servedCallers) age(elapsed time.Duration) {
	remaining := math.Exp(-elapsed.Seconds() / servedTimeConstant.Seconds())
	c.arrived *= remaining
	c.served *= remaining
}

// ownRank is the demand of one rank at this instance.
type ownRank struct {
	rank      steering.Rank
	rate      eventRate
	objective time.Duration // Mean.
	execTime  time.Duration // Mean of executions without a wait; 0 until one was observed.
	callers   servedCallers
	// nextReturn is the latest time at which a refused caller was told to return.
	nextReturn time.Time
	retryAfter time.Duration // Mean of the times after which callers were told to return.
}

// observesRetryAfter reports whether a caller that was refused has probably waited as
// it was told. The refusal may have come from another instance.
func (own *ownRank) observesRetryAfter(elapsed time.Duration) bool {
	return own == nil || elapsed >= own.retryAfter/2
}

func (own *ownRank) count(now time.Time, objective time.Duration) {
	own.rate.add(now)
	if own.objective == 0 {
		own.objective = objective
	}
	own.objective += time.Duration(ewmaWeight * float64(objective-own.objective))
}

func (own *ownRank) demand(now time.Time) RankDemand {
	return RankDemand{own.rate.at(now), own.objective, own.execTime, own.callers.share()}
}

// serviceRanks measures the demand for a service by rank.
type serviceRanks struct {
	own       []*ownRank // Sorted by rank.
	plans     []rankPlan // Sorted by rank; see plan.
	planned   time.Time  // Zero if the plans must be rebuilt.
	serviceID uint32     // Short hash of the service name.
}

// ownRank returns the entry of a rank, which it creates on the first request; nil
// if there are too many ranks.
func (ranks *serviceRanks) ownRank(rank steering.Rank) *ownRank {
	for _, own := range ranks.own {
		if own.rank == rank {
			return own
		}
	}
	if len(ranks.own) >= maxRanks {
		return nil
	}
	own := &ownRank{rank: rank}
	ranks.own = append(ranks.own, own)
	slices.SortFunc(ranks.own, func(a, c *ownRank) int { return compareRanks(a.rank, c.rank) })
	ranks.planned = time.Time{}
	return own
}

func compareRanks(a, c steering.Rank) int {
	return cmp.Or(cmp.Compare(a.Account, c.Account), cmp.Compare(a.Route, c.Route))
}

// recordExecTime records an execution that did not wait for a slot.
func (ranks *serviceRanks) recordExecTime(rank steering.Rank, execTime time.Duration) {
	if ranks == nil {
		return
	}
	own := ranks.ownRank(rank)
	if own == nil {
		return
	}
	if own.execTime == 0 {
		own.execTime = execTime
	}
	own.execTime += time.Duration(ewmaWeight / 2 * float64(execTime-own.execTime))
}

// age ages the counts of served callers by the time since the last call, and removes
// the ranks that are no longer used.
func (ranks *serviceRanks) age(now time.Time, elapsed time.Duration) {
	for _, own := range ranks.own {
		own.callers.age(elapsed)
	}
	ranks.own = slices.DeleteFunc(ranks.own, func(own *ownRank) bool { return own.callers.arrived+own.rate.at(now) < unusedRate })
}

// setRankedServices turns admission by rank on for the services whose requests have
// several ranks, and off for the others.
func (balancer *Balancer) setRankedServices() {
	for name, svc := range balancer.services {
		ranked := balancer.state.Config != nil && hasSeveralRanks(balancer.state.Config, name)
		switch {
		case !ranked:
			svc.ranks = nil
		case svc.ranks == nil:
			svc.ranks = &serviceRanks{serviceID: shortHash(hashOf(name))}
		}
	}
}

// hasSeveralRanks reports whether requests to a service may differ in rank.
func hasSeveralRanks(config *steering.Config, service string) bool {
	var first *steering.Rank
	differs := func(account *steering.Account, route *steering.Route) bool {
		rank := config.RankOf(account, route)
		if first == nil {
			first = &rank
		}
		return rank != *first
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		if !slices.ContainsFunc(route.Split, func(s steering.WeightedService) bool { return s.Service == service }) {
			continue
		}
		if !config.AccountsRequired || route.Public {
			if differs(nil, route) {
				return true
			}
			continue
		}
		for _, account := range config.Accounts {
			if differs(account, route) {
				return true
			}
		}
	}
	return false
}

// reportedRankDemand returns the demand by rank that this instance reports; nil if
// there is none.
func (balancer *Balancer) reportedRankDemand(now time.Time) map[RankKey]RankDemand {
	var report map[RankKey]RankDemand
	for _, svc := range balancer.services {
		if svc.ranks == nil {
			continue
		}
		for _, own := range svc.ranks.own {
			if demand := own.demand(now); demand.PerSecond >= minReportedRate {
				if report == nil {
					report = map[RankKey]RankDemand{}
				}
				report[RankKey{svc.ranks.serviceID, own.rank}] = demand
			}
		}
	}
	return report
}

// rankDemands returns the demand for a service by rank at all instances, sorted by
// rank.
func (balancer *Balancer) rankDemands(now time.Time, ranks *serviceRanks) []rankDemandOf {
	demands := make([]rankDemandOf, 0, len(ranks.own)+2)
	add := func(rank steering.Rank, demand RankDemand) {
		i, known := slices.BinarySearchFunc(demands, rank, func(d rankDemandOf, r steering.Rank) int { return compareRanks(d.rank, r) })
		switch {
		case known:
			demands[i].RankDemand = demands[i].add(demand)
		case len(demands) < 2*maxRanks:
			demands = slices.Insert(demands, i, rankDemandOf{rank, demand})
		}
	}
	for _, own := range ranks.own {
		add(own.rank, own.demand(now))
	}
	for _, p := range balancer.peers {
		for key, demand := range p.report.RankDemand {
			if key.Service == ranks.serviceID {
				add(key.Rank, demand)
			}
		}
	}
	return demands
}

// rankDemandOf is the demand of a rank at all instances.
type rankDemandOf struct {
	rank steering.Rank
	RankDemand
}
