package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// newFilledRegistry returns a registry with the records of 150 executed requests,
// one request whose execution is unknown and one in flight, and the ticket of the
// last. The key suffixes of the executed requests are "0" to "149".
func newFilledRegistry(t *testing.T, self Issuer) (*Registry, *Ticket) {
	registry := newTestRegistry(t, self)
	for i := range 150 {
		registry.Begin(start, newTestKey(self, 0, fmt.Sprint(i)), fingerprint).Ticket.Finish(executedResult(fmt.Sprint(i)))
	}
	registry.Begin(start, newTestKey(self, 0, "unknown"), fingerprint).Ticket.Finish(Result{Executed: outcome.Unknown, Reason: outcome.ReasonDeadline})
	return registry, registry.Begin(start, newTestKey(self, 0, "in-flight"), fingerprint).Ticket
}

func acceptAll(t *testing.T, registry *Registry, batches []Batch) {
	t.Helper()
	for _, batch := range batches {
		require.True(t, registry.Accept(start, batch), batch.Sequence)
	}
}

func TestHandOver(t *testing.T) {
	stopped, inFlight := newFilledRegistry(t, issuerA)
	successor := newTestRegistry(t, issuerB)
	batches := stopped.HandOver(start, issuerB)
	require.Len(t, batches, 3)
	acceptAll(t, successor, batches)
	inFlight.Finish(Result{Executed: outcome.No})

	for _, c := range []struct {
		suffix   string
		want     Verdict
		executed outcome.Executed
	}{
		{"0", Replay, outcome.Yes},
		{"149", Replay, outcome.Yes},
		{"unknown", Replay, outcome.Unknown},
		{"in-flight", Replay, outcome.Unknown},
		{"new", Run, ""},
	} {
		decision := successor.Begin(start, newTestKey(issuerA, 0, c.suffix), fingerprint)
		assert.Equal(t, c.want, decision.Verdict, c.suffix)
		assert.Equal(t, c.executed, decision.Result.Executed, c.suffix)
		atStopped := stopped.Begin(start, newTestKey(issuerA, 0, c.suffix), fingerprint)
		assert.Equal(t, HandedOver, atStopped.Verdict, c.suffix)
		assert.Equal(t, issuerB, atStopped.Successor, c.suffix)
	}
	assert.Equal(t, RefuseKeyReused, successor.Begin(start, newTestKey(issuerA, 0, "0"), otherFingerprint).Verdict)
	_, ok := stopped.Prefix(start)
	assert.False(t, ok, "a sealed registry must issue no prefix")
}

// Guards against a successor that permits a second execution because the message
// with the key's record was lost.
func TestLostHandOverMessageIsNotExecuted(t *testing.T) {
	for lost := range 3 {
		stopped, _ := newFilledRegistry(t, issuerA)
		successor := newTestRegistry(t, issuerB)
		for i, batch := range stopped.HandOver(start, issuerB) {
			if i != lost {
				assert.Equal(t, i < lost, successor.Accept(start, batch), "lost %d, batch %d", lost, i)
			}
		}
		for _, suffix := range []string{"0", "149", "new"} {
			key := newTestKey(issuerA, 0, suffix)
			decision := successor.Begin(start, key, fingerprint)
			assert.Contains(t, []Verdict{RefuseIssuerGone, Foreign}, decision.Verdict, "lost %d", lost)
			assert.Equal(t, HandedOver, stopped.Begin(start, key, fingerprint).Verdict)
		}
	}
}

// Guards against two instances that both decide about the same key.
func TestHandOverRefused(t *testing.T) {
	stopped, _ := newFilledRegistry(t, issuerA)
	batches := stopped.HandOver(start, issuerB)
	assert.Empty(t, stopped.HandOver(start, issuerC), "another successor")
	assert.Empty(t, newTestRegistry(t, issuerA).HandOver(start, issuerA), "the registry itself as successor")

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

// Guards against a duplicate of a message that resets records which the successor
// has changed since, or that starts a completed hand-over again.
func TestMessagesDeliveredAgain(t *testing.T) {
	stopped, _ := newFilledRegistry(t, issuerA)
	successor := newTestRegistry(t, issuerB)
	batches := stopped.HandOver(start, issuerB)
	for _, batch := range batches {
		require.True(t, successor.Accept(start, batch))
		require.True(t, successor.Accept(start, batch))
	}
	require.Equal(t, Run, successor.Begin(start, newTestKey(issuerA, 0, "new"), fingerprint).Verdict)
	for _, later := range []time.Time{start, start.Add(Retention * 2), start.Add(time.Hour * 20)} {
		for i, batch := range batches {
			assert.Equal(t, i == len(batches)-1, successor.Accept(later, batch))
		}
		assert.NotEqual(t, Run, successor.Begin(later, newTestKey(issuerA, 0, "new"), fingerprint).Verdict)
		assert.NotEqual(t, Run, successor.Begin(later, newTestKey(issuerA, 0, "0"), fingerprint).Verdict)
	}
}

// Guards against batches that change between two calls of HandOver because
// records expired: the successor would not get the records that move to a batch
// which it has already accepted.
func TestBatchesAreFixed(t *testing.T) {
	registry := newTestRegistry(t, issuerA)
	for i := range 100 {
		registry.Begin(start, newTestKey(issuerA, 0, fmt.Sprint(i)), fingerprint).Ticket.Finish(executedResult(""))
	}
	later := start.Add(EpochLength)
	for i := range 100 {
		registry.Begin(later, newTestKey(issuerA, 1, fmt.Sprint(i)), fingerprint).Ticket.Finish(executedResult(""))
	}
	before := registry.HandOver(later, issuerB)
	after := registry.HandOver(start.Add(EpochLength+Retention), issuerB)
	assert.Equal(t, before, after)
}

// Guards against records that expire earlier at the successor than at the issuer.
func TestExpiryAtSuccessor(t *testing.T) {
	stopped := newTestRegistry(t, issuerA)
	sealedAt := start.Add(EpochLength + EpochLength/2)
	stopped.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket.Finish(executedResult(""))
	successor := newTestRegistry(t, issuerB)
	for _, batch := range stopped.HandOver(sealedAt, issuerB) {
		require.True(t, successor.Accept(sealedAt, batch))
	}
	issuerExpiry := start.Add(EpochLength + Retention)
	assert.Equal(t, Replay, successor.Begin(issuerExpiry, newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
	assert.Equal(t, RefuseKeyExpired, successor.Begin(sealedAt.Add(EpochLength+Retention), newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
	assert.Equal(t, RefuseKeyUnknown, successor.Begin(issuerExpiry, newTestKey(issuerA, 2, "k"), fingerprint).Verdict, "epoch after the stop")
}

// Guards against a second successor that accepts keys whose records the first
// successor dropped after they had expired.
func TestSecondSuccessorRefusesExpiredKeys(t *testing.T) {
	issuer, firstSuccessor, secondSuccessor := newTestRegistry(t, issuerA), newTestRegistry(t, issuerB), newTestRegistry(t, issuerC)
	issuer.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket.Finish(executedResult(""))
	acceptAll(t, firstSuccessor, issuer.HandOver(start, issuerB))
	later := start.Add(2 * (EpochLength + Retention))
	for _, batch := range firstSuccessor.HandOver(later, issuerC) {
		require.True(t, secondSuccessor.Accept(later, batch))
	}
	assert.Equal(t, RefuseKeyExpired, secondSuccessor.Begin(later, newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
}

// Guards against records that are lost when the successor stops, too, and hands
// over the records that it received.
func TestHandOverOfReceivedRecords(t *testing.T) {
	issuer, _ := newFilledRegistry(t, issuerA)
	firstSuccessor, secondSuccessor := newTestRegistry(t, issuerB), newTestRegistry(t, issuerC)
	acceptAll(t, firstSuccessor, issuer.HandOver(start, issuerB))
	firstSuccessor.Begin(start, newTestKey(issuerB, 0, "second"), fingerprint).Ticket.Finish(executedResult("second"))
	acceptAll(t, secondSuccessor, firstSuccessor.HandOver(start, issuerC))
	assert.Equal(t, Replay, secondSuccessor.Begin(start, newTestKey(issuerA, 0, "7"), fingerprint).Verdict)
	assert.Equal(t, Replay, secondSuccessor.Begin(start, newTestKey(issuerB, 0, "second"), fingerprint).Verdict)
	assert.Equal(t, HandedOver, firstSuccessor.Begin(start, newTestKey(issuerA, 0, "7"), fingerprint).Verdict)
}
