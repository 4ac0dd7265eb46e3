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

// TestMain fixes the seed, so that every run checks the same cases.
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

// Guards against a member's departure moving the targets of other members.
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

// Guards against a duplicate or late release that frees the slot of another
// request.
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

// Guards against full load on a target that has just restarted after a crash
// and is cold.
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

// A peer's release must tell the home that the target is leaving.
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

// Guards against grants by a frozen instance that has been replaced as home.
func TestSuspendedLedgerGrantsNothing(t *testing.T) {
	l := newLedger(time.Time{})
	l.Suspend()
	assert.Equal(t, slots.ReasonSuspended, unavailableReason(l, start))
	_, ok := l.MostFreeTarget("enrolment", excludeNone)
	assert.False(t, ok)
	l.Resume()
	assert.Empty(t, unavailableReason(l, start))
}

// Grants of the previous home may still be in use. A repeated release of such
// a grant counts once.
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

// Guards against a release with an ID that no previous home can have issued
// and that frees an assumed slot.
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
// holders execute requests. Releases are lost, repeated or late.
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
	home  int // Incarnation of the current home as known to the holder.
}

func (model *homeModel) moveHome(busyUntil time.Time) {
	model.homes++
	model.currentHome = model.homes
	model.ledger = slots.New(uint64(model.homes))
	model.ledger.SetTarget(target, busyUntil)
}

func (model *homeModel) acquire(*rapid.T) {
	if g, err := model.ledger.Acquire(model.now, target.Name, "holder", model.now.Add(lifetime)); err == nil {
		model.running[g.ID] = runningRequest{g, model.currentHome}
	}
}

// endRequest ends a random running request and returns it.
func (model *homeModel) endRequest(t *rapid.T) (runningRequest, bool) {
	if len(model.running) == 0 {
		return runningRequest{}, false
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(model.running))).Draw(t, "request")
	ended := runningRequest{model.running[id].grant, model.currentHome}
	delete(model.running, id)
	model.endedRequests = append(model.endedRequests, ended)
	return ended, true
}

func (model *homeModel) finish(t *rapid.T) { model.endRequest(t) }

func (model *homeModel) crash(t *rapid.T) {
	if ended, ok := model.endRequest(t); ok {
		model.ledger.Release(target.Name, ended.grant.ID, slots.Crashed)
	}
}

// deliverRelease delivers a release, possibly late or repeated, to the home
// that was current when the request ended.
func (model *homeModel) deliverRelease(t *rapid.T) {
	if len(model.endedRequests) == 0 {
		return
	}
	r := rapid.SampledFrom(model.endedRequests).Draw(t, "release")
	if r.home == model.currentHome {
		model.ledger.Release(target.Name, r.grant.ID, slots.Answered)
	}
}

func (model *homeModel) advance(t *rapid.T) {
	model.now = model.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	for id, r := range model.running {
		if !model.now.Before(r.grant.Expires) {
			delete(model.running, id)
		}
	}
	model.ledger.Expire(model.now)
}

// Guards against more requests at a target than it has slots, for any order of
// grants, releases, expiries, crashes and moves of the home.
func TestRunningRequestsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &homeModel{now: start, running: map[uint64]runningRequest{}}
		model.moveHome(time.Time{})
		t.Repeat(map[string]func(*rapid.T){
			"acquire": model.acquire, "acquire again": model.acquire, "finish": model.finish, "deliver": model.deliverRelease, "advance": model.advance,
			"move":  func(*rapid.T) { model.moveHome(model.now.Add(lifetime)) },
			"crash": model.crash,
			"probe": func(*rapid.T) { model.ledger.ProbeSucceeded(target.Name) },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(model.running), target.Slots)
			},
		})
	})
}
