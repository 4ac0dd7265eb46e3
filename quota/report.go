package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rates are rates of an account's requests, in requests per second.
type Rates struct {
	Demand   float64 // Requests from callers, without those that were refused later for other reasons.
	Admitted float64 // Requests that were admitted and not returned.
}

func (r Rates) add(other Rates, sign float64) Rates {
	return Rates{r.Demand + sign*other.Demand, r.Admitted + sign*other.Admitted}
}

// Report holds the rates that an instance or a failure domain reports to its
// peers, by Hash of the account's name. Accounts without requests are omitted.
type Report map[uint32]Rates

// minReportedRate is the lowest rate that is reported, in requests per second. A
// single request is reported until its share of the average falls below the bound,
// so 1% of its weight is lost.
const minReportedRate = 0.025

// Merge returns the sum of two reports. It changes neither.
func (r Report) Merge(other Report) Report {
	if len(other) == 0 {
		return r
	}
	sum := make(Report, len(r)+len(other))
	for hash, rates := range r {
		sum[hash] = rates
	}
	for hash, rates := range other {
		sum[hash] = sum[hash].add(rates, 1)
	}
	return sum
}

// Hash returns the hash of an account's name in reports. Accounts with the same
// hash share what peers report, so both appear busier.
func Hash(account string) uint32 { return uint32(xxhash.Sum64String(account) >> 32) }

// source is a peer or a failure domain that has sent a report.
type source struct {
	report   Report
	received time.Time
	expires  time.Time
}
