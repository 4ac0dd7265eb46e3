package balance

import (
	"time"
)

// Report is what an instance tells others.
type Report struct {
	InFlight    map[uint32]int     // By short hash of the target's ID; targets without requests are left out.
	CallerRates map[uint32]float64 // Requests per second from callers, by short hash of the service's name.
	// FailureEvidence holds the failures beyond the usual at targets, by short hash of
	// the target's ID, in tenths. It is evidence, not a verdict: see evidence.go.
	FailureEvidence map[uint32]int
}

// ReportForRegion returns the part of a report that concerns the targets of a region.
func (b *Balancer) ReportForRegion(r Report, region string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := Report{InFlight: map[uint32]int{}, CallerRates: r.CallerRates, FailureEvidence: r.FailureEvidence}
	for _, s := range b.services {
		for _, t := range s.targetsByRegion[region] {
			if n := r.InFlight[shortHash(t.hash)]; n > 0 {
				part.InFlight[shortHash(t.hash)] = n
			}
		}
	}
	return part
}

// Merge adds the report of another instance of the same domain.
func (r *Report) Merge(o Report) {
	for hash, n := range o.InFlight {
		r.InFlight[hash] += n
	}
	for hash, perSecond := range o.CallerRates {
		r.CallerRates[hash] += perSecond
	}
	for hash, n := range o.FailureEvidence {
		r.FailureEvidence[hash] += n
	}
	r.FailureEvidence = strongestEvidence(r.FailureEvidence)
}

type peer struct {
	region  string
	expires time.Time
	report  Report
}

// Report returns what this instance has in flight.
func (b *Balancer) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{InFlight: map[uint32]int{}, CallerRates: map[uint32]float64{}, FailureEvidence: b.ownEvidence(now)}
	for _, t := range b.targets {
		if t.ownInFlight > 0 {
			r.InFlight[shortHash(t.hash)] = t.ownInFlight
		}
	}
	for name, s := range b.services {
		if perSecond := s.callerRate.at(now); perSecond >= minReportedRate {
			r.CallerRates[shortHash(hashOf(name))] = perSecond
		}
	}
	return r
}

// minReportedRate is the smallest rate that is worth telling, per second.
const minReportedRate = 0.1

// ApplyReport takes over the report of another instance, or of a failure domain. It
// counts for a time: a sender that has been silent for longer is dead or cut
// off, and what it had in flight ends or shows in the targets' own word.
func (b *Balancer) ApplyReport(now time.Time, name, region string, r Report, keep time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.peers[name]; old != nil {
		b.countReport(old.report, -1)
	}
	b.peers[name] = &peer{region: region, expires: now.Add(keep), report: r}
	b.countReport(r, 1)
}

// countReport adds a report to what other instances have in flight and have seen, or
// takes it out.
func (b *Balancer) countReport(r Report, sign int) {
	addCounts(b.peerInFlight, r.InFlight, sign)
	addCounts(b.peerEvidence, r.FailureEvidence, sign)
}

func addCounts(sum, counts map[uint32]int, sign int) {
	for hash, n := range counts {
		sum[hash] += sign * n
		if sum[hash] == 0 {
			delete(sum, hash)
		}
	}
}

// expirePeers takes out the reports of instances that have been silent.
func (b *Balancer) expirePeers(now time.Time) {
	for name, p := range b.peers {
		if now.After(p.expires) {
			b.countReport(p.report, -1)
			delete(b.peers, name)
		}
	}
}

// shortHash is the part of a hash that reports carry. Two targets that share it
// share the counts of other instances, which makes both look busier.
func shortHash(hash uint64) uint32 { return uint32(hash >> 32) }
