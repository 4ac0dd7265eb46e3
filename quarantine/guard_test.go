package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testService = "enrolment"

// testTargets are t-0 to t-5 in one domain.
func testTargets() []Target {
	var targets []Target
	for i := range 6 {
		targets = append(targets, Target{Name: fmt.Sprintf("t-%d", i), Domain: "palermo-a"})
	}
	return targets
}

func testFingerprint(n byte) Fingerprint { return Fingerprint{n} }

// startAttempt starts a request at some permitted target.
func startAttempt(t *testing.T, g *Guard, now time.Time, f Fingerprint) *Attempt {
	t.Helper()
	d := g.Check(now, f, testTargets())
	for _, target := range testTargets() {
		if d.Allows(target.Name) {
			flight := g.StartAttempt(now, f, testService, target.Name, testTargets())
			require.NotNil(t, flight)
			return flight
		}
	}
	return nil
}

// Guards against identical contents with two fingerprints and against fields
// that run into each other.
func TestFingerprint(t *testing.T) {
	base := Request{Service: "s", Method: "POST", URI: "/a?b=c", Body: []byte("body"), BodyLength: 4}
	changed := func(change func(*Request)) Fingerprint {
		r := base
		change(&r)
		return r.Fingerprint()
	}
	assert.Equal(t, base.Fingerprint(), changed(func(*Request) {}))
	for name, change := range map[string]func(*Request){
		"service": func(r *Request) { r.Service = "t" },
		"method":  func(r *Request) { r.Method = "PUT" },
		"query":   func(r *Request) { r.URI = "/a?b=d" },
		"body":    func(r *Request) { r.Body = []byte("bodx") },
		"length":  func(r *Request) { r.BodyLength = -1 },
		"border":  func(r *Request) { r.Service, r.Method = "sP", "OST" },
	} {
		assert.NotEqual(t, base.Fingerprint(), changed(change), name)
	}
	long := append(make([]byte, MaxFingerprintBodyBytes), 'x')
	other := append(make([]byte, MaxFingerprintBodyBytes), 'y')
	assert.Equal(t, changed(func(r *Request) { r.Body = long }), changed(func(r *Request) { r.Body = other }),
		"a body counts up to its first 64 KB")
}

// Guards against instances that choose different targets for a fingerprint, and
// against a choice that favours some targets.
func TestCandidates(t *testing.T) {
	targets := testTargets()
	reversed := make([]Target, 0, len(targets))
	for i := range targets {
		reversed = append(reversed, targets[len(targets)-1-i])
	}
	count := map[string]int{}
	for i := range 6000 {
		f := Fingerprint{byte(i), byte(i >> 8)}
		names := candidates(f, targets)
		require.Len(t, names, 2)
		require.Equal(t, names, candidates(f, reversed))
		for name := range names {
			count[name]++
		}
	}
	for _, target := range targets {
		assert.InDelta(t, 2000, count[target.Name], 200, target.Name)
	}
}

// Guards against a choice that shifts by more than the change of the list.
func TestCandidatesAfterListChanges(t *testing.T) {
	for i := range 500 {
		f := Fingerprint{byte(i), byte(i >> 8)}
		before := candidates(f, testTargets())
		for _, removed := range testTargets() {
			var rest []Target
			for _, target := range testTargets() {
				if target.Name != removed.Name {
					rest = append(rest, target)
				}
			}
			after := candidates(f, rest)
			for name := range before {
				assert.True(t, after[name] || name == removed.Name)
			}
		}
	}
}

// Guards against a crash that is spread by identical requests sent at once.
func TestIdenticalUnprovenRequestsGoToSameTarget(t *testing.T) {
	g := New()
	flight := startAttempt(t, g, start, testFingerprint(1))
	for range 20 {
		again := startAttempt(t, g, start, testFingerprint(1))
		require.NotNil(t, again)
		assert.Equal(t, flight.target, again.target)
	}
}

func TestProvenMayGoToAnyTarget(t *testing.T) {
	g := New()
	assert.Nil(t, g.RecordSuccess(start, startAttempt(t, g, start, testFingerprint(1))))
	assert.True(t, g.Check(start.Add(ProvenTTL-1), testFingerprint(1), testTargets()).AnyTarget)
	assert.False(t, g.Check(start.Add(ProvenTTL), testFingerprint(1), testTargets()).AnyTarget)
}

// Guards against a third crash, a quarantine that is too short, and one that
// never ends.
func TestQuarantineDoubles(t *testing.T) {
	g := New()
	first := startAttempt(t, g, start, testFingerprint(1))
	reports := g.RecordCrash(start, first)
	require.Len(t, reports, 1)
	assert.Zero(t, reports[0].RemainingQuarantine)

	second := startAttempt(t, g, start, testFingerprint(1))
	require.NotEqual(t, first.target, second.target, "a suspect request goes to a further target")
	assert.Equal(t, Wait, g.Check(start, testFingerprint(1), testTargets()).Verdict, "a suspect request runs alone")
	reports = g.RecordCrash(start, second)
	require.Len(t, reports, 1)
	assert.Equal(t, InitialQuarantine, reports[0].RemainingQuarantine)

	now := start
	for _, length := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
		length *= time.Minute
		assert.Equal(t, Refuse, g.Check(now.Add(length-1), testFingerprint(1), testTargets()).Verdict)
		now = now.Add(length)
		trial := startAttempt(t, g, now, testFingerprint(1))
		require.NotNil(t, trial, length)
		assert.Contains(t, []string{first.target, second.target}, trial.target)
		assert.Equal(t, Wait, g.Check(now, testFingerprint(1), testTargets()).Verdict, "one trial at a time")
		g.RecordCrash(now, trial)
	}
}

func TestSuccessfulTrialEndsSuspicion(t *testing.T) {
	g := New()
	g.RecordCrash(start, startAttempt(t, g, start, testFingerprint(1)))
	g.RecordCrash(start, startAttempt(t, g, start, testFingerprint(1)))
	now := start.Add(InitialQuarantine)
	reports := g.RecordSuccess(now, startAttempt(t, g, now, testFingerprint(1)))
	require.Len(t, reports, 1)
	assert.True(t, reports[0].Cleared)
	assert.True(t, g.Check(now, testFingerprint(1), testTargets()).AnyTarget)
	assert.Empty(t, g.QuarantineReports(now, 10))
}

// Guards against innocent requests that are refused because they shared a
// target with the one that crashed it.
func TestHarmlessRequestsInFlightAtCrash(t *testing.T) {
	g := New()
	g.RecordSuccess(start, startAttempt(t, g, start, testFingerprint(2)))
	guilty := startAttempt(t, g, start, testFingerprint(1))
	popular := g.StartAttempt(start, testFingerprint(2), testService, guilty.target, testTargets())
	require.NotNil(t, popular)
	var bystander *Attempt
	innocent := testFingerprint(3)
	for n := byte(3); bystander == nil; n++ {
		innocent = testFingerprint(n)
		bystander = g.StartAttempt(start, innocent, testService, guilty.target, testTargets())
	}
	reports := g.RecordCrash(start, bystander)
	assert.Len(t, reports, 2, "the popular request is not suspect")
	assert.Nil(t, g.RecordCrash(start, guilty), "the same crash counts once")
	assert.False(t, g.Check(start, testFingerprint(2), testTargets()).AnyTarget, "a crash uses up the proof")
	assert.Equal(t, Proceed, g.Check(start, testFingerprint(2), testTargets()).Verdict)

	g.RecordSuccess(start, startAttempt(t, g, start, innocent))
	assert.True(t, g.Check(start, innocent, testTargets()).AnyTarget, "one success ends the suspicion")
}

// Guards against a complete answer that is ignored because another connection
// of the same target was reset.
func TestSuccessAfterResetOfAnotherConnection(t *testing.T) {
	g := New()
	one := startAttempt(t, g, start, testFingerprint(1))
	two := startAttempt(t, g, start, testFingerprint(1))
	g.RecordCrash(start, one)
	require.Len(t, g.RecordSuccess(start, two), 1)
	assert.True(t, g.Check(start, testFingerprint(1), testTargets()).AnyTarget)
}

func TestReceiveReport(t *testing.T) {
	suspect := Report{Fingerprint: testFingerprint(1), Service: testService, Target: "t-1"}
	second := Report{Fingerprint: testFingerprint(1), Service: testService, Target: "t-2"}
	isolated := Report{Fingerprint: testFingerprint(1), Service: testService, Target: "t-1", RemainingQuarantine: 4 * time.Minute}
	cleared := Report{Fingerprint: testFingerprint(1), Service: testService, Cleared: true}
	for _, c := range []struct {
		name      string
		reports   []Report
		verdict   Verdict
		remaining time.Duration
	}{
		{"suspect", []Report{suspect}, Proceed, 0},
		{"same target twice", []Report{suspect, suspect, suspect}, Proceed, 0},
		{"two targets", []Report{suspect, second}, Refuse, InitialQuarantine},
		{"quarantine", []Report{isolated}, Refuse, 4 * time.Minute},
		{"shorter quarantine after a longer one", []Report{isolated, second}, Refuse, 4 * time.Minute},
		{"cleared", []Report{suspect, second, cleared}, Proceed, 0},
		{"cleared, not known", []Report{cleared}, Proceed, 0},
		{"longer than permitted", []Report{{Fingerprint: testFingerprint(1), Target: "t-1", RemainingQuarantine: 1000 * time.Hour}}, Refuse, MaxQuarantine},
	} {
		g := New()
		for _, r := range c.reports {
			g.ReceiveReport(start, r)
		}
		d := g.Check(start, testFingerprint(1), testTargets())
		assert.Equal(t, c.verdict, d.Verdict, c.name)
		assert.Equal(t, c.remaining, d.RemainingQuarantine, c.name)
	}
}

// Guards against a waiting request that is not woken.
func TestWaitEndsWithAttempt(t *testing.T) {
	for name, end := range map[string]func(*Guard, *Attempt){
		"ended":     func(g *Guard, f *Attempt) { g.EndAttempt(f) },
		"succeeded": func(g *Guard, f *Attempt) { g.RecordSuccess(start, f) },
		"crashed":   func(g *Guard, f *Attempt) { g.RecordCrash(start, f) },
	} {
		g := New()
		g.RecordCrash(start, startAttempt(t, g, start, testFingerprint(1)))
		flight := startAttempt(t, g, start, testFingerprint(1))
		d := g.Check(start, testFingerprint(1), testTargets())
		require.Equal(t, Wait, d.Verdict, name)
		end(g, flight)
		select {
		case <-d.Changed:
		default:
			t.Errorf("%s: the waiting request is not woken", name)
		}
	}
}

// Guards against memory that grows with the number of different requests, and
// against a flood of reads that pushes out suspicions.
func TestBoundedMemory(t *testing.T) {
	g := New()
	g.RecordCrash(start, startAttempt(t, g, start, Fingerprint{0, 0, 0, 1}))
	for i := range maxProven + 100 {
		g.RecordSuccess(start, startAttempt(t, g, start, Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}))
	}
	assert.Len(t, g.proven.elements, maxProven)
	assert.Equal(t, maxProven, g.proven.order.Len())
	assert.NotNil(t, g.suspects.get(Fingerprint{0, 0, 0, 1}))
	for i := range maxSuspect + 100 {
		g.ReceiveReport(start, Report{Fingerprint: Fingerprint{1, 1, 1, 1, byte(i), byte(i >> 8)}, Target: "t-1"})
	}
	assert.Len(t, g.suspects.elements, maxSuspect)
	assert.Empty(t, g.inFlight)
	assert.Empty(t, g.attemptsByTarget)
}
