package gossip

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/quota"
)

// Message is a message between instances. Within a failure domain it describes
// its sender; to other domains it carries a digest of the sender's domain.
type Message struct {
	Name           string
	Domain         string // Empty, like the addresses, in short messages within a domain.
	Address        string // For callers, ip:port.
	PeerAddress    string // For messages and RPCs of peers, ip:port.
	Incarnation    uint64
	Sequence       uint64 // Increases with each message of an incarnation.
	Ready          bool   // Accepts requests.
	Leaving        bool   // Is shutting down.
	StoreReachable bool   // The sender watches the store, which responds to it.
	Revision       uint64 // Store revision that the sender has read.
	Era            uint64 // Era of the revision.
	Sent           uint64 // Sender's clock in microseconds.
	Echo           uint64 // Sent of the digest that this message acknowledges; otherwise 0.
	Report         balance.Report
	Suspects       map[uint64]balance.Suspicion // By the short fingerprint of a request.
	Quotas         quota.Report                 // In digests the sum over the domain.
	// Members is set in digests and holds the live instances of the sender's
	// domain. Report is then the sum of their reports.
	Members   []Member
	Forwarded bool // A digest that a peer of the receiver forwards.
	// RoundTrip is the round trip time between the two domains in microseconds
	// as measured by the sender; 0 when unknown.
	RoundTrip uint64
	// Capacity is that of the sender in hundredths; it is sent together with
	// the addresses.
	Capacity uint64
	// Hello asks for the instances of the sender's domain. The response has
	// Introduction set and lists them as Members.
	Hello        bool
	Introduction bool
	// Dropped is the number of items of a received message that were dropped because
	// their values are out of range. It is not sent.
	Dropped int
}

// Member is an instance in a digest. Its addresses are empty in short digests.
type Member struct {
	Name        string
	Address     string
	PeerAddress string
	Ready       bool
	Leaving     bool
}

// position returns the store revision that the sender has read, with its era.
func (m *Message) position() kv.Revision { return kv.Revision{Era: m.Era, Number: m.Revision} }

func (m *Message) isDigest() bool { return len(m.Members) > 0 && !m.Introduction }

// Field numbers.
const (
	fieldName = iota + 1
	fieldDomain
	fieldAddress
	fieldPeerAddress
	fieldIncarnation
	fieldSequence
	fieldReady
	fieldLeaving
	fieldRevision
	fieldSent
	fieldEcho
	_
	fieldInFlight // Fixed32 hash and varint count, packed.
	fieldRates    // Fixed32 hash and float32 rate, packed.
	fieldStoreReachable
	fieldMember // A Member with the fields of Message, once for each.
	fieldForwarded
	fieldRoundTrip
	_
	fieldFailing // Fixed32 hash and varint count, packed.
	fieldCapacity
	fieldHello
	fieldIntroduction
	fieldLimits   // Fixed32 hash, float32 rate and a varint with the age in ms and whether the target is owned, packed.
	fieldSuspects // Fixed64 fingerprint and three varints: clearance, crashes and age in seconds, packed.
	fieldQuotas   // Fixed32 hash and two varints: demand and refused demand in hundredths of a request per second, packed.
	// fieldCapacities is packed: fixed32 hash and seven varints, which are the age in
	// units of capacityAgeUnit, and for all responses, those at low and those at high
	// load the weight and the zigzag-encoded sum.
	fieldCapacities
	fieldRankDemand // See appendRankDemand, packed.
	fieldEra
)

// Upper bounds of values in a message. An item that exceeds them is dropped, because
// sums of counts could overflow, and the rest of the message holds.
const (
	maxCount = 1 << 20
	maxRate  = balance.MaxRate
	// maxLimitAge is the greatest age of a target's statement about its limit.
	maxLimitAge = 24 * time.Hour
	// capacityAgeUnit is the resolution of the age of evidence about the capacity of a
	// target, and maxCapacityAge its greatest age, after which the evidence has no
	// weight.
	capacityAgeUnit = 100 * time.Millisecond
	maxCapacityAge  = 5 * time.Minute
	// maxSuspicionAge is the greatest age of the last crash of a request.
	maxSuspicionAge = 7 * 24 * time.Hour
)

// Append encodes the message and appends it to b.
func (m *Message) Append(b []byte) []byte {
	b = appendString(b, fieldName, m.Name)
	b = appendString(b, fieldDomain, m.Domain)
	b = appendString(b, fieldAddress, m.Address)
	b = appendString(b, fieldPeerAddress, m.PeerAddress)
	b = appendNumericFields(b, []numericField{
		{fieldIncarnation, m.Incarnation}, {fieldSequence, m.Sequence},
		{fieldReady, protowire.EncodeBool(m.Ready)}, {fieldLeaving, protowire.EncodeBool(m.Leaving)},
		{fieldStoreReachable, protowire.EncodeBool(m.StoreReachable)}, {fieldForwarded, protowire.EncodeBool(m.Forwarded)},
		{fieldRevision, m.Revision}, {fieldEra, m.Era}, {fieldSent, m.Sent}, {fieldEcho, m.Echo},
		{fieldRoundTrip, m.RoundTrip}, {fieldCapacity, m.Capacity},
		{fieldHello, protowire.EncodeBool(m.Hello)}, {fieldIntroduction, protowire.EncodeBool(m.Introduction)},
	})
	for i := range m.Members {
		b = protowire.AppendTag(b, fieldMember, protowire.BytesType)
		b = protowire.AppendBytes(b, m.Members[i].append(nil))
	}
	return m.appendReport(b)
}

func (m *Member) append(b []byte) []byte {
	b = appendString(b, fieldName, m.Name)
	b = appendString(b, fieldAddress, m.Address)
	b = appendString(b, fieldPeerAddress, m.PeerAddress)
	return appendNumericFields(b, []numericField{
		{fieldReady, protowire.EncodeBool(m.Ready)}, {fieldLeaving, protowire.EncodeBool(m.Leaving)},
	})
}

// numericField is a field with a numeric value. Fields with the value 0 are
// omitted.
type numericField struct {
	field protowire.Number
	value uint64
}

func appendNumericFields(b []byte, list []numericField) []byte {
	for _, f := range list {
		if f.value != 0 {
			b = protowire.AppendTag(b, f.field, protowire.VarintType)
			b = protowire.AppendVarint(b, f.value)
		}
	}
	return b
}

func appendString(b []byte, field protowire.Number, text string) []byte {
	if text == "" {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, text)
}

func (m *Message) appendReport(b []byte) []byte {
	b = appendPairs(b, fieldSuspects, m.Suspects, appendSuspicion)
	b = appendPairs(b, fieldQuotas, m.Quotas, appendQuota)
	counts := func(b []byte, hash uint32, n int) []byte {
		return protowire.AppendVarint(protowire.AppendFixed32(b, hash), uint64(n))
	}
	b = appendPairs(b, fieldInFlight, m.Report.InFlight, counts)
	b = appendPairs(b, fieldFailing, m.Report.FailureEvidence, counts)
	b = appendPairs(b, fieldLimits, m.Report.Limits, appendLimit)
	b = appendPairs(b, fieldRankDemand, m.Report.RankDemand, appendRankDemand)
	b = appendPairs(b, fieldCapacities, m.Report.Capacities, appendCapacity)
	return appendPairs(b, fieldRates, m.Report.CallerRates, func(b []byte, hash uint32, r float64) []byte {
		return protowire.AppendFixed32(protowire.AppendFixed32(b, hash), math.Float32bits(float32(r)))
	})
}

// appendLimit encodes a target's statement about its limit. An infinite rate
// states that there is none.
func appendLimit(b []byte, hash uint32, statement balance.LimitStatement) []byte {
	rate := float32(statement.PerSecond)
	if !statement.Active {
		rate = float32(math.Inf(1))
	}
	b = protowire.AppendFixed32(protowire.AppendFixed32(b, hash), math.Float32bits(rate))
	return protowire.AppendVarint(b, uint64(max(0, statement.Age).Milliseconds())<<1|protowire.EncodeBool(statement.Owned))
}

// consumeLimit decodes a statement. Like the functions of protowire it returns a
// negative length if the encoding is invalid.
func consumeLimit(b []byte) (balance.LimitStatement, int) {
	bits, n := protowire.ConsumeFixed32(b)
	if n < 0 {
		return balance.LimitStatement{}, n
	}
	v, m := protowire.ConsumeVarint(b[n:])
	if m < 0 {
		return balance.LimitStatement{}, m
	}
	statement := balance.LimitStatement{Age: time.Duration(min(v>>1, uint64(maxLimitAge.Milliseconds()))) * time.Millisecond, Owned: v&1 != 0}
	if rate := float64(math.Float32frombits(bits)); !math.IsInf(rate, 1) {
		statement.RateLimit = balance.RateLimit{Active: true, PerSecond: rate}
	}
	return statement, n + m
}

func appendCapacity(b []byte, hash uint32, evidence balance.CapacityEvidence) []byte {
	b = protowire.AppendFixed32(b, hash)
	b = protowire.AppendVarint(b, uint64(max(0, evidence.Age)/capacityAgeUnit))
	for _, pair := range [][2]int{{evidence.Weight, evidence.Sum}, {evidence.LowWeight, evidence.LowSum}, {evidence.HighWeight, evidence.HighSum}} {
		b = protowire.AppendVarint(protowire.AppendVarint(b, uint64(max(0, pair[0]))), protowire.EncodeZigZag(int64(pair[1])))
	}
	return b
}

// consumeCapacity decodes evidence about the capacity of a target. Weights are at
// most maxCount, and sums at most those of the greatest logarithm. Like the
// functions of protowire it returns a negative length if the encoding is invalid.
func consumeCapacity(b []byte) (balance.CapacityEvidence, int) {
	var values [7]uint64
	length := consumeVarints(b, values[:])
	if length < 0 {
		return balance.CapacityEvidence{}, length
	}
	pair := func(weight, sum uint64) (int, int) {
		w := int(min(weight, maxCount))
		limit := int64(w * balance.MaxCapacitySum)
		return w, int(min(limit, max(-limit, protowire.DecodeZigZag(sum))))
	}
	evidence := balance.CapacityEvidence{Age: time.Duration(min(values[0], uint64(maxCapacityAge/capacityAgeUnit))) * capacityAgeUnit}
	evidence.Weight, evidence.Sum = pair(values[1], values[2])
	evidence.LowWeight, evidence.LowSum = pair(values[3], values[4])
	evidence.HighWeight, evidence.HighSum = pair(values[5], values[6])
	return evidence, length
}

func appendSuspicion(b []byte, fingerprint uint64, suspicion balance.Suspicion) []byte {
	b = protowire.AppendFixed64(b, fingerprint)
	b = protowire.AppendVarint(b, uint64(suspicion.Clearance))
	b = protowire.AppendVarint(b, uint64(suspicion.Crashes))
	return protowire.AppendVarint(b, uint64(max(0, suspicion.Age).Seconds()))
}

// consumeSuspicion decodes a suspicion. Like the functions of protowire it returns a
// negative length if the encoding is invalid.
func consumeSuspicion(b []byte) (balance.Suspicion, int) {
	var values [3]uint64
	length := consumeVarints(b, values[:])
	if length < 0 {
		return balance.Suspicion{}, length
	}
	return balance.Suspicion{
		CrashCount: balance.CrashCount{Clearance: uint32(min(values[0], math.MaxUint32)), Crashes: int(min(values[1], maxCount))},
		Age:        time.Duration(min(values[2], uint64(maxSuspicionAge.Seconds()))) * time.Second,
	}, length
}

// quotaScale is the number of steps per request per second in which the rates of
// accounts are sent. Most rates of an instance fit into one or two bytes then.
const quotaScale = 100

// appendQuota encodes the rates of an account. The refused rate takes one byte for
// accounts below their limits.
func appendQuota(b []byte, hash uint32, rates quota.Rates) []byte {
	demand := min(max(0, rates.Demand), maxRate)
	b = protowire.AppendVarint(protowire.AppendFixed32(b, hash), uint64(math.Round(demand*quotaScale)))
	refused := min(max(0, demand-rates.Admitted), demand)
	return protowire.AppendVarint(b, uint64(math.Round(refused*quotaScale)))
}

// consumeQuota decodes the rates of an account. Like the functions of protowire it
// returns a negative length if the encoding is invalid.
func consumeQuota(b []byte) (quota.Rates, int) {
	var values [2]uint64
	length := consumeVarints(b, values[:])
	if length < 0 {
		return quota.Rates{}, length
	}
	demand, refused := float64(values[0]), float64(values[1])
	return quota.Rates{Demand: demand / quotaScale, Admitted: (demand - refused) / quotaScale}, length
}

// consumeVarints decodes as many varints as there are values. It returns their length,
// which is negative if the encoding is invalid.
func consumeVarints(b []byte, values []uint64) int {
	length := 0
	for i := range values {
		v, n := protowire.ConsumeVarint(b[length:])
		if n < 0 {
			return n
		}
		values[i], length = v, length+n
	}
	return length
}

// appendPairs packs the entries of a map into one field. An empty map is
// omitted.
func appendPairs[K comparable, V any](b []byte, field protowire.Number, pairs map[K]V, pack func([]byte, K, V) []byte) []byte {
	if len(pairs) == 0 {
		return b
	}
	var packed []byte
	for k, v := range pairs {
		packed = pack(packed, k, v)
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, packed)
}

var errMalformedMessage = errors.New("malformed gossip message")

// Parse decodes a message. Unknown fields are skipped.
func Parse(b []byte) (*Message, error) {
	m := &Message{Report: balance.Report{InFlight: map[uint32]int{}, CallerRates: map[uint32]float64{},
		FailureEvidence: map[uint32]int{}, Limits: map[uint32]balance.LimitStatement{}}}
	if err := eachField(b, m.setNumber, m.setBytes); err != nil {
		return nil, err
	}
	if m.Name == "" {
		return nil, errMalformedMessage
	}
	return m, nil
}

// eachField calls a function for each varint or bytes field. Fields of other
// wire types are skipped.
func eachField(b []byte, setNumber func(protowire.Number, uint64), setBytes func(protowire.Number, []byte) bool) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("%w: %w", errMalformedMessage, protowire.ParseError(n))
		}
		b = b[n:]
		switch kind {
		case protowire.VarintType:
			var v uint64
			if v, n = protowire.ConsumeVarint(b); n >= 0 {
				setNumber(field, v)
			}
		case protowire.BytesType:
			var v []byte
			if v, n = protowire.ConsumeBytes(b); n >= 0 && !setBytes(field, v) {
				return errMalformedMessage
			}
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return fmt.Errorf("%w: %w", errMalformedMessage, protowire.ParseError(n))
		}
		b = b[n:]
	}
	return nil
}

func (m *Member) setNumber(field protowire.Number, v uint64) {
	switch field {
	case fieldReady:
		m.Ready = protowire.DecodeBool(v)
	case fieldLeaving:
		m.Leaving = protowire.DecodeBool(v)
	}
}

func (m *Member) setBytes(field protowire.Number, v []byte) bool {
	switch field {
	case fieldName:
		m.Name = string(v)
	case fieldAddress:
		m.Address = string(v)
	case fieldPeerAddress:
		m.PeerAddress = string(v)
	}
	return true
}

func (m *Message) setNumber(field protowire.Number, v uint64) {
	switch field {
	case fieldIncarnation:
		m.Incarnation = v
	case fieldSequence:
		m.Sequence = v
	case fieldReady:
		m.Ready = protowire.DecodeBool(v)
	case fieldLeaving:
		m.Leaving = protowire.DecodeBool(v)
	case fieldRevision:
		m.Revision = v
	case fieldEra:
		m.Era = v
	case fieldSent:
		m.Sent = v
	case fieldEcho:
		m.Echo = v
	case fieldStoreReachable:
		m.StoreReachable = protowire.DecodeBool(v)
	case fieldForwarded:
		m.Forwarded = protowire.DecodeBool(v)
	case fieldRoundTrip:
		m.RoundTrip = v
	case fieldCapacity:
		m.Capacity = v
	case fieldHello:
		m.Hello = protowire.DecodeBool(v)
	case fieldIntroduction:
		m.Introduction = protowire.DecodeBool(v)
	}
}

func (m *Message) setBytes(field protowire.Number, v []byte) bool {
	switch field {
	case fieldName:
		m.Name = string(v)
	case fieldDomain:
		m.Domain = string(v)
	case fieldAddress:
		m.Address = string(v)
	case fieldPeerAddress:
		m.PeerAddress = string(v)
	case fieldMember:
		var member Member
		if eachField(v, member.setNumber, member.setBytes) != nil || member.Name == "" {
			return false
		}
		m.Members = append(m.Members, member)
	case fieldSuspects:
		m.Suspects = map[uint64]balance.Suspicion{}
		return eachPair(v, protowire.ConsumeFixed64, consumeSuspicion, func(fingerprint uint64, suspicion balance.Suspicion) {
			m.Suspects[fingerprint] = suspicion
		})
	case fieldQuotas:
		m.Quotas = quota.Report{}
		return eachPair(v, protowire.ConsumeFixed32, consumeQuota, func(hash uint32, rates quota.Rates) {
			m.take(rates.Demand <= maxRate && rates.Admitted >= 0, func() { m.Quotas[hash] = rates })
		})
	case fieldInFlight:
		return m.readCounts(v, m.Report.InFlight)
	case fieldFailing:
		return m.readCounts(v, m.Report.FailureEvidence)
	case fieldLimits:
		return eachPair(v, protowire.ConsumeFixed32, consumeLimit, func(hash uint32, statement balance.LimitStatement) {
			m.take(isRate(statement.PerSecond), func() { m.Report.Limits[hash] = statement })
		})
	case fieldRankDemand:
		m.Report.RankDemand = map[balance.RankKey]balance.RankDemand{}
		return eachPair(v, consumeRankKey, consumeRankDemand, func(key balance.RankKey, demand balance.RankDemand) {
			m.take(isRate(demand.PerSecond), func() { m.Report.RankDemand[key] = demand })
		})
	case fieldCapacities:
		m.Report.Capacities = map[uint32]balance.CapacityEvidence{}
		return eachPair(v, protowire.ConsumeFixed32, consumeCapacity, func(hash uint32, evidence balance.CapacityEvidence) {
			m.Report.Capacities[hash] = evidence
		})
	case fieldRates:
		return eachPair(v, protowire.ConsumeFixed32, protowire.ConsumeFixed32, func(hash, bits uint32) {
			rate := float64(math.Float32frombits(bits))
			m.take(isRate(rate), func() { m.Report.CallerRates[hash] = rate })
		})
	}
	return true
}

// isRate reports whether a decoded number is a valid rate. It is false for NaN.
func isRate(perSecond float64) bool { return perSecond >= 0 && perSecond <= maxRate }

// take stores an item of the message, or counts it as dropped.
func (m *Message) take(valid bool, store func()) {
	if !valid {
		m.Dropped++
		return
	}
	store()
}

// readCounts decodes packed pairs of target hash and count.
func (m *Message) readCounts(b []byte, into map[uint32]int) bool {
	return eachPair(b, protowire.ConsumeFixed32, protowire.ConsumeVarint, func(hash uint32, n uint64) {
		m.take(n <= maxCount, func() { into[hash] = int(n) })
	})
}

// eachPair calls take for each of the packed pairs. It reports whether all of them
// could be decoded.
func eachPair[K, V any](b []byte, key func([]byte) (K, int), value func([]byte) (V, int), take func(K, V)) bool {
	for len(b) > 0 {
		k, n := key(b)
		if n < 0 {
			return false
		}
		b = b[n:]
		v, n := value(b)
		if n < 0 {
			return false
		}
		b = b[n:]
		take(k, v)
	}
	return true
}
