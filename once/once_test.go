package once

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/outcome"
)

var (
	start            = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	issuerA          = Issuer{Instance: "a-1", Incarnation: 100}
	issuerB          = Issuer{Instance: "b-1", Incarnation: 200}
	issuerC          = Issuer{Instance: "c-1", Incarnation: 300}
	fingerprint      = Fingerprint{1}
	otherFingerprint = Fingerprint{2}
)

func newTestRegistry(t *testing.T, self Issuer) *Registry {
	t.Helper()
	registry, err := New(self, start)
	require.NoError(t, err)
	return registry
}

func newTestKey(issuer Issuer, epoch uint64, suffix string) Key {
	return Key{Prefix: Prefix{Issuer: issuer, Epoch: epoch}, Suffix: suffix}
}

func executedResult(body string) Result {
	return Result{Executed: outcome.Yes, Status: 201, Reason: outcome.ReasonResponded, ContentType: "text/plain", Body: []byte(body)}
}

// Guards against two texts that stand for the same key, and against keys that
// another instance would split into different parts.
func TestParseKey(t *testing.T) {
	for _, c := range []struct {
		text, problem string
	}{
		{"a-1.2s.0.suffix", ""},
		{"a-1.2s.0.suffix.with.dots", ""},
		{"a-1.2S.0.suffix", "canonical"},
		{"a-1.02s.0.suffix", "canonical"},
		{"a-1.+2s.0.suffix", "incarnation"},
		{"a-1.2s.-1.suffix", "epoch"},
		{"a-1.2s.0.", "form"},
		{".2s.0.x", "form"},
		{"a-1.2s.0", "form"},
		{"", "form"},
		{"a-1.2s.0.su ffix", "ASCII"},
		{"a-1.2s.0.su\nffix", "ASCII"},
		{"a-1.zzzzzzzzzzzzzz.0.x", "incarnation"},
		{"a-1.2s.0." + strings.Repeat("x", MaxKeyBytes), "longer"},
	} {
		key, err := ParseKey(c.text)
		if c.problem == "" {
			require.NoError(t, err, c.text)
			assert.Equal(t, c.text, key.String())
			continue
		}
		var problem *KeyError
		require.ErrorAs(t, err, &problem, c.text)
		assert.Contains(t, problem.Problem, c.problem, c.text)
	}
}

// Guards against an instance name that makes the parts of a key ambiguous.
func TestNewRefusesNamesThatCannotBePartOfAKey(t *testing.T) {
	for _, name := range []string{"", "a.1", "a 1"} {
		_, err := New(Issuer{Instance: name}, start)
		var problem *InstanceNameError
		assert.ErrorAs(t, err, &problem, name)
	}
}

// Guards against a second execution for the same key, for each result of the
// first one.
func TestBeginWithSameKeyAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		finish *Result
		repeat Fingerprint
		want   Verdict
	}{
		{"in flight", nil, fingerprint, Wait},
		{"in flight, other content", nil, otherFingerprint, RefuseKeyReused},
		{"executed", &Result{Executed: outcome.Yes, Status: 200}, fingerprint, Replay},
		{"executed, other content", &Result{Executed: outcome.Yes, Status: 200}, otherFingerprint, RefuseKeyReused},
		{"unknown", &Result{Executed: outcome.Unknown}, fingerprint, Replay},
		{"not executed", &Result{Executed: outcome.No}, fingerprint, Run},
		{"not executed, other content", &Result{Executed: outcome.No}, otherFingerprint, Run},
	} {
		t.Run(c.name, func(t *testing.T) {
			registry := newTestRegistry(t, issuerA)
			decision := registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint)
			require.Equal(t, Run, decision.Verdict)
			if c.finish != nil {
				decision.Ticket.Finish(*c.finish)
			}
			again := registry.Begin(start, newTestKey(issuerA, 0, "k"), c.repeat)
			assert.Equal(t, c.want, again.Verdict, again.Verdict)
			assert.Equal(t, c.want == Run, again.Ticket != nil)
		})
	}
}

// Guards against a replay that differs from the first response, and against a
// record that keeps a body of any size.
func TestReplay(t *testing.T) {
	registry := newTestRegistry(t, issuerA)
	registry.Begin(start, newTestKey(issuerA, 0, "short"), fingerprint).Ticket.Finish(executedResult("seat 7"))
	registry.Begin(start, newTestKey(issuerA, 0, "long"), fingerprint).Ticket.Finish(executedResult(strings.Repeat("x", MaxBodyBytes+1)))

	short := registry.Begin(start, newTestKey(issuerA, 0, "short"), fingerprint)
	assert.Equal(t, executedResult("seat 7"), short.Result)
	long := registry.Begin(start, newTestKey(issuerA, 0, "long"), fingerprint)
	assert.True(t, long.Result.BodyDropped)
	assert.Empty(t, long.Result.Body)
	assert.Equal(t, 201, long.Result.Status)
}

// Guards against a waiting retry that is not woken, and against a second call of
// Finish that overwrites the result.
func TestFinishWakesWaitersAndTakesEffectOnce(t *testing.T) {
	registry := newTestRegistry(t, issuerA)
	ticket := registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket
	waiting := registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint)
	select {
	case <-waiting.Done:
		t.Fatal("Done is closed while the first request is in flight")
	default:
	}
	ticket.Finish(executedResult("one"))
	<-waiting.Done
	ticket.Finish(Result{Executed: outcome.No})
	again := registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint)
	assert.Equal(t, Replay, again.Verdict)
	assert.Equal(t, "one", string(again.Result.Body))
}

// Guards against a second call of Finish for an earlier ticket that removes the
// record of a later execution.
func TestLateFinishDoesNotRemoveNewerRecord(t *testing.T) {
	registry := newTestRegistry(t, issuerA)
	first := registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket
	first.Finish(Result{Executed: outcome.No})
	newer := registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint)
	require.Equal(t, Run, newer.Verdict)
	first.Finish(Result{Executed: outcome.No})
	assert.Equal(t, Wait, registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
	assert.Equal(t, 1, registry.Len())
}

// Guards against an execution at an instance that neither issued the key nor is
// the issuer's successor, and against the response "not executed" for a key whose
// request an earlier incarnation may have executed.
func TestOnlyIssuerExecutesKey(t *testing.T) {
	registry := newTestRegistry(t, issuerA)
	earlier := Issuer{Instance: issuerA.Instance, Incarnation: issuerA.Incarnation - 1}
	later := Issuer{Instance: issuerA.Instance, Incarnation: issuerA.Incarnation + 1}
	for _, c := range []struct {
		name     string
		key      Key
		want     Verdict
		executed outcome.Executed
	}{
		{"issued by this incarnation", newTestKey(issuerA, 0, "k"), Run, ""},
		{"issued by a peer", newTestKey(issuerB, 0, "k"), Foreign, ""},
		{"earlier incarnation", newTestKey(earlier, 0, "k"), RefuseIssuerGone, outcome.Unknown},
		{"later incarnation", newTestKey(later, 0, "k"), RefuseIssuerGone, outcome.Unknown},
		{"epoch in the future", newTestKey(issuerA, 1, "k"), RefuseKeyUnknown, outcome.No},
		{"largest epoch", newTestKey(issuerA, ^uint64(0), "k"), RefuseKeyUnknown, outcome.No},
	} {
		decision := registry.Begin(start, c.key, fingerprint)
		assert.Equal(t, c.want, decision.Verdict, c.name)
		refusal, refused := decision.Verdict.Refusal()
		assert.Equal(t, c.executed != "", refused, c.name)
		assert.Equal(t, c.executed, refusal.Executed, c.name)
	}
}

// Guards against a key that is still accepted after its record was dropped.
func TestExpiry(t *testing.T) {
	end := start.Add(EpochLength + Retention)
	for _, c := range []struct {
		name string
		now  time.Time
		want Verdict
	}{
		{"last moment", end.Add(-1), Replay},
		{"first moment after", end, RefuseKeyExpired},
		{"long after", end.Add(1000 * time.Hour), RefuseKeyExpired},
	} {
		registry := newTestRegistry(t, issuerA)
		registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket.Finish(executedResult("x"))
		assert.Equal(t, c.want, registry.Begin(c.now, newTestKey(issuerA, 0, "k"), fingerprint).Verdict, c.name)
		assert.Equal(t, c.want == Replay, registry.Len() == 1, c.name)
	}
}

// Guards against an expired key, whose record was dropped, that is accepted again
// because the clock was set back.
func TestClockStepsBack(t *testing.T) {
	registry := newTestRegistry(t, issuerA)
	registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket.Finish(executedResult("x"))
	_, ok := registry.Prefix(start.Add(EpochLength + Retention))
	require.True(t, ok)
	assert.Equal(t, RefuseKeyExpired, registry.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
}

func TestPrefixFollowsEpochs(t *testing.T) {
	registry := newTestRegistry(t, issuerA)
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{0, "a-1.2s.0"}, {EpochLength - 1, "a-1.2s.0"}, {EpochLength, "a-1.2s.1"}, {36 * EpochLength, "a-1.2s.10"}} {
		prefix, ok := registry.Prefix(start.Add(c.after))
		require.True(t, ok)
		assert.Equal(t, c.want, prefix.String())
	}
}

// Guards against unbounded memory, and against a full registry that drops the
// record of one key to make room for another.
func TestFullRegistryRefusesNewKeys(t *testing.T) {
	registry := newTestRegistry(t, issuerA)
	for i := range MaxRecords {
		decision := registry.Begin(start, newTestKey(issuerA, 0, fmt.Sprint(i)), fingerprint)
		require.Equal(t, Run, decision.Verdict)
		decision.Ticket.Finish(executedResult(""))
	}
	assert.Equal(t, RefuseRecordsFull, registry.Begin(start, newTestKey(issuerA, 0, "one more"), fingerprint).Verdict)
	assert.Equal(t, Replay, registry.Begin(start, newTestKey(issuerA, 0, "0"), fingerprint).Verdict)
	later := start.Add(EpochLength + Retention)
	assert.Equal(t, Run, registry.Begin(later, newTestKey(issuerA, 11, "one more"), fingerprint).Verdict)
	assert.Equal(t, 1, registry.Len())
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"a-1.2s.0.suffix", "a.b.c.d", "....", "a-1.2s.0", "a.00.1.x", "\xff.1.1.1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err == nil && key.String() != text {
			t.Fatalf("%q is read as %q", text, key.String())
		}
	})
}
