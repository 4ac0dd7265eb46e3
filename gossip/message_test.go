package gossip

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthstall/jacinthstall/balance"
)

func message(t *rapid.T) *Message {
	text := rapid.StringN(0, 12, -1)
	m := &Message{
		Name: rapid.StringN(1, 12, -1).Draw(t, "name"), Domain: text.Draw(t, "domain"), Address: text.Draw(t, "address"),
		PeerAddress: text.Draw(t, "peer"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
		Ready: rapid.Bool().Draw(t, "ready"), Leaving: rapid.Bool().Draw(t, "leaving"), InTouch: rapid.Bool().Draw(t, "touch"),
		Revision: rapid.Uint64().Draw(t, "revision"), Sent: rapid.Uint64().Draw(t, "sent"), Relayed: rapid.Bool().Draw(t, "relayed"),
		RoundTrip: rapid.Uint64().Draw(t, "trip"),
		Report: balance.Report{InFlight: rapid.MapOf(rapid.Uint32(), rapid.IntRange(0, 1<<20)).Draw(t, "inFlight"),
			Rates: map[uint32]float64{7: 1.5}},
	}
	if rapid.Bool().Draw(t, "suspects") {
		m.Suspects = map[uint64]int{rapid.Uint64().Draw(t, "fingerprint"): 3}
	}
	for range rapid.IntRange(0, 3).Draw(t, "members") {
		m.Members = append(m.Members, Member{Name: rapid.StringN(1, 5, -1).Draw(t, "member"), Address: text.Draw(t, "a"),
			Ready: rapid.Bool().Draw(t, "r")})
	}
	return m
}

func TestMessagesSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message(t)
		got, err := Parse(m.Append(nil))
		require.NoError(t, err)
		assert.Equal(t, m, got)
	})
}

// Guards against a damaged datagram that ends the process.
func TestDamagedMessagesAreRejectedOrRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := message(t).Append(nil)
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		_, _ = Parse(b[:rapid.IntRange(0, len(b)).Draw(t, "length")])
	})
	_, err := Parse(nil)
	assert.Error(t, err)
}
