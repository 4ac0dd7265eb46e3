package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// newFilledRegistry returns a registry with 150 answered records, one in flight and one
// unknown; the answered keys are named by their number.
func newFilledRegistry(t *testing.T, self Issuer) (*Registry, *Ticket) {
	r := newTestRegistry(t, self)
	for i := range 150 {
		r.Begin(start, newTestKey(self, 0, fmt.Sprint(i)), fingerprint).Ticket.Finish(executedResult(fmt.Sprint(i)))
	}
	r.Begin(start, newTestKey(self, 0, "unknown"), fingerprint).Ticket.Finish(Result{Executed: outcome.Unknown, Reason: outcome.ReasonDeadline})
	return r, r.Begin(start, newTestKey(self, 0, "flying"), fingerprint).Ticket
}

func acceptAll(t *testing.T, r *Registry, batches []Batch) {
	t.Helper()
	for _, b := range batches {
		require.True(t, r.Accept(start, b), b.Sequence)
	}
}

func TestHandOver(t *testing.T) {
	old, flying := newFilledRegistry(t, issuerA)
	successor := newTestRegistry(t, issuerB)
	batches := old.HandOver(start, issuerB)
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
		d := successor.Begin(start, newTestKey(issuerA, 0, c.suffix), fingerprint)
		assert.Equal(t, c.want, d.Verdict, c.suffix)
		assert.Equal(t, c.executed, d.Result.Executed, c.suffix)
		at := old.Begin(start, newTestKey(issuerA, 0, c.suffix), fingerprint)
		assert.Equal(t, HandedOver, at.Verdict, c.suffix)
		assert.Equal(t, issuerB, at.Successor, c.suffix)
	}
	assert.Equal(t, RefuseKeyReused, successor.Begin(start, newTestKey(issuerA, 0, "0"), otherFingerprint).Verdict)
	_, ok := old.Prefix(start)
	assert.False(t, ok, "a sealed registry must issue no prefix")
}

// Guards against a successor that executes a key whose record was in a lost
// message.
func TestLostHandOverMessageIsNotExecuted(t *testing.T) {
	for lost := range 3 {
		old, _ := newFilledRegistry(t, issuerA)
		successor := newTestRegistry(t, issuerB)
		for i, b := range old.HandOver(start, issuerB) {
			if i != lost {
				assert.Equal(t, i < lost, successor.Accept(start, b), "lost %d, batch %d", lost, i)
			}
		}
		for _, suffix := range []string{"0", "149", "new"} {
			key := newTestKey(issuerA, 0, suffix)
			d := successor.Begin(start, key, fingerprint)
			assert.Contains(t, []Verdict{RefuseIssuerGone, Foreign}, d.Verdict, "lost %d", lost)
			assert.Equal(t, HandedOver, old.Begin(start, key, fingerprint).Verdict)
		}
	}
}

// Guards against two authorities for one key.
func TestHandOverRefused(t *testing.T) {
	old, _ := newFilledRegistry(t, issuerA)
	batches := old.HandOver(start, issuerB)
	assert.Empty(t, old.HandOver(start, issuerC), "a second successor")
	assert.Empty(t, newTestRegistry(t, issuerA).HandOver(start, issuerA), "itself")

	restarted := newTestRegistry(t, Issuer{Instance: issuerB.Instance, Incarnation: issuerB.Incarnation + 1})
	assert.False(t, restarted.Accept(start, batches[0]), "another incarnation of the successor")
	sealed := newTestRegistry(t, issuerB)
	sealed.HandOver(start, issuerC)
	assert.False(t, sealed.Accept(start, batches[0]), "a successor that is stopping")

	foreign := batches[0]
	foreign.Records = []Record{{Key: newTestKey(issuerC, 0, "k")}}
	assert.False(t, newTestRegistry(t, issuerB).Accept(start, foreign), "a record of another issuer")
	small, err := newWithLimit(issuerB, start, 70)
	require.NoError(t, err)
	assert.True(t, small.Accept(start, batches[0]))
	assert.False(t, small.Accept(start, batches[1]), "more records than the bound")
}

// Guards against a message delivered twice that restores the state before the
// successor's own executions, or that restarts a complete hand-over.
func TestMessagesDeliveredAgain(t *testing.T) {
	old, _ := newFilledRegistry(t, issuerA)
	successor := newTestRegistry(t, issuerB)
	batches := old.HandOver(start, issuerB)
	for _, b := range batches {
		require.True(t, successor.Accept(start, b))
		require.True(t, successor.Accept(start, b))
	}
	require.Equal(t, Run, successor.Begin(start, newTestKey(issuerA, 0, "new"), fingerprint).Verdict)
	for _, at := range []time.Time{start, start.Add(Retention * 2), start.Add(time.Hour * 20)} {
		for i, b := range batches {
			assert.Equal(t, i == len(batches)-1, successor.Accept(at, b))
		}
		assert.NotEqual(t, Run, successor.Begin(at, newTestKey(issuerA, 0, "new"), fingerprint).Verdict)
		assert.NotEqual(t, Run, successor.Begin(at, newTestKey(issuerA, 0, "0"), fingerprint).Verdict)
	}
}

// Guards against batches that change between two sends because records
// expired: the successor would miss the records that moved to an earlier batch.
func TestBatchesAreFixed(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	for i := range 100 {
		r.Begin(start, newTestKey(issuerA, 0, fmt.Sprint(i)), fingerprint).Ticket.Finish(executedResult(""))
	}
	later := start.Add(EpochLength)
	for i := range 100 {
		r.Begin(later, newTestKey(issuerA, 1, fmt.Sprint(i)), fingerprint).Ticket.Finish(executedResult(""))
	}
	before := r.HandOver(later, issuerB)
	after := r.HandOver(start.Add(EpochLength+Retention), issuerB)
	assert.Equal(t, before, after)
}

// Guards against an expiry at the successor that is earlier than the issuer's.
func TestExpiryAtSuccessor(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	sealedAt := start.Add(EpochLength + EpochLength/2)
	r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket.Finish(executedResult(""))
	successor := newTestRegistry(t, issuerB)
	for _, b := range r.HandOver(sealedAt, issuerB) {
		require.True(t, successor.Accept(sealedAt, b))
	}
	issuerExpiry := start.Add(EpochLength + Retention)
	assert.Equal(t, Replay, successor.Begin(issuerExpiry, newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
	assert.Equal(t, RefuseKeyExpired, successor.Begin(sealedAt.Add(EpochLength+Retention), newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
	assert.Equal(t, RefuseKeyUnknown, successor.Begin(issuerExpiry, newTestKey(issuerA, 2, "k"), fingerprint).Verdict, "epoch after the stop")
}

// Guards against a second successor that accepts keys whose records the first
// one dropped: the issuer's last epoch is long past by then.
func TestSecondSuccessorRefusesExpiredKeys(t *testing.T) {
	a, b, c := newTestRegistry(t, issuerA), newTestRegistry(t, issuerB), newTestRegistry(t, issuerC)
	a.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket.Finish(executedResult(""))
	acceptAll(t, b, a.HandOver(start, issuerB))
	later := start.Add(2 * (EpochLength + Retention))
	for _, batch := range b.HandOver(later, issuerC) {
		require.True(t, c.Accept(later, batch))
	}
	assert.Equal(t, RefuseKeyExpired, c.Begin(later, newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
}

// Guards against records that are lost when instances stop one after another.
func TestHandOverOfReceivedRecords(t *testing.T) {
	a, _ := newFilledRegistry(t, issuerA)
	b, c := newTestRegistry(t, issuerB), newTestRegistry(t, issuerC)
	acceptAll(t, b, a.HandOver(start, issuerB))
	b.Begin(start, newTestKey(issuerB, 0, "own"), fingerprint).Ticket.Finish(executedResult("own"))
	acceptAll(t, c, b.HandOver(start, issuerC))
	assert.Equal(t, Replay, c.Begin(start, newTestKey(issuerA, 0, "7"), fingerprint).Verdict)
	assert.Equal(t, Replay, c.Begin(start, newTestKey(issuerB, 0, "own"), fingerprint).Verdict)
	assert.Equal(t, HandedOver, b.Begin(start, newTestKey(issuerA, 0, "7"), fingerprint).Verdict)
}
