package slots_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthstall/jacinthstall/slots"
)

// TestMain fixes the seed, so that every run of CI checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	start  = time.Unix(1_000_000, 0)
	target = slots.Target{Name: "t1", Service: "enrolment", Domain: "a", Slots: 3}
	none   = func(string) bool { return false }
)

const lifetime = 3 * time.Second

func newLedger(busyUntil time.Time) *slots.Ledger {
	l := slots.New(7)
	l.Adopt(target, busyUntil)
	return l
}

func acquire(t require.TestingT, l *slots.Ledger, now time.Time) slots.Grant {
	g, err := l.Acquire(now, target.Name, "holder", now.Add(lifetime))
	require.NoError(t, err)
	return g
}

func refusal(l *slots.Ledger, now time.Time) slots.Reason {
	_, err := l.Acquire(now, target.Name, "holder", now.Add(lifetime))
	if refused, ok := err.(*slots.UnavailableError); ok {
		return refused.Reason
	}
	return ""
}

func TestHomePrefersTheTargetsDomain(t *testing.T) {
	members := []slots.Member{{Name: "i1", Domain: "a"}, {Name: "i2", Domain: "a"}, {Name: "i3", Domain: "b"}}
	assert.Equal(t, "i3", slots.Home("t", "b", members))
	assert.Contains(t, []string{"i1", "i2"}, slots.Home("t", "a", members))
	assert.NotEmpty(t, slots.Home("t", "c", members), "a domain without members falls back to the region")
	assert.Empty(t, slots.Home("t", "a", nil))
}

// A member that leaves must not move the targets of the other members.
func TestHomeMovesOnlyTheTargetsOfTheLeavingMember(t *testing.T) {
	var members []slots.Member
	for i := range 5 {
		members = append(members, slots.Member{Name: fmt.Sprint("i", i), Domain: "a"})
	}
	for i := range 200 {
		name := fmt.Sprint("t", i)
		if before := slots.Home(name, "a", members); before != "i4" {
			assert.Equal(t, before, slots.Home(name, "a", members[:4]))
		}
	}
}

func TestGrantsEndAtTheNumberOfSlots(t *testing.T) {
	l := newLedger(time.Time{})
	for range target.Slots {
		acquire(t, l, start)
	}
	assert.Equal(t, slots.ReasonBusy, refusal(l, start))
	_, ok := l.Best("enrolment", none)
	assert.False(t, ok)
}

// A duplicate or late release must not free the slot of another request.
func TestDuplicateAndLateReleasesFreeNothing(t *testing.T) {
	l := newLedger(time.Time{})
	first := acquire(t, l, start)
	_, freed := l.Release("t1", first.ID, slots.Answered)
	require.True(t, freed)
	_, freed = l.Release("t1", first.ID, slots.Answered)
	assert.False(t, freed)
	second := acquire(t, l, start)
	require.Len(t, l.Expire(start.Add(lifetime)), 1)
	_, freed = l.Release("t1", second.ID, slots.Answered)
	assert.False(t, freed)
}

// A target that comes back after a crash is cold and must not get its full load.
func TestRampAfterACrashStartsWithOneSlot(t *testing.T) {
	l := newLedger(time.Time{})
	g := acquire(t, l, start)
	l.Release("t1", g.ID, slots.Crashed)
	require.Equal(t, slots.ReasonDown, refusal(l, start))
	require.Equal(t, []string{"t1"}, l.Down())
	_, ok := l.Best("enrolment", none)
	require.False(t, ok)
	l.ProbeSucceeded("t1")
	for allowed := 1; allowed <= target.Slots; allowed++ {
		var open []slots.Grant
		for range allowed {
			open = append(open, acquire(t, l, start))
		}
		require.Equal(t, slots.ReasonBusy, refusal(l, start))
		l.Release("t1", open[0].ID, slots.Answered)
		for _, g := range open[1:] {
			l.Release("t1", g.ID, slots.TimedOut)
		}
	}
}

// The home must learn from a peer's answer that its target is leaving.
func TestReleaseCanReportALeavingTarget(t *testing.T) {
	l := newLedger(time.Time{})
	g := acquire(t, l, start)
	_, freed := l.Release("t1", g.ID, slots.Leaving)
	require.True(t, freed)
	assert.Equal(t, slots.ReasonLeaving, refusal(l, start))
}

func TestLeavingTargetGetsNoGrants(t *testing.T) {
	l := newLedger(time.Time{})
	g := acquire(t, l, start)
	l.Leave("t1")
	assert.Equal(t, slots.ReasonLeaving, refusal(l, start))
	_, freed := l.Release("t1", g.ID, slots.Answered)
	assert.True(t, freed)
	l.ProbeSucceeded("t1")
	assert.Equal(t, slots.ReasonLeaving, refusal(l, start))
	l.Rejoin("t1")
	assert.Empty(t, refusal(l, start))
	assert.Equal(t, slots.ReasonBusy, refusal(l, start), "a target that returns is cold")
}

// A frozen instance may have been replaced as home while it stood still.
func TestSuspendedLedgerGrantsNothing(t *testing.T) {
	l := newLedger(time.Time{})
	l.Suspend()
	assert.Equal(t, slots.ReasonSuspended, refusal(l, start))
	_, ok := l.Best("enrolment", none)
	assert.False(t, ok)
	l.Resume()
	assert.Empty(t, refusal(l, start))
}

// The grants of an earlier home may still run; a release counts once.
func TestAdoptedTargetIsAssumedBusy(t *testing.T) {
	l := newLedger(start.Add(lifetime))
	require.Equal(t, slots.ReasonBusy, refusal(l, start))
	_, freed := l.Release("t1", 1<<32|5, slots.Answered)
	require.True(t, freed)
	_, freed = l.Release("t1", 1<<32|5, slots.Answered)
	require.False(t, freed)
	assert.Empty(t, refusal(l, start))
	assert.Equal(t, slots.ReasonBusy, refusal(l, start))
	l.Expire(start.Add(lifetime))
	assert.Empty(t, refusal(l, start.Add(lifetime)))
}

// A release that names no grant must not free an assumed slot.
func TestReleaseOfNoGrantFreesNothing(t *testing.T) {
	l := newLedger(start.Add(lifetime))
	for _, id := range []uint64{0, 1 << 32, 7<<32 | 1} {
		_, freed := l.Release("t1", id, slots.Answered)
		assert.False(t, freed, id)
	}
	assert.Equal(t, slots.ReasonBusy, refusal(l, start))
}

func TestShedLowersTheLimitUntilAnswers(t *testing.T) {
	l := newLedger(time.Time{})
	a, b, c := acquire(t, l, start), acquire(t, l, start), acquire(t, l, start)
	l.Release("t1", c.ID, slots.Shed)
	require.Equal(t, slots.ReasonBusy, refusal(l, start))
	l.Release("t1", a.ID, slots.Answered)
	l.Release("t1", b.ID, slots.Answered)
	for range target.Slots {
		acquire(t, l, start)
	}
}

// world is a model of one target whose home moves between instances while
// holders execute requests, with lost, repeated and late releases.
type world struct {
	now     time.Time
	homes   int
	current int
	ledger  *slots.Ledger
	running map[uint64]running
	sent    []running
}

type running struct {
	grant slots.Grant
	home  int // Incarnation of the home that the holder knows as current.
}

func (w *world) move(busyUntil time.Time) {
	w.homes++
	w.current = w.homes
	w.ledger = slots.New(uint64(w.homes))
	w.ledger.Adopt(target, busyUntil)
}

func (w *world) acquire(*rapid.T) {
	if g, err := w.ledger.Acquire(w.now, target.Name, "holder", w.now.Add(lifetime)); err == nil {
		w.running[g.ID] = running{g, w.current}
	}
}

// end ends a running request and returns it.
func (w *world) end(t *rapid.T) (running, bool) {
	if len(w.running) == 0 {
		return running{}, false
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(w.running))).Draw(t, "request")
	ended := running{w.running[id].grant, w.current}
	delete(w.running, id)
	w.sent = append(w.sent, ended)
	return ended, true
}

func (w *world) finish(t *rapid.T) { w.end(t) }

func (w *world) crash(t *rapid.T) {
	if ended, ok := w.end(t); ok {
		w.ledger.Release(target.Name, ended.grant.ID, slots.Crashed)
	}
}

// deliver releases at the home that was current when the request ended, may
// repeat, and may come late.
func (w *world) deliver(t *rapid.T) {
	if len(w.sent) == 0 {
		return
	}
	r := rapid.SampledFrom(w.sent).Draw(t, "release")
	if r.home == w.current {
		w.ledger.Release(target.Name, r.grant.ID, slots.Answered)
	}
}

func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	for id, r := range w.running {
		if !w.now.Before(r.grant.Expires) {
			delete(w.running, id)
		}
	}
	w.ledger.Expire(w.now)
}

// Guards against more work at a target than slots for any order of grants,
// releases, expiries, crashes and changes of home.
func TestRunningWorkStaysWithinTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, running: map[uint64]running{}}
		w.move(time.Time{})
		t.Repeat(map[string]func(*rapid.T){
			"acquire": w.acquire, "acquire again": w.acquire, "finish": w.finish, "deliver": w.deliver, "advance": w.advance,
			"move":  func(*rapid.T) { w.move(w.now.Add(lifetime)) },
			"crash": w.crash,
			"probe": func(*rapid.T) { w.ledger.ProbeSucceeded(target.Name) },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(w.running), target.Slots)
			},
		})
	})
}
