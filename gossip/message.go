package gossip

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jacinthstall/jacinthstall/balance"
)

// Message is what an instance tells a peer.
type Message struct {
	Name        string
	Domain      string // Empty in short messages, like the addresses.
	Address     string // For callers, ip:port.
	PeerAddress string // ip:port, for messages and calls.
	Incarnation uint64
	Sequence    uint64 // Rises with each message of an incarnation.
	Ready       bool   // Takes requests.
	Leaving     bool   // Is stopping.
	Revision    uint64 // Of the store, as far as the sender has read it.
	Sent        uint64 // Sender's clock in microseconds.
	Echo        uint64 // Sent of the last message that the sender has from this peer; 0 for none.
	Held        uint64 // Microseconds since that one arrived.
	Report      balance.Report
}

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
	fieldHeld
	fieldInFlight // Fixed32 hash and varint count, packed.
	fieldRates    // Fixed32 hash and float32 rate, packed.
)

// Append encodes a message.
func (m *Message) Append(b []byte) []byte {
	b = appendText(b, fieldName, m.Name)
	b = appendText(b, fieldDomain, m.Domain)
	b = appendText(b, fieldAddress, m.Address)
	b = appendText(b, fieldPeerAddress, m.PeerAddress)
	for _, f := range []struct {
		number protowire.Number
		value  uint64
	}{
		{fieldIncarnation, m.Incarnation}, {fieldSequence, m.Sequence},
		{fieldReady, protowire.EncodeBool(m.Ready)}, {fieldLeaving, protowire.EncodeBool(m.Leaving)},
		{fieldRevision, m.Revision}, {fieldSent, m.Sent}, {fieldEcho, m.Echo}, {fieldHeld, m.Held},
	} {
		if f.value != 0 {
			b = protowire.AppendTag(b, f.number, protowire.VarintType)
			b = protowire.AppendVarint(b, f.value)
		}
	}
	return m.appendReport(b)
}

func appendText(b []byte, number protowire.Number, text string) []byte {
	if text == "" {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendString(b, text)
}

func (m *Message) appendReport(b []byte) []byte {
	if len(m.Report.InFlight) > 0 {
		var packed []byte
		for hash, n := range m.Report.InFlight {
			packed = protowire.AppendFixed32(packed, hash)
			packed = protowire.AppendVarint(packed, uint64(n))
		}
		b = protowire.AppendTag(b, fieldInFlight, protowire.BytesType)
		b = protowire.AppendBytes(b, packed)
	}
	if len(m.Report.Rates) > 0 {
		var packed []byte
		for hash, r := range m.Report.Rates {
			packed = protowire.AppendFixed32(packed, hash)
			packed = protowire.AppendFixed32(packed, math.Float32bits(float32(r)))
		}
		b = protowire.AppendTag(b, fieldRates, protowire.BytesType)
		b = protowire.AppendBytes(b, packed)
	}
	return b
}

var errMessage = errors.New("message cannot be read")

// Parse decodes a message. Unknown fields are skipped.
func Parse(b []byte) (*Message, error) {
	m := &Message{Report: balance.Report{InFlight: map[uint32]int{}, Rates: map[uint32]float64{}}}
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, fmt.Errorf("%w: %w", errMessage, protowire.ParseError(n))
		}
		b = b[n:]
		switch kind {
		case protowire.VarintType:
			var v uint64
			v, n = protowire.ConsumeVarint(b)
			m.setNumber(number, v)
		case protowire.BytesType:
			var v []byte
			v, n = protowire.ConsumeBytes(b)
			if n >= 0 && !m.setBytes(number, v) {
				return nil, errMessage
			}
		default:
			n = protowire.ConsumeFieldValue(number, kind, b)
		}
		if n < 0 {
			return nil, fmt.Errorf("%w: %w", errMessage, protowire.ParseError(n))
		}
		b = b[n:]
	}
	if m.Name == "" {
		return nil, errMessage
	}
	return m, nil
}

func (m *Message) setNumber(number protowire.Number, v uint64) {
	switch number {
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
	case fieldSent:
		m.Sent = v
	case fieldEcho:
		m.Echo = v
	case fieldHeld:
		m.Held = v
	}
}

func (m *Message) setBytes(number protowire.Number, v []byte) bool {
	switch number {
	case fieldName:
		m.Name = string(v)
	case fieldDomain:
		m.Domain = string(v)
	case fieldAddress:
		m.Address = string(v)
	case fieldPeerAddress:
		m.PeerAddress = string(v)
	case fieldInFlight:
		return eachPair(v, func(hash uint32, rest []byte) int {
			count, n := protowire.ConsumeVarint(rest)
			m.Report.InFlight[hash] = int(count)
			return n
		})
	case fieldRates:
		return eachPair(v, func(hash uint32, rest []byte) int {
			bits, n := protowire.ConsumeFixed32(rest)
			m.Report.Rates[hash] = float64(math.Float32frombits(bits))
			return n
		})
	}
	return true
}

// eachPair calls take for each hash in packed pairs; take returns the length
// of the value behind it.
func eachPair(b []byte, take func(hash uint32, rest []byte) int) bool {
	for len(b) > 0 {
		hash, n := protowire.ConsumeFixed32(b)
		if n < 0 {
			return false
		}
		b = b[n:]
		if n = take(hash, b); n < 0 {
			return false
		}
		b = b[n:]
	}
	return true
}
