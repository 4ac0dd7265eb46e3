package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

func genMessage(t *rapid.T) *Message {
	text := rapid.StringN(0, 12, -1)
	m := &Message{
		Name: rapid.StringN(1, 12, -1).Draw(t, "name"), Domain: text.Draw(t, "domain"), Address: text.Draw(t, "address"),
		PeerAddress: text.Draw(t, "peer"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
		Ready: rapid.Bool().Draw(t, "ready"), Leaving: rapid.Bool().Draw(t, "leaving"), StoreReachable: rapid.Bool().Draw(t, "touch"),
		Revision: rapid.Uint64().Draw(t, "revision"), Era: rapid.Uint64().Draw(t, "era"), Sent: rapid.Uint64().Draw(t, "sent"), Forwarded: rapid.Bool().Draw(t, "relayed"),
		RoundTrip: rapid.Uint64().Draw(t, "trip"),
		Report: balance.Report{InFlight: rapid.MapOf(rapid.Uint32(), rapid.IntRange(0, 1<<20)).Draw(t, "inFlight"),
			CallerRates: map[uint32]float64{7: 1.5}, FailureEvidence: rapid.MapOf(rapid.Uint32(), rapid.IntRange(0, 100)).Draw(t, "failing"),
			Limits: rapid.MapOf(rapid.Uint32(), rapid.Custom(genLimit)).Draw(t, "limits")},
	}
	if rapid.Bool().Draw(t, "ranks") {
		m.Report.RankDemand = rapid.MapOfN(rapid.Custom(genRankKey), rapid.Custom(genRankDemand), 1, 4).Draw(t, "rankDemand")
	}
	if rapid.Bool().Draw(t, "capacities") {
		m.Report.Capacities = rapid.MapOfN(rapid.Uint32(), rapid.Custom(genCapacity), 1, 4).Draw(t, "evidence")
	}
	if rapid.Bool().Draw(t, "suspects") {
		m.Suspects = rapid.MapOfN(rapid.Uint64(), rapid.Custom(genSuspicion), 1, 4).Draw(t, "suspicions")
	}
	if rapid.Bool().Draw(t, "quotas") {
		m.Quotas = rapid.MapOfN(rapid.Uint32(), rapid.Custom(genRates), 1, 4).Draw(t, "rates")
	}
	for range rapid.IntRange(0, 3).Draw(t, "members") {
		m.Members = append(m.Members, Member{Name: rapid.StringN(1, 5, -1).Draw(t, "member"), Address: text.Draw(t, "a"),
			Ready: rapid.Bool().Draw(t, "r")})
	}
	return m
}

func genSuspicion(t *rapid.T) balance.Suspicion {
	return balance.Suspicion{CrashCount: balance.CrashCount{Clearance: rapid.Uint32().Draw(t, "clearance"), Crashes: rapid.IntRange(0, maxCount).Draw(t, "crashes")},
		Age: time.Duration(rapid.IntRange(0, int(maxSuspicionAge.Seconds())).Draw(t, "age")) * time.Second}
}

func genRates(t *rapid.T) quota.Rates {
	demand := rapid.IntRange(0, 1_000_000).Draw(t, "demand")
	refused := rapid.IntRange(0, demand).Draw(t, "refused")
	return quota.Rates{Demand: float64(demand) / quotaScale, Admitted: float64(demand-refused) / quotaScale}
}

func genRankKey(t *rapid.T) balance.RankKey {
	return balance.RankKey{Service: rapid.Uint32().Draw(t, "service"), Rank: steering.Rank{Account: rapid.Int().Draw(t, "account"), Route: rapid.Int().Draw(t, "route")}}
}

func genRankDemand(t *rapid.T) balance.RankDemand {
	milliseconds := func(label string) time.Duration {
		return time.Duration(rapid.Int64Range(0, maxRankTime.Milliseconds()).Draw(t, label)) * time.Millisecond
	}
	return balance.RankDemand{PerSecond: float64(rapid.Float32Range(0, 1e6).Draw(t, "perSecond")), Objective: milliseconds("objective"), ExecTime: milliseconds("execTime"),
		Served: float64(rapid.IntRange(0, 100).Draw(t, "served")) / 100}
}

func genCapacity(t *rapid.T) balance.CapacityEvidence {
	pair := func(name string) (int, int) {
		weight := rapid.IntRange(0, maxCount).Draw(t, name)
		return weight, rapid.IntRange(-weight*balance.MaxCapacitySum, weight*balance.MaxCapacitySum).Draw(t, name+" sum")
	}
	evidence := balance.CapacityEvidence{Age: time.Duration(rapid.IntRange(0, int(maxCapacityAge/capacityAgeUnit)).Draw(t, "age")) * capacityAgeUnit}
	evidence.Weight, evidence.Sum = pair("all")
	evidence.LowWeight, evidence.LowSum = pair("low")
	evidence.HighWeight, evidence.HighSum = pair("high")
	return evidence
}

func genLimit(t *rapid.T) balance.LimitStatement {
	statement := balance.LimitStatement{Age: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "age")) * time.Millisecond, Owned: rapid.Bool().Draw(t, "owned")}
	if rapid.Bool().Draw(t, "active") {
		statement.RateLimit = balance.RateLimit{Active: true, PerSecond: float64(rapid.Float32Range(0, 1e6).Draw(t, "rate"))}
	}
	return statement
}

func TestMessageEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := genMessage(t)
		got, err := Parse(m.Append(nil))
		require.NoError(t, err)
		assert.Equal(t, m, got)
	})
}

// Guards against a corrupt datagram that crashes the process.
func TestCorruptMessagesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := genMessage(t).Append(nil)
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		_, _ = Parse(b[:rapid.IntRange(0, len(b)).Draw(t, "length")])
	})
	_, err := Parse(nil)
	assert.Error(t, err)
}

// Guards against messages that crash the process or whose counts overflow sums.
func FuzzParse(f *testing.F) {
	m := Message{Name: "n", Domain: "d", Report: balance.Report{InFlight: map[uint32]int{1: 2}, CallerRates: map[uint32]float64{3: 4}, FailureEvidence: map[uint32]int{5: 6},
		Limits:     map[uint32]balance.LimitStatement{9: {RateLimit: balance.RateLimit{Active: true, PerSecond: 4.5}, Age: time.Second}},
		RankDemand: map[balance.RankKey]balance.RankDemand{{Service: 8, Rank: steering.Rank{Account: 1, Route: 2}}: {PerSecond: 3, Objective: time.Second}},
		Capacities: map[uint32]balance.CapacityEvidence{10: {Age: time.Second, Weight: 8, Sum: -30, LowWeight: 1, HighWeight: 2, HighSum: 9}}},
		Suspects: map[uint64]balance.Suspicion{7: {CrashCount: balance.CrashCount{Clearance: 1, Crashes: 8}, Age: time.Second}}, Members: []Member{{Name: "m", Address: "a"}}}
	f.Add(m.Append(nil))
	m.Quotas = quota.Report{3: {Demand: 4.5, Admitted: 1.25}}
	f.Add(m.Append(nil))
	f.Add([]byte{fieldInFlight<<3 | 2, 14, 1, 0, 0, 0, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		if err != nil {
			return
		}
		for _, counts := range []map[uint32]int{m.Report.InFlight, m.Report.FailureEvidence} {
			for _, n := range counts {
				require.True(t, n >= 0 && n <= maxCount)
			}
		}
		for _, rate := range m.Report.CallerRates {
			require.True(t, rate >= 0 && rate <= maxRate)
		}
		for _, rates := range m.Quotas {
			require.True(t, rates.Admitted >= 0 && rates.Admitted <= rates.Demand && rates.Demand <= maxRate)
		}
		for _, demand := range m.Report.RankDemand {
			assert.True(t, demand.PerSecond >= 0 && demand.PerSecond <= maxRate && demand.ExecTime >= 0 && demand.Served <= 1, demand)
		}
		for _, c := range m.Report.Capacities {
			for _, pair := range [][2]int{{c.Weight, c.Sum}, {c.LowWeight, c.LowSum}, {c.HighWeight, c.HighSum}} {
				require.True(t, pair[0] >= 0 && pair[0] <= maxCount && max(pair[1], -pair[1]) <= pair[0]*balance.MaxCapacitySum)
			}
			require.True(t, c.Age >= 0 && c.Age <= maxCapacityAge)
		}
		for _, limit := range m.Report.Limits {
			require.True(t, limit.PerSecond >= 0 && limit.PerSecond <= maxRate && limit.Age >= 0 && limit.Age <= maxLimitAge)
		}
	})
}
