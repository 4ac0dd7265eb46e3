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
	start       = time.Unix(1_000_000, 0)
	target      = slots.Target{Name: "t1", Service: "enrolment", Domain: "a", Slots: 3}
	excludeNone = func(string) bool { return false }
)

const lifetime = 3 * time.Second

func newLedger(busyUntil time.Time) *slots.Ledger {
	l := slots.New(7)
	l.SetTarget(target, busyUntil)
	return l
}

func acquire(t require.TestingT, l *slots.Ledger, now time.Time) slots.Grant {
	g, err := l.Acquire(now, target.Name, "holder", now.Add(lifetime))
	require.NoError(t, err)
	return g
}

func unavailableReason(l *slots.Ledger, now time.Time) slots.UnavailableReason {
	_, err := l.Acquire(now, target.Name, "holder", now.Add(lifetime))
	if refused, ok := err.(*slots.UnavailableError); ok {
		return refused.Reason
	}
	return ""
}

func TestHomePrefersTheTargetsDomain(t *testing.T) {
	members := []slots.Member{{Name: "i1", Domain: "a"}, {Name: "i2", Domain: "a"}, {Name: "i3", Domain: "b"}}
	assert.Equal(t, "i3", slots.HomeInstance("t", "b", members))
	assert.Contains(t, []string{"i1", "i2"}, slots.HomeInstance("t", "a", members))
	assert.NotEmpty(t, slots.HomeInstance("t", "c", members), "a domain without members falls back to the region")
	assert.Empty(t, slots.HomeInstance("t", "a", nil))
}

// A member that leaves must not move the targets of the other members.
func TestHomeMovesOnlyTheTargetsOfTheLeavingMember(t *testing.T) {
	var members []slots.Member
	for i := range 5 {
		members = append(members, slots.Member{Name: fmt.Sprint("i", i), Domain: "a"})
	}
	for i := range 200 {
		name := fmt.Sprint("t", i)
		if before := slots.HomeInstance(name, "a", members); before != "i4" {
			assert.Equal(t, before, slots.HomeInstance(name, "a", members[:4]))
		}
	}
}

func TestGrantsAreLimitedToNumberOfSlots(t *testing.T) {
	l := newLedger(time.Time{})
	for range target.Slots {
		acquire(t, l, start)
	}
	assert.Equal(t, slots.ReasonBusy, unavailableReason(l, start))
	_, ok := l.MostFreeTarget("enrolment", excludeNone)
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
func TestRampAfterCrashStartsWithOneSlot(t *testing.T) {
	l := newLedger(time.Time{})
	g := acquire(t, l, start)
	l.Release("t1", g.ID, slots.Crashed)
	require.Equal(t, slots.ReasonDown, unavailableReason(l, start))
	require.Equal(t, []string{"t1"}, l.DownTargets())
	_, ok := l.MostFreeTarget("enrolment", excludeNone)
	require.False(t, ok)
	l.ProbeSucceeded("t1")
	for allowed := 1; allowed <= target.Slots; allowed++ {
		var open []slots.Grant
		for range allowed {
			open = append(open, acquire(t, l, start))
		}
		require.Equal(t, slots.ReasonBusy, unavailableReason(l, start))
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
	assert.Equal(t, slots.ReasonLeaving, unavailableReason(l, start))
}

func TestLeavingTargetGetsNoGrants(t *testing.T) {
	l := newLedger(time.Time{})
	g := acquire(t, l, start)
	l.MarkLeaving("t1")
	assert.Equal(t, slots.ReasonLeaving, unavailableReason(l, start))
	_, freed := l.Release("t1", g.ID, slots.Answered)
	assert.True(t, freed)
	l.ProbeSucceeded("t1")
	assert.Equal(t, slots.ReasonLeaving, unavailableReason(l, start))
	l.ClearLeaving("t1")
	assert.Empty(t, unavailableReason(l, start))
	assert.Equal(t, slots.ReasonBusy, unavailableReason(l, start), "a target that returns is cold")
}

// A frozen instance may have been replaced as home while it stood still.
func TestSuspendedLedgerGrantsNothing(t *testing.T) {
	l := newLedger(time.Time{})
	l.Suspend()
	assert.Equal(t, slots.ReasonSuspended, unavailableReason(l, start))
	_, ok := l.MostFreeTarget("enrolment", excludeNone)
	assert.False(t, ok)
	l.Resume()
	assert.Empty(t, unavailableReason(l, start))
}

// The grants of an earlier home may still run; a release counts once.
func TestNewHomeAssumesSlotsBusy(t *testing.T) {
	l := newLedger(start.Add(lifetime))
	require.Equal(t, slots.ReasonBusy, unavailableReason(l, start))
	_, freed := l.Release("t1", 1<<32|5, slots.Answered)
	require.True(t, freed)
	_, freed = l.Release("t1", 1<<32|5, slots.Answered)
	require.False(t, freed)
	assert.Empty(t, unavailableReason(l, start))
	assert.Equal(t, slots.ReasonBusy, unavailableReason(l, start))
	l.Expire(start.Add(lifetime))
	assert.Empty(t, unavailableReason(l, start.Add(lifetime)))
}

// A release that names no grant must not free an assumed slot.
func TestReleaseWithInvalidGrantIDFreesNothing(t *testing.T) {
	l := newLedger(start.Add(lifetime))
	for _, id := range []uint64{0, 1 << 32, 7<<32 | 1} {
		_, freed := l.Release("t1", id, slots.Answered)
		assert.False(t, freed, id)
	}
	assert.Equal(t, slots.ReasonBusy, unavailableReason(l, start))
}

func TestShedLowersLimitUntilRequestsAreAnswered(t *testing.T) {
	l := newLedger(time.Time{})
	a, b, c := acquire(t, l, start), acquire(t, l, start), acquire(t, l, start)
	l.Release("t1", c.ID, slots.Shed)
	require.Equal(t, slots.ReasonBusy, unavailableReason(l, start))
	l.Release("t1", a.ID, slots.Answered)
	l.Release("t1", b.ID, slots.Answered)
	for range target.Slots {
		acquire(t, l, start)
	}
}

// homeModel is a model of one target whose home moves between instances while
// holders execute requests, with lost, repeated and late releases.
type homeModel struct {
	now           time.Time
	homes         int
	currentHome   int
	ledger        *slots.Ledger
	running       map[uint64]runningRequest
	endedRequests []runningRequest
}

type runningRequest struct {
	grant slots.Grant
	home  int // Incarnation of the home that the holder knows as current.
}

func (w *homeModel) moveHome(busyUntil time.Time) {
	w.homes++
	w.currentHome = w.homes
	w.ledger = slots.New(uint64(w.homes))
	w.ledger.SetTarget(target, busyUntil)
}

func (w *homeModel) acquire(*rapid.T) {
	if g, err := w.ledger.Acquire(w.now, target.Name, "holder", w.now.Add(lifetime)); err == nil {
		w.running[g.ID] = runningRequest{g, w.currentHome}
	}
}

// endRequest ends a running request and returns it.
func (w *homeModel) endRequest(t *rapid.T) (runningRequest, bool) {
	if len(w.running) == 0 {
		return runningRequest{}, false
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(w.running))).Draw(t, "request")
	ended := runningRequest{w.running[id].grant, w.currentHome}
	delete(w.running, id)
	w.endedRequests = append(w.endedRequests, ended)
	return ended, true
}

func (w *homeModel) finish(t *rapid.T) { w.endRequest(t) }

func (w *homeModel) crash(t *rapid.T) {
	if ended, ok := w.endRequest(t); ok {
		w.ledger.Release(target.Name, ended.grant.ID, slots.Crashed)
	}
}

// deliverRelease releases at the home that was current when the request ended, may
// repeat, and may come late.
func (w *homeModel) deliverRelease(t *rapid.T) {
	if len(w.endedRequests) == 0 {
		return
	}
	r := rapid.SampledFrom(w.endedRequests).Draw(t, "release")
	if r.home == w.currentHome {
		w.ledger.Release(target.Name, r.grant.ID, slots.Answered)
	}
}

func (w *homeModel) advance(t *rapid.T) {
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
func TestRunningRequestsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &homeModel{now: start, running: map[uint64]runningRequest{}}
		w.moveHome(time.Time{})
		t.Repeat(map[string]func(*rapid.T){
			"acquire": w.acquire, "acquire again": w.acquire, "finish": w.finish, "deliver": w.deliverRelease, "advance": w.advance,
			"move":  func(*rapid.T) { w.moveHome(w.now.Add(lifetime)) },
			"crash": w.crash,
			"probe": func(*rapid.T) { w.ledger.ProbeSucceeded(target.Name) },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(w.running), target.Slots)
			},
		})
	})
}
