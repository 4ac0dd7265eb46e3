package balance

import (
	"time"
)

// Report is the state that an instance sends to its peers.
type Report struct {
	InFlight    map[uint32]int     // By short hash of the target ID; targets without requests are omitted.
	CallerRates map[uint32]float64 // Requests per second from callers, by short hash of the service name.
	// FailureEvidence holds the excess failures per target, by short hash of
	// the target ID, in tenths of a failure. It is combined with the evidence
	// of other instances; see evidence.go.
	FailureEvidence map[uint32]int
	Limits          map[uint32]LimitStatement // By short hash of the target ID.
	RankDemand      map[RankKey]RankDemand    // Of services whose requests have several ranks; nil if there are none.
	// Capacities holds the evidence about targets' speed and limits, by short hash
	// of the target ID; nil if there is none. See capacity.go.
	Capacities map[uint32]CapacityEvidence
}

// ReportForRegion returns a copy of a report with the requests in flight
// limited to the targets of a region.
func (balancer *Balancer) ReportForRegion(report Report, region string) Report {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	filtered := Report{InFlight: map[uint32]int{}, CallerRates: report.CallerRates, FailureEvidence: report.FailureEvidence, Limits: report.Limits, RankDemand: report.RankDemand, Capacities: report.Capacities}
	for _, svc := range balancer.services {
		for _, t := range svc.targetsByRegion[region] {
			if n := report.InFlight[shortHash(t.hash)]; n > 0 {
				filtered.InFlight[shortHash(t.hash)] = n
			}
		}
	}
	return filtered
}

// Merge adds the report of another instance of the same domain, which arrived the
// given time ago.
func (r *Report) Merge(other Report, age time.Duration) {
	for hash, n := range other.InFlight {
		r.InFlight[hash] += n
	}
	for hash, perSecond := range other.CallerRates {
		r.CallerRates[hash] += perSecond
	}
	for hash, n := range other.FailureEvidence {
		r.FailureEvidence[hash] += n
	}
	r.FailureEvidence = strongestEvidence(r.FailureEvidence)
	mergeLimits(r.Limits, other.Limits, age)
	r.Limits = latestLimits(r.Limits)
	r.RankDemand = mergeRankDemand(r.RankDemand, other.RankDemand)
	r.Capacities = mergeCapacities(r.Capacities, other.Capacities, age)
}

type peer struct {
	region  string
	expires time.Time
	report  Report
}

// Report returns the report of this instance.
func (balancer *Balancer) Report(now time.Time) Report {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	report := Report{InFlight: map[uint32]int{}, CallerRates: map[uint32]float64{}, FailureEvidence: balancer.ownEvidence(now), Limits: balancer.reportedLimits(now),
		RankDemand: balancer.reportedRankDemand(now), Capacities: balancer.reportedCapacities(now)}
	for _, t := range balancer.targets {
		if t.ownInFlight > 0 {
			report.InFlight[shortHash(t.hash)] = t.ownInFlight
		}
	}
	for name, svc := range balancer.services {
		if perSecond := svc.callerRate.at(now); perSecond >= minReportedRate {
			report.CallerRates[shortHash(hashOf(name))] = perSecond
		}
	}
	return report
}

// minReportedRate is the smallest rate that is reported, in requests per
// second.
const minReportedRate = 0.1

// ApplyReport replaces the report of a peer or a failure domain. The report
// expires after ttl: a sender that is silent for longer has failed or is
// disconnected, and its requests end or appear in the load reported by the
// targets.
func (balancer *Balancer) ApplyReport(now time.Time, name, region string, report Report, ttl time.Duration) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	report.Capacities = agedCapacities(report.Capacities)
	if old := balancer.peers[name]; old != nil {
		balancer.countReport(old.report, -1)
	}
	balancer.peers[name] = &peer{region: region, expires: now.Add(ttl), report: report}
	balancer.countReport(report, 1)
	balancer.applyLimits(now, report.Limits)
}

// countReport adds a report to the totals of all peers, or subtracts it.
func (balancer *Balancer) countReport(report Report, sign int) {
	addCounts(balancer.peerInFlight, report.InFlight, sign)
	addCounts(balancer.peerEvidence, report.FailureEvidence, sign)
	balancer.countCapacities(report.Capacities, sign)
}

func addCounts(sum, counts map[uint32]int, sign int) {
	for hash, n := range counts {
		sum[hash] += sign * n
		if sum[hash] == 0 {
			delete(sum, hash)
		}
	}
}

// expirePeers removes the reports that have expired.
func (balancer *Balancer) expirePeers(now time.Time) {
	for name, p := range balancer.peers {
		if now.After(p.expires) {
			balancer.countReport(p.report, -1)
			delete(balancer.peers, name)
		}
	}
}

// shortHash returns the part of a hash that reports carry. Targets with the
// same short hash share the counts reported by peers, so both appear busier.
func shortHash(hash uint64) uint32 { return uint32(hash >> 32) }
