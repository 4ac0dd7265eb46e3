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

// testTargets returns the targets t-0 to t-5 of one domain.
func testTargets() []Target {
	var targets []Target
	for i := range 6 {
		targets = append(targets, Target{Name: fmt.Sprintf("t-%d", i), Domain: "palermo-a"})
	}
	return targets
}

// testFingerprint returns a fingerprint with the first byte n.
func testFingerprint(n byte) Fingerprint { return Fingerprint{n} }

// startAttempt starts an attempt at the first permitted target. It returns nil if
// no target is permitted.
func startAttempt(t *testing.T, guard *Guard, now time.Time, fingerprint Fingerprint) *Attempt {
	t.Helper()
	decision := guard.Check(now, fingerprint, testTargets())
	for _, target := range testTargets() {
		if decision.Allows(target.Name) {
			attempt := guard.StartAttempt(now, fingerprint, testService, target.Name, testTargets())
			require.NotNil(t, attempt)
			return attempt
		}
	}
	return nil
}

// Guards against identical requests with different fingerprints, and against
// different requests with the same fingerprint because the ends of their fields
// are not marked.
func TestFingerprint(t *testing.T) {
	base := Request{Destination: "s", Method: "POST", URI: "/a?b=c", Body: []byte("body"), BodyLength: 4}
	changed := func(change func(*Request)) Fingerprint {
		r := base
		change(&r)
		return r.Fingerprint()
	}
	assert.Equal(t, base.Fingerprint(), changed(func(*Request) {}))
	for name, change := range map[string]func(*Request){
		"destination":    func(r *Request) { r.Destination = "t" },
		"method":         func(r *Request) { r.Method = "PUT" },
		"query":          func(r *Request) { r.URI = "/a?b=d" },
		"body":           func(r *Request) { r.Body = []byte("bodx") },
		"length":         func(r *Request) { r.BodyLength = -1 },
		"field boundary": func(r *Request) { r.Destination, r.Method = "sP", "OST" },
	} {
		assert.NotEqual(t, base.Fingerprint(), changed(change), name)
	}
	long := append(make([]byte, MaxFingerprintBodyBytes), 'x')
	other := append(make([]byte, MaxFingerprintBodyBytes), 'y')
	assert.Equal(t, changed(func(r *Request) { r.Body = long }), changed(func(r *Request) { r.Body = other }),
		"only the first 64 KB of a body are covered")
}

// Guards against instances that choose different candidates for a fingerprint, and
// against a choice that prefers some targets to others.
func TestCandidates(t *testing.T) {
	targets := testTargets()
	reversed := make([]Target, 0, len(targets))
	for i := range targets {
		reversed = append(reversed, targets[len(targets)-1-i])
	}
	count := map[string]int{}
	for i := range 6000 {
		fingerprint := Fingerprint{byte(i), byte(i >> 8)}
		names := candidates(fingerprint, targets)
		require.Len(t, names, 2)
		require.Equal(t, names, candidates(fingerprint, reversed))
		for name := range names {
			count[name]++
		}
	}
	for _, target := range targets {
		assert.InDelta(t, 2000, count[target.Name], 200, target.Name)
	}
}

// Guards against candidates that change although they stay in the list, when
// another target is removed from it.
func TestCandidatesAfterListChanges(t *testing.T) {
	for i := range 500 {
		fingerprint := Fingerprint{byte(i), byte(i >> 8)}
		before := candidates(fingerprint, testTargets())
		for _, removed := range testTargets() {
			var remaining []Target
			for _, target := range testTargets() {
				if target.Name != removed.Name {
					remaining = append(remaining, target)
				}
			}
			after := candidates(fingerprint, remaining)
			for name := range before {
				assert.True(t, after[name] || name == removed.Name)
			}
		}
	}
}

// Guards against several crashed targets when identical requests that crash them
// are sent at the same time.
func TestIdenticalUnprovenRequestsGoToSameTarget(t *testing.T) {
	guard := New()
	first := startAttempt(t, guard, start, testFingerprint(1))
	for range 20 {
		again := startAttempt(t, guard, start, testFingerprint(1))
		require.NotNil(t, again)
		assert.Equal(t, first.target, again.target)
	}
}

func TestProvenMayGoToAnyTarget(t *testing.T) {
	guard := New()
	assert.Nil(t, guard.RecordSuccess(start, startAttempt(t, guard, start, testFingerprint(1))))
	assert.True(t, guard.Check(start.Add(ProvenTTL-1), testFingerprint(1), testTargets()).AnyTarget)
	assert.False(t, guard.Check(start.Add(ProvenTTL), testFingerprint(1), testTargets()).AnyTarget)
}

// Guards against a crash of a third target, against a quarantine that is too short
// and against one that never ends.
func TestQuarantineDoubles(t *testing.T) {
	guard := New()
	first := startAttempt(t, guard, start, testFingerprint(1))
	reports := guard.RecordCrash(start, first)
	require.Len(t, reports, 1)
	assert.Zero(t, reports[0].RemainingQuarantine)

	second := startAttempt(t, guard, start, testFingerprint(1))
	require.NotEqual(t, first.target, second.target, "a suspect request goes to a target that has not crashed")
	assert.Equal(t, Wait, guard.Check(start, testFingerprint(1), testTargets()).Verdict, "a suspect request runs alone")
	reports = guard.RecordCrash(start, second)
	require.Len(t, reports, 1)
	assert.Equal(t, InitialQuarantine, reports[0].RemainingQuarantine)

	now := start
	for _, length := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
		length *= time.Minute
		assert.Equal(t, Refuse, guard.Check(now.Add(length-1), testFingerprint(1), testTargets()).Verdict)
		now = now.Add(length)
		trial := startAttempt(t, guard, now, testFingerprint(1))
		require.NotNil(t, trial, length)
		assert.Contains(t, []string{first.target, second.target}, trial.target)
		assert.Equal(t, Wait, guard.Check(now, testFingerprint(1), testTargets()).Verdict, "one trial at a time")
		guard.RecordCrash(now, trial)
	}
}

func TestSuccessfulTrialEndsSuspicion(t *testing.T) {
	guard := New()
	guard.RecordCrash(start, startAttempt(t, guard, start, testFingerprint(1)))
	guard.RecordCrash(start, startAttempt(t, guard, start, testFingerprint(1)))
	now := start.Add(InitialQuarantine)
	reports := guard.RecordSuccess(now, startAttempt(t, guard, now, testFingerprint(1)))
	require.Len(t, reports, 1)
	assert.True(t, reports[0].Cleared)
	assert.True(t, guard.Check(now, testFingerprint(1), testTargets()).AnyTarget)
	assert.Empty(t, guard.QuarantineReports(now, 10))
}

// Guards against harmless requests that are refused because they were in flight at
// a target when another request crashed it.
func TestHarmlessRequestsInFlightAtCrash(t *testing.T) {
	guard := New()
	guard.RecordSuccess(start, startAttempt(t, guard, start, testFingerprint(2)))
	crashing := startAttempt(t, guard, start, testFingerprint(1))
	proven := guard.StartAttempt(start, testFingerprint(2), testService, crashing.target, testTargets())
	require.NotNil(t, proven)
	var unprovenAttempt *Attempt
	unproven := testFingerprint(3)
	for n := byte(3); unprovenAttempt == nil; n++ {
		unproven = testFingerprint(n)
		unprovenAttempt = guard.StartAttempt(start, unproven, testService, crashing.target, testTargets())
	}
	reports := guard.RecordCrash(start, unprovenAttempt)
	assert.Len(t, reports, 2, "the proven request is not suspect")
	assert.Nil(t, guard.RecordCrash(start, crashing), "the same crash counts once")
	assert.False(t, guard.Check(start, testFingerprint(2), testTargets()).AnyTarget, "after a crash the request is no longer proven")
	assert.Equal(t, Proceed, guard.Check(start, testFingerprint(2), testTargets()).Verdict)

	guard.RecordSuccess(start, startAttempt(t, guard, start, unproven))
	assert.True(t, guard.Check(start, unproven, testTargets()).AnyTarget, "one success ends the suspicion")
}

// Guards against a complete response that is ignored because another connection to
// the same target was reset.
func TestSuccessAfterResetOfAnotherConnection(t *testing.T) {
	guard := New()
	reset := startAttempt(t, guard, start, testFingerprint(1))
	succeeding := startAttempt(t, guard, start, testFingerprint(1))
	guard.RecordCrash(start, reset)
	require.Len(t, guard.RecordSuccess(start, succeeding), 1)
	assert.True(t, guard.Check(start, testFingerprint(1), testTargets()).AnyTarget)
}

func TestReceiveReport(t *testing.T) {
	suspect := Report{Fingerprint: testFingerprint(1), Service: testService, Target: "t-1"}
	second := Report{Fingerprint: testFingerprint(1), Service: testService, Target: "t-2"}
	quarantined := Report{Fingerprint: testFingerprint(1), Service: testService, Target: "t-1", RemainingQuarantine: 4 * time.Minute}
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
		{"quarantine", []Report{quarantined}, Refuse, 4 * time.Minute},
		{"shorter quarantine after a longer one", []Report{quarantined, second}, Refuse, 4 * time.Minute},
		{"cleared", []Report{suspect, second, cleared}, Proceed, 0},
		{"cleared, unknown fingerprint", []Report{cleared}, Proceed, 0},
		{"longer than permitted", []Report{{Fingerprint: testFingerprint(1), Target: "t-1", RemainingQuarantine: 1000 * time.Hour}}, Refuse, MaxQuarantine},
	} {
		guard := New()
		for _, r := range c.reports {
			guard.ReceiveReport(start, r)
		}
		decision := guard.Check(start, testFingerprint(1), testTargets())
		assert.Equal(t, c.verdict, decision.Verdict, c.name)
		assert.Equal(t, c.remaining, decision.RemainingQuarantine, c.name)
	}
}

// Guards against a waiting request that is not woken.
func TestWaitEndsWithAttempt(t *testing.T) {
	for name, end := range map[string]func(*Guard, *Attempt){
		"ended":     func(guard *Guard, attempt *Attempt) { guard.EndAttempt(attempt) },
		"succeeded": func(guard *Guard, attempt *Attempt) { guard.RecordSuccess(start, attempt) },
		"crashed":   func(guard *Guard, attempt *Attempt) { guard.RecordCrash(start, attempt) },
	} {
		guard := New()
		guard.RecordCrash(start, startAttempt(t, guard, start, testFingerprint(1)))
		attempt := startAttempt(t, guard, start, testFingerprint(1))
		decision := guard.Check(start, testFingerprint(1), testTargets())
		require.Equal(t, Wait, decision.Verdict, name)
		end(guard, attempt)
		select {
		case <-decision.Changed:
		default:
			t.Errorf("%s: the waiting request is not woken", name)
		}
	}
}

// Guards against memory that grows with the number of different requests, and
// against suspect fingerprints that are dropped because many requests succeed.
func TestBoundedMemory(t *testing.T) {
	guard := New()
	guard.RecordCrash(start, startAttempt(t, guard, start, Fingerprint{0, 0, 0, 1}))
	for i := range maxProven + 100 {
		guard.RecordSuccess(start, startAttempt(t, guard, start, Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}))
	}
	assert.Len(t, guard.proven.elements, maxProven)
	assert.Equal(t, maxProven, guard.proven.order.Len())
	assert.NotNil(t, guard.suspects.get(Fingerprint{0, 0, 0, 1}))
	for i := range maxSuspect + 100 {
		guard.ReceiveReport(start, Report{Fingerprint: Fingerprint{1, 1, 1, 1, byte(i), byte(i >> 8)}, Target: "t-1"})
	}
	assert.Len(t, guard.suspects.elements, maxSuspect)
	assert.Empty(t, guard.inFlight)
	assert.Empty(t, guard.attemptsByTarget)
}
