package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// maxRankTime is the greatest objective or execution time of a rank. It is that of the
// longest timeout of a route.
const maxRankTime = time.Hour

// appendRankDemand encodes the demand of a rank: the hash of the service, the ranks of
// account and route as zigzag varints, the rate as a float32, and varints with the
// objective and the execution time in ms and the served callers in hundredths.
func appendRankDemand(b []byte, key balance.RankKey, demand balance.RankDemand) []byte {
	b = protowire.AppendFixed32(b, key.Service)
	b = protowire.AppendVarint(b, protowire.EncodeZigZag(int64(key.Rank.Account)))
	b = protowire.AppendVarint(b, protowire.EncodeZigZag(int64(key.Rank.Route)))
	b = protowire.AppendFixed32(b, math.Float32bits(float32(demand.PerSecond)))
	b = protowire.AppendVarint(b, uint64(max(0, demand.Objective.Milliseconds())))
	b = protowire.AppendVarint(b, uint64(max(0, demand.ExecTime.Milliseconds())))
	return protowire.AppendVarint(b, uint64(math.Round(100*min(1, max(0, demand.Served)))))
}

// consumeRankKey decodes a service and rank. Like the functions of protowire it returns
// a negative length if the encoding is invalid.
func consumeRankKey(b []byte) (balance.RankKey, int) {
	service, length := protowire.ConsumeFixed32(b)
	if length < 0 {
		return balance.RankKey{}, length
	}
	var values [2]uint64
	n := consumeVarints(b[length:], values[:])
	if n < 0 {
		return balance.RankKey{}, n
	}
	rank := steering.Rank{Account: int(protowire.DecodeZigZag(values[0])), Route: int(protowire.DecodeZigZag(values[1]))}
	return balance.RankKey{Service: service, Rank: rank}, length + n
}

// consumeRankDemand decodes the demand of a rank. Like the functions of protowire it
// returns a negative length if the encoding is invalid.
func consumeRankDemand(b []byte) (balance.RankDemand, int) {
	bits, length := protowire.ConsumeFixed32(b)
	if length < 0 {
		return balance.RankDemand{}, length
	}
	var values [3]uint64
	n := consumeVarints(b[length:], values[:])
	if n < 0 {
		return balance.RankDemand{}, n
	}
	milliseconds := func(v uint64) time.Duration {
		return time.Duration(min(v, uint64(maxRankTime.Milliseconds()))) * time.Millisecond
	}
	return balance.RankDemand{PerSecond: float64(math.Float32frombits(bits)), Objective: milliseconds(values[0]), ExecTime: milliseconds(values[1]),
		Served: float64(min(values[2], 100)) / 100}, length + n
}
