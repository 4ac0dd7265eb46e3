package quota

import (
	"cmp"
	"maps"
	"slices"
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

// maxReportedAccounts limits the accounts in a report to some 16 KB; datagrams have
// at most 64 KB.
const maxReportedAccounts = 2048

// Limited returns the report with the accounts of the highest demand, if it is too
// large for a message.
func (r Report) Limited() Report {
	if len(r) <= maxReportedAccounts {
		return r
	}
	order := slices.SortedFunc(maps.Keys(r), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(r[b].Demand, r[a].Demand), cmp.Compare(a, b))
	})
	largest := make(Report, maxReportedAccounts)
	for _, hash := range order[:maxReportedAccounts] {
		largest[hash] = r[hash]
	}
	return largest
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
