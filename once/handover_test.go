package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// filled returns a registry with 150 answered records, one in flight and one
// unknown; the answered keys are named by their number.
func filled(t *testing.T, self Issuer) (*Registry, *Ticket) {
	r := registry(t, self)
	for i := range 150 {
		r.Begin(start, keyAt(self, 0, fmt.Sprint(i)), first).Ticket.Finish(answered(fmt.Sprint(i)))
	}
	r.Begin(start, keyAt(self, 0, "unknown"), first).Ticket.Finish(Result{Executed: outcome.Unknown, Reason: outcome.ReasonDeadline})
	return r, r.Begin(start, keyAt(self, 0, "flying"), first).Ticket
}

func acceptAll(t *testing.T, r *Registry, batches []Batch) {
	t.Helper()
	for _, b := range batches {
		require.True(t, r.Accept(start, b), b.Sequence)
	}
}

func TestHandOver(t *testing.T) {
	old, flying := filled(t, a1)
	successor := registry(t, b1)
	batches := old.HandOver(start, b1)
	require.Len(t, batches, 3)
	acceptAll(t, successor, batches)
	flying.Finish(Result{Executed: outcome.No})

	for _, c := range []struct {
		suffix   string
		want     Verdict
		executed outcome.Executed
	}{
		{"0", Replay, outcome.Yes},
		{"149", Replay, outcome.Yes},
		{"unknown", Replay, outcome.Unknown},
		{"flying", Replay, outcome.Unknown},
		{"new", Run, ""},
	} {
		d := successor.Begin(start, keyAt(a1, 0, c.suffix), first)
		assert.Equal(t, c.want, d.Verdict, c.suffix)
		assert.Equal(t, c.executed, d.Result.Executed, c.suffix)
		at := old.Begin(start, keyAt(a1, 0, c.suffix), first)
		assert.Equal(t, HandedOver, at.Verdict, c.suffix)
		assert.Equal(t, b1, at.Successor, c.suffix)
	}
	assert.Equal(t, RefuseReused, successor.Begin(start, keyAt(a1, 0, "0"), other).Verdict)
	_, ok := old.Prefix(start)
	assert.False(t, ok, "a sealed registry must issue no prefix")
}

// Guards against a successor that executes a key whose record was in a lost
// message.
func TestLostMessageLeavesUnknown(t *testing.T) {
	for lost := range 3 {
		old, _ := filled(t, a1)
		successor := registry(t, b1)
		for i, b := range old.HandOver(start, b1) {
			if i != lost {
				assert.Equal(t, i < lost, successor.Accept(start, b), "lost %d, batch %d", lost, i)
			}
		}
		for _, suffix := range []string{"0", "149", "new"} {
			key := keyAt(a1, 0, suffix)
			d := successor.Begin(start, key, first)
			assert.Contains(t, []Verdict{RefuseGone, Foreign}, d.Verdict, "lost %d", lost)
			assert.Equal(t, HandedOver, old.Begin(start, key, first).Verdict)
		}
	}
}

// Guards against two authorities for one key.
func TestRefusedHandOvers(t *testing.T) {
	old, _ := filled(t, a1)
	batches := old.HandOver(start, b1)
	assert.Empty(t, old.HandOver(start, c1), "a second successor")
	assert.Empty(t, registry(t, a1).HandOver(start, a1), "itself")

	restarted := registry(t, Issuer{Instance: b1.Instance, Incarnation: b1.Incarnation + 1})
	assert.False(t, restarted.Accept(start, batches[0]), "another incarnation of the successor")
	sealed := registry(t, b1)
	sealed.HandOver(start, c1)
	assert.False(t, sealed.Accept(start, batches[0]), "a successor that is stopping")

	foreign := batches[0]
	foreign.Records = []Record{{Key: keyAt(c1, 0, "k")}}
	assert.False(t, registry(t, b1).Accept(start, foreign), "a record of another issuer")
	small, err := newBounded(b1, start, 70)
	require.NoError(t, err)
	assert.True(t, small.Accept(start, batches[0]))
	assert.False(t, small.Accept(start, batches[1]), "more records than the bound")
}

// Guards against a message delivered twice that restores the state before the
// successor's own executions, or that restarts a complete hand-over.
func TestMessagesDeliveredAgain(t *testing.T) {
	old, _ := filled(t, a1)
	successor := registry(t, b1)
	batches := old.HandOver(start, b1)
	for _, b := range batches {
		require.True(t, successor.Accept(start, b))
		require.True(t, successor.Accept(start, b))
	}
	require.Equal(t, Run, successor.Begin(start, keyAt(a1, 0, "new"), first).Verdict)
	for _, at := range []time.Time{start, start.Add(Retention * 2), start.Add(time.Hour * 20)} {
		for i, b := range batches {
			assert.Equal(t, i == len(batches)-1, successor.Accept(at, b))
		}
		assert.NotEqual(t, Run, successor.Begin(at, keyAt(a1, 0, "new"), first).Verdict)
		assert.NotEqual(t, Run, successor.Begin(at, keyAt(a1, 0, "0"), first).Verdict)
	}
}

// Guards against batches that change between two sends because records
// expired: the successor would miss the records that moved to an earlier batch.
func TestBatchesAreFixed(t *testing.T) {
	r := registry(t, a1)
	for i := range 100 {
		r.Begin(start, keyAt(a1, 0, fmt.Sprint(i)), first).Ticket.Finish(answered(""))
	}
	later := start.Add(EpochLength)
	for i := range 100 {
		r.Begin(later, keyAt(a1, 1, fmt.Sprint(i)), first).Ticket.Finish(answered(""))
	}
	before := r.HandOver(later, b1)
	after := r.HandOver(start.Add(EpochLength+Retention), b1)
	assert.Equal(t, before, after)
}

// Guards against an expiry at the successor that is earlier than the issuer's.
func TestExpiryAtSuccessor(t *testing.T) {
	r := registry(t, a1)
	sealedAt := start.Add(EpochLength + EpochLength/2)
	r.Begin(start, keyAt(a1, 0, "k"), first).Ticket.Finish(answered(""))
	successor := registry(t, b1)
	for _, b := range r.HandOver(sealedAt, b1) {
		require.True(t, successor.Accept(sealedAt, b))
	}
	issuerExpiry := start.Add(EpochLength + Retention)
	assert.Equal(t, Replay, successor.Begin(issuerExpiry, keyAt(a1, 0, "k"), first).Verdict)
	assert.Equal(t, RefuseExpired, successor.Begin(sealedAt.Add(EpochLength+Retention), keyAt(a1, 0, "k"), first).Verdict)
	assert.Equal(t, RefuseUnknown, successor.Begin(issuerExpiry, keyAt(a1, 2, "k"), first).Verdict, "epoch after the stop")
}

// Guards against a second successor that accepts keys whose records the first
// one dropped: the issuer's last epoch is long past by then.
func TestSecondSuccessorRefusesExpiredKeys(t *testing.T) {
	a, b, c := registry(t, a1), registry(t, b1), registry(t, c1)
	a.Begin(start, keyAt(a1, 0, "k"), first).Ticket.Finish(answered(""))
	acceptAll(t, b, a.HandOver(start, b1))
	later := start.Add(2 * (EpochLength + Retention))
	for _, batch := range b.HandOver(later, c1) {
		require.True(t, c.Accept(later, batch))
	}
	assert.Equal(t, RefuseExpired, c.Begin(later, keyAt(a1, 0, "k"), first).Verdict)
}

// Guards against records that are lost when instances stop one after another.
func TestRollingStops(t *testing.T) {
	a, _ := filled(t, a1)
	b, c := registry(t, b1), registry(t, c1)
	acceptAll(t, b, a.HandOver(start, b1))
	b.Begin(start, keyAt(b1, 0, "own"), first).Ticket.Finish(answered("own"))
	acceptAll(t, c, b.HandOver(start, c1))
	assert.Equal(t, Replay, c.Begin(start, keyAt(a1, 0, "7"), first).Verdict)
	assert.Equal(t, Replay, c.Begin(start, keyAt(b1, 0, "own"), first).Verdict)
	assert.Equal(t, HandedOver, b.Begin(start, keyAt(a1, 0, "7"), first).Verdict)
}
