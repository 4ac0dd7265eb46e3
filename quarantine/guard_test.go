package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = "enrolment"

// sixTargets are t-0 to t-5 in one domain.
func sixTargets() []Target {
	var targets []Target
	for i := range 6 {
		targets = append(targets, Target{Name: fmt.Sprintf("t-%d", i), Domain: "palermo-a"})
	}
	return targets
}

func print8(n byte) Fingerprint { return Fingerprint{n} }

// send starts a request at some permitted target.
func send(t *testing.T, g *Guard, now time.Time, f Fingerprint) *Flight {
	t.Helper()
	d := g.Check(now, f, sixTargets())
	for _, target := range sixTargets() {
		if d.Allows(target.Name) {
			flight := g.Start(now, f, service, target.Name, sixTargets())
			require.NotNil(t, flight)
			return flight
		}
	}
	return nil
}

// Guards against identical contents with two fingerprints and against fields
// that run into each other.
func TestFingerprint(t *testing.T) {
	base := Request{Service: "s", Method: "POST", URI: "/a?b=c", Body: []byte("body"), Length: 4}
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
		"length":  func(r *Request) { r.Length = -1 },
		"border":  func(r *Request) { r.Service, r.Method = "sP", "OST" },
	} {
		assert.NotEqual(t, base.Fingerprint(), changed(change), name)
	}
	long := append(make([]byte, FingerprintBody), 'x')
	other := append(make([]byte, FingerprintBody), 'y')
	assert.Equal(t, changed(func(r *Request) { r.Body = long }), changed(func(r *Request) { r.Body = other }),
		"a body counts up to its first 64 KB")
}

// Guards against instances that choose different targets for a fingerprint, and
// against a choice that favours some targets.
func TestCandidates(t *testing.T) {
	targets := sixTargets()
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
		before := candidates(f, sixTargets())
		for _, removed := range sixTargets() {
			var rest []Target
			for _, target := range sixTargets() {
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
func TestUnprovenInFlightBindsIdenticalRequests(t *testing.T) {
	g := New()
	flight := send(t, g, start, print8(1))
	for range 20 {
		again := send(t, g, start, print8(1))
		require.NotNil(t, again)
		assert.Equal(t, flight.target, again.target)
	}
}

func TestProvenGoesAnywhere(t *testing.T) {
	g := New()
	assert.Nil(t, g.Succeeded(start, send(t, g, start, print8(1))))
	assert.True(t, g.Check(start.Add(ProofLifetime-1), print8(1), sixTargets()).Any)
	assert.False(t, g.Check(start.Add(ProofLifetime), print8(1), sixTargets()).Any)
}

// Guards against a third crash, a quarantine that is too short, and one that
// never ends.
func TestQuarantineDoubles(t *testing.T) {
	g := New()
	first := send(t, g, start, print8(1))
	reports := g.Crashed(start, first)
	require.Len(t, reports, 1)
	assert.Zero(t, reports[0].Quarantine)

	second := send(t, g, start, print8(1))
	require.NotEqual(t, first.target, second.target, "a suspect request goes to a further target")
	assert.Equal(t, Wait, g.Check(start, print8(1), sixTargets()).Verdict, "a suspect request runs alone")
	reports = g.Crashed(start, second)
	require.Len(t, reports, 1)
	assert.Equal(t, FirstQuarantine, reports[0].Quarantine)

	now := start
	for _, length := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
		length *= time.Minute
		assert.Equal(t, Refuse, g.Check(now.Add(length-1), print8(1), sixTargets()).Verdict)
		now = now.Add(length)
		trial := send(t, g, now, print8(1))
		require.NotNil(t, trial, length)
		assert.Contains(t, []string{first.target, second.target}, trial.target)
		assert.Equal(t, Wait, g.Check(now, print8(1), sixTargets()).Verdict, "one trial at a time")
		g.Crashed(now, trial)
	}
}

func TestSuccessfulTrialClears(t *testing.T) {
	g := New()
	g.Crashed(start, send(t, g, start, print8(1)))
	g.Crashed(start, send(t, g, start, print8(1)))
	now := start.Add(FirstQuarantine)
	reports := g.Succeeded(now, send(t, g, now, print8(1)))
	require.Len(t, reports, 1)
	assert.True(t, reports[0].Cleared)
	assert.True(t, g.Check(now, print8(1), sixTargets()).Any)
	assert.Empty(t, g.Quarantined(now, 10))
}

// Guards against innocent requests that are refused because they shared a
// target with the one that crashed it.
func TestRequestsInFlightAtACrash(t *testing.T) {
	g := New()
	g.Succeeded(start, send(t, g, start, print8(2)))
	guilty := send(t, g, start, print8(1))
	popular := g.Start(start, print8(2), service, guilty.target, sixTargets())
	require.NotNil(t, popular)
	var bystander *Flight
	innocent := print8(3)
	for n := byte(3); bystander == nil; n++ {
		innocent = print8(n)
		bystander = g.Start(start, innocent, service, guilty.target, sixTargets())
	}
	reports := g.Crashed(start, bystander)
	assert.Len(t, reports, 2, "the popular request is not suspect")
	assert.Nil(t, g.Crashed(start, guilty), "the same crash counts once")
	assert.False(t, g.Check(start, print8(2), sixTargets()).Any, "a crash uses up the proof")
	assert.Equal(t, Proceed, g.Check(start, print8(2), sixTargets()).Verdict)

	g.Succeeded(start, send(t, g, start, innocent))
	assert.True(t, g.Check(start, innocent, sixTargets()).Any, "one success ends the suspicion")
}

// Guards against a complete answer that is ignored because another connection
// of the same target was reset.
func TestSuccessAfterResetOfAnotherConnection(t *testing.T) {
	g := New()
	one := send(t, g, start, print8(1))
	two := send(t, g, start, print8(1))
	g.Crashed(start, one)
	require.Len(t, g.Succeeded(start, two), 1)
	assert.True(t, g.Check(start, print8(1), sixTargets()).Any)
}

func TestReceive(t *testing.T) {
	suspect := Report{Fingerprint: print8(1), Service: service, Target: "t-1"}
	second := Report{Fingerprint: print8(1), Service: service, Target: "t-2"}
	isolated := Report{Fingerprint: print8(1), Service: service, Target: "t-1", Quarantine: 4 * time.Minute}
	cleared := Report{Fingerprint: print8(1), Service: service, Cleared: true}
	for _, c := range []struct {
		name      string
		reports   []Report
		verdict   Verdict
		remaining time.Duration
	}{
		{"suspect", []Report{suspect}, Proceed, 0},
		{"same target twice", []Report{suspect, suspect, suspect}, Proceed, 0},
		{"two targets", []Report{suspect, second}, Refuse, FirstQuarantine},
		{"quarantine", []Report{isolated}, Refuse, 4 * time.Minute},
		{"shorter quarantine after a longer one", []Report{isolated, second}, Refuse, 4 * time.Minute},
		{"cleared", []Report{suspect, second, cleared}, Proceed, 0},
		{"cleared, not known", []Report{cleared}, Proceed, 0},
		{"longer than permitted", []Report{{Fingerprint: print8(1), Target: "t-1", Quarantine: 1000 * time.Hour}}, Refuse, MaxQuarantine},
	} {
		g := New()
		for _, r := range c.reports {
			g.Receive(start, r)
		}
		d := g.Check(start, print8(1), sixTargets())
		assert.Equal(t, c.verdict, d.Verdict, c.name)
		assert.Equal(t, c.remaining, d.Remaining, c.name)
	}
}

// Guards against a waiting request that is not woken.
func TestWaitEndsWithTheFlight(t *testing.T) {
	for name, end := range map[string]func(*Guard, *Flight){
		"ended":     func(g *Guard, f *Flight) { g.Ended(f) },
		"succeeded": func(g *Guard, f *Flight) { g.Succeeded(start, f) },
		"crashed":   func(g *Guard, f *Flight) { g.Crashed(start, f) },
	} {
		g := New()
		g.Crashed(start, send(t, g, start, print8(1)))
		flight := send(t, g, start, print8(1))
		d := g.Check(start, print8(1), sixTargets())
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
	g.Crashed(start, send(t, g, start, Fingerprint{0, 0, 0, 1}))
	for i := range maxProven + 100 {
		g.Succeeded(start, send(t, g, start, Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}))
	}
	assert.Len(t, g.proven.where, maxProven)
	assert.Equal(t, maxProven, g.proven.order.Len())
	assert.NotNil(t, g.suspects.get(Fingerprint{0, 0, 0, 1}))
	for i := range maxSuspect + 100 {
		g.Receive(start, Report{Fingerprint: Fingerprint{1, 1, 1, 1, byte(i), byte(i >> 8)}, Target: "t-1"})
	}
	assert.Len(t, g.suspects.where, maxSuspect)
	assert.Empty(t, g.flying)
	assert.Empty(t, g.byTarget)
}
