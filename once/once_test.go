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
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a1    = Issuer{Instance: "a-1", Incarnation: 100}
	b1    = Issuer{Instance: "b-1", Incarnation: 200}
	c1    = Issuer{Instance: "c-1", Incarnation: 300}
	first = Fingerprint{1}
	other = Fingerprint{2}
)

func registry(t *testing.T, self Issuer) *Registry {
	t.Helper()
	r, err := New(self, start)
	require.NoError(t, err)
	return r
}

func keyAt(issuer Issuer, epoch uint64, suffix string) Key {
	return Key{Prefix: Prefix{Issuer: issuer, Epoch: epoch}, Suffix: suffix}
}

func answered(body string) Result {
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
		var problem *NameError
		assert.ErrorAs(t, err, &problem, name)
	}
}

// Guards against a second execution after each result of the first.
func TestBeginAfterFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		finish *Result
		repeat Fingerprint
		want   Verdict
	}{
		{"in flight", nil, first, Wait},
		{"in flight, other content", nil, other, RefuseReused},
		{"answered", &Result{Executed: outcome.Yes, Status: 200}, first, Replay},
		{"answered, other content", &Result{Executed: outcome.Yes, Status: 200}, other, RefuseReused},
		{"unknown", &Result{Executed: outcome.Unknown}, first, Replay},
		{"not executed", &Result{Executed: outcome.No}, first, Run},
		{"not executed, other content", &Result{Executed: outcome.No}, other, Run},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry(t, a1)
			d := r.Begin(start, keyAt(a1, 0, "k"), first)
			require.Equal(t, Run, d.Verdict)
			if c.finish != nil {
				d.Ticket.Finish(*c.finish)
			}
			again := r.Begin(start, keyAt(a1, 0, "k"), c.repeat)
			assert.Equal(t, c.want, again.Verdict, again.Verdict)
			assert.Equal(t, c.want == Run, again.Ticket != nil)
		})
	}
}

// Guards against a replay that differs from the first answer, and against a
// record that keeps an unbounded body.
func TestReplay(t *testing.T) {
	r := registry(t, a1)
	r.Begin(start, keyAt(a1, 0, "short"), first).Ticket.Finish(answered("seat 7"))
	r.Begin(start, keyAt(a1, 0, "long"), first).Ticket.Finish(answered(strings.Repeat("x", MaxBodyBytes+1)))

	short := r.Begin(start, keyAt(a1, 0, "short"), first)
	assert.Equal(t, answered("seat 7"), short.Result)
	long := r.Begin(start, keyAt(a1, 0, "long"), first)
	assert.True(t, long.Result.BodyDropped)
	assert.Empty(t, long.Result.Body)
	assert.Equal(t, 201, long.Result.Status)
}

// Guards against a waiting retry that is not woken, and against a ticket whose
// second call overwrites the result.
func TestFinishWakesAndCountsOnce(t *testing.T) {
	r := registry(t, a1)
	ticket := r.Begin(start, keyAt(a1, 0, "k"), first).Ticket
	waiting := r.Begin(start, keyAt(a1, 0, "k"), first)
	select {
	case <-waiting.Done:
		t.Fatal("the first request is still in flight")
	default:
	}
	ticket.Finish(answered("one"))
	<-waiting.Done
	ticket.Finish(Result{Executed: outcome.No})
	again := r.Begin(start, keyAt(a1, 0, "k"), first)
	assert.Equal(t, Replay, again.Verdict)
	assert.Equal(t, "one", string(again.Result.Body))
}

// Guards against a late Finish of a dropped ticket that removes the record of
// a newer execution.
func TestLateFinishDoesNotRemoveNewerRecord(t *testing.T) {
	r := registry(t, a1)
	old := r.Begin(start, keyAt(a1, 0, "k"), first).Ticket
	old.Finish(Result{Executed: outcome.No})
	newer := r.Begin(start, keyAt(a1, 0, "k"), first)
	require.Equal(t, Run, newer.Verdict)
	old.Finish(Result{Executed: outcome.No})
	assert.Equal(t, Wait, r.Begin(start, keyAt(a1, 0, "k"), first).Verdict)
	assert.Equal(t, 1, r.Len())
}

// Guards against execution by an instance that is not the key's authority, and
// against "not executed" for a key that an earlier incarnation may have run.
func TestAuthority(t *testing.T) {
	r := registry(t, a1)
	earlier := Issuer{Instance: a1.Instance, Incarnation: a1.Incarnation - 1}
	later := Issuer{Instance: a1.Instance, Incarnation: a1.Incarnation + 1}
	for _, c := range []struct {
		name     string
		key      Key
		want     Verdict
		executed outcome.Executed
	}{
		{"own", keyAt(a1, 0, "k"), Run, ""},
		{"other instance", keyAt(b1, 0, "k"), Foreign, ""},
		{"earlier incarnation", keyAt(earlier, 0, "k"), RefuseGone, outcome.Unknown},
		{"later incarnation", keyAt(later, 0, "k"), RefuseGone, outcome.Unknown},
		{"epoch in the future", keyAt(a1, 1, "k"), RefuseUnknown, outcome.No},
		{"largest epoch", keyAt(a1, ^uint64(0), "k"), RefuseUnknown, outcome.No},
	} {
		d := r.Begin(start, c.key, first)
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
		{"first moment after", end, RefuseExpired},
		{"long after", end.Add(1000 * time.Hour), RefuseExpired},
	} {
		r := registry(t, a1)
		r.Begin(start, keyAt(a1, 0, "k"), first).Ticket.Finish(answered("x"))
		assert.Equal(t, c.want, r.Begin(c.now, keyAt(a1, 0, "k"), first).Verdict, c.name)
		assert.Equal(t, c.want == Replay, r.Len() == 1, c.name)
	}
}

// Guards against a clock that steps back and makes an expired key, whose
// record is gone, acceptable again.
func TestClockStepsBack(t *testing.T) {
	r := registry(t, a1)
	r.Begin(start, keyAt(a1, 0, "k"), first).Ticket.Finish(answered("x"))
	_, ok := r.Prefix(start.Add(EpochLength + Retention))
	require.True(t, ok)
	assert.Equal(t, RefuseExpired, r.Begin(start, keyAt(a1, 0, "k"), first).Verdict)
}

func TestPrefixFollowsEpochs(t *testing.T) {
	r := registry(t, a1)
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
func TestFull(t *testing.T) {
	r := registry(t, a1)
	for i := range MaxRecords {
		d := r.Begin(start, keyAt(a1, 0, fmt.Sprint(i)), first)
		require.Equal(t, Run, d.Verdict)
		d.Ticket.Finish(answered(""))
	}
	assert.Equal(t, RefuseFull, r.Begin(start, keyAt(a1, 0, "one more"), first).Verdict)
	assert.Equal(t, Replay, r.Begin(start, keyAt(a1, 0, "0"), first).Verdict)
	later := start.Add(EpochLength + Retention)
	assert.Equal(t, Run, r.Begin(later, keyAt(a1, 11, "one more"), first).Verdict)
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
