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
	r, err := New(self, start)
	require.NoError(t, err)
	return r
}

func newTestKey(issuer Issuer, epoch uint64, suffix string) Key {
	return Key{Prefix: Prefix{Issuer: issuer, Epoch: epoch}, Suffix: suffix}
}

func executedResult(body string) Result {
	return Result{Executed: outcome.Yes, Status: 201, Reason: outcome.ReasonResponded, ContentType: "text/plain", Body: []byte(body)}
}

// Guards against two texts that name one key, and against keys whose parts
// are read differently at another instance.
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

// Guards against an instance name that would move the borders of a key.
func TestNewRefusesNamesThatCannotBePartOfAKey(t *testing.T) {
	for _, name := range []string{"", "a.1", "a 1"} {
		_, err := New(Issuer{Instance: name}, start)
		var problem *InstanceNameError
		assert.ErrorAs(t, err, &problem, name)
	}
}

// Guards against a second execution after each result of the first.
func TestBeginWithSameKeyAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		finish *Result
		repeat Fingerprint
		want   Verdict
	}{
		{"in flight", nil, fingerprint, Wait},
		{"in flight, other content", nil, otherFingerprint, RefuseKeyReused},
		{"answered", &Result{Executed: outcome.Yes, Status: 200}, fingerprint, Replay},
		{"answered, other content", &Result{Executed: outcome.Yes, Status: 200}, otherFingerprint, RefuseKeyReused},
		{"unknown", &Result{Executed: outcome.Unknown}, fingerprint, Replay},
		{"not executed", &Result{Executed: outcome.No}, fingerprint, Run},
		{"not executed, other content", &Result{Executed: outcome.No}, otherFingerprint, Run},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRegistry(t, issuerA)
			d := r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint)
			require.Equal(t, Run, d.Verdict)
			if c.finish != nil {
				d.Ticket.Finish(*c.finish)
			}
			again := r.Begin(start, newTestKey(issuerA, 0, "k"), c.repeat)
			assert.Equal(t, c.want, again.Verdict, again.Verdict)
			assert.Equal(t, c.want == Run, again.Ticket != nil)
		})
	}
}

// Guards against a replay that differs from the first answer, and against a
// record that keeps an unbounded body.
func TestReplay(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	r.Begin(start, newTestKey(issuerA, 0, "short"), fingerprint).Ticket.Finish(executedResult("seat 7"))
	r.Begin(start, newTestKey(issuerA, 0, "long"), fingerprint).Ticket.Finish(executedResult(strings.Repeat("x", MaxBodyBytes+1)))

	short := r.Begin(start, newTestKey(issuerA, 0, "short"), fingerprint)
	assert.Equal(t, executedResult("seat 7"), short.Result)
	long := r.Begin(start, newTestKey(issuerA, 0, "long"), fingerprint)
	assert.True(t, long.Result.BodyDropped)
	assert.Empty(t, long.Result.Body)
	assert.Equal(t, 201, long.Result.Status)
}

// Guards against a waiting retry that is not woken, and against a ticket whose
// second call overwrites the result.
func TestFinishWakesWaitersAndTakesEffectOnce(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	ticket := r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket
	waiting := r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint)
	select {
	case <-waiting.Done:
		t.Fatal("the first request is still in flight")
	default:
	}
	ticket.Finish(executedResult("one"))
	<-waiting.Done
	ticket.Finish(Result{Executed: outcome.No})
	again := r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint)
	assert.Equal(t, Replay, again.Verdict)
	assert.Equal(t, "one", string(again.Result.Body))
}

// Guards against a late Finish of a dropped ticket that removes the record of
// a newer execution.
func TestLateFinishDoesNotRemoveNewerRecord(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	old := r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket
	old.Finish(Result{Executed: outcome.No})
	newer := r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint)
	require.Equal(t, Run, newer.Verdict)
	old.Finish(Result{Executed: outcome.No})
	assert.Equal(t, Wait, r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
	assert.Equal(t, 1, r.Len())
}

// Guards against execution by an instance that is not the key's authority, and
// against "not executed" for a key that an earlier incarnation may have run.
func TestOnlyIssuerExecutesKey(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	earlier := Issuer{Instance: issuerA.Instance, Incarnation: issuerA.Incarnation - 1}
	later := Issuer{Instance: issuerA.Instance, Incarnation: issuerA.Incarnation + 1}
	for _, c := range []struct {
		name     string
		key      Key
		want     Verdict
		executed outcome.Executed
	}{
		{"own", newTestKey(issuerA, 0, "k"), Run, ""},
		{"other instance", newTestKey(issuerB, 0, "k"), Foreign, ""},
		{"earlier incarnation", newTestKey(earlier, 0, "k"), RefuseIssuerGone, outcome.Unknown},
		{"later incarnation", newTestKey(later, 0, "k"), RefuseIssuerGone, outcome.Unknown},
		{"epoch in the future", newTestKey(issuerA, 1, "k"), RefuseKeyUnknown, outcome.No},
		{"largest epoch", newTestKey(issuerA, ^uint64(0), "k"), RefuseKeyUnknown, outcome.No},
	} {
		d := r.Begin(start, c.key, fingerprint)
		assert.Equal(t, c.want, d.Verdict, c.name)
		o, refused := d.Verdict.Refusal()
		assert.Equal(t, c.executed != "", refused, c.name)
		assert.Equal(t, c.executed, o.Executed, c.name)
	}
}

// Guards against a record that is dropped while its key is still accepted.
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
		r := newTestRegistry(t, issuerA)
		r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket.Finish(executedResult("x"))
		assert.Equal(t, c.want, r.Begin(c.now, newTestKey(issuerA, 0, "k"), fingerprint).Verdict, c.name)
		assert.Equal(t, c.want == Replay, r.Len() == 1, c.name)
	}
}

// Guards against a clock that steps back and makes an expired key, whose
// record is gone, acceptable again.
func TestClockStepsBack(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Ticket.Finish(executedResult("x"))
	_, ok := r.Prefix(start.Add(EpochLength + Retention))
	require.True(t, ok)
	assert.Equal(t, RefuseKeyExpired, r.Begin(start, newTestKey(issuerA, 0, "k"), fingerprint).Verdict)
}

func TestPrefixFollowsEpochs(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{0, "a-1.2s.0"}, {EpochLength - 1, "a-1.2s.0"}, {EpochLength, "a-1.2s.1"}, {36 * EpochLength, "a-1.2s.10"}} {
		p, ok := r.Prefix(start.Add(c.after))
		require.True(t, ok)
		assert.Equal(t, c.want, p.String())
	}
}

// Guards against unbounded memory, and against a full registry that forgets a
// key in order to take another.
func TestFullRegistryRefusesNewKeys(t *testing.T) {
	r := newTestRegistry(t, issuerA)
	for i := range MaxRecords {
		d := r.Begin(start, newTestKey(issuerA, 0, fmt.Sprint(i)), fingerprint)
		require.Equal(t, Run, d.Verdict)
		d.Ticket.Finish(executedResult(""))
	}
	assert.Equal(t, RefuseRecordsFull, r.Begin(start, newTestKey(issuerA, 0, "one more"), fingerprint).Verdict)
	assert.Equal(t, Replay, r.Begin(start, newTestKey(issuerA, 0, "0"), fingerprint).Verdict)
	later := start.Add(EpochLength + Retention)
	assert.Equal(t, Run, r.Begin(later, newTestKey(issuerA, 11, "one more"), fingerprint).Verdict)
	assert.Equal(t, 1, r.Len())
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
