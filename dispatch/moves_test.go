package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/slots"
)

// viewAfterMoveHere is a view in which the home of t1 moved from c to this instance
// with version 4 of the member table.
func viewAfterMoveHere() dispatch.View {
	v := view()
	moved := &v.Targets[0]
	moved.NeverMoved, moved.NextHome, moved.PreviousHome, moved.HomeSince = false, "a", "c@1", 4
	v.TableVersion = 4
	return v
}

// startsAfterHandOff counts how many of three requests a new home starts after a count
// of one busy slot from a previous home.
func startsAfterHandOff(h dispatch.HandOff) int {
	s := newScheduler(viewAfterMoveHere())
	count := 0
	for id := range uint64(3) {
		count += len(actionsOf[dispatch.Start](s.Submit(at(0), request(id+1, 0))))
	}
	return count + len(actionsOf[dispatch.Start](s.ReceiveHandOff(at(ms), h)))
}

// Guards against a home whose idle slots stay unused until old grants expire,
// and against a count that does not cover all open grants.
func TestOnlyHandOffOfPreviousHomeFreesSlots(t *testing.T) {
	count := dispatch.HandOff{From: "c@1", Target: "t1", BusySlots: 1, TableVersion: 4}
	assert.Equal(t, 1, startsAfterHandOff(count))
	other := count
	other.From = "b@1"
	assert.Zero(t, startsAfterHandOff(other), "another instance does not know the grants of the previous home")
	early := count
	early.TableVersion = 3
	assert.Zero(t, startsAfterHandOff(early), "the sender may have been home again after it counted")
}

// The count may arrive before this instance may grant.
func TestHandOffWaitsUntilInstanceBecomesHome(t *testing.T) {
	v := viewAfterMoveHere()
	v.Targets[0].Home = ""
	s := newScheduler(v)
	s.ReceiveHandOff(at(ms), dispatch.HandOff{From: "c@1", Target: "t1", BusySlots: 2, TableVersion: 4})
	s.Submit(at(2*ms), request(1, 2*ms))
	assert.Empty(t, actionsOf[dispatch.Start](s.SetView(at(3*ms), viewAfterMoveHere())))
	s = newScheduler(v)
	s.ReceiveHandOff(at(ms), dispatch.HandOff{From: "c@1", Target: "t1", BusySlots: 1, TableVersion: 4})
	s.Submit(at(2*ms), request(1, 2*ms))
	assert.Len(t, actionsOf[dispatch.Start](s.SetView(at(3*ms), viewAfterMoveHere())), 1)
}

func TestPreviousHomeSendsHandOff(t *testing.T) {
	s := newScheduler(view())
	occupyHomeSlots(t, s, 1)
	v := view()
	v.Targets[0].Home, v.Targets[0].NextHome, v.TableVersion = "", "c", 7
	sent := actionsOf[dispatch.SendHandOff](s.SetView(at(ms), v))
	assert.Equal(t, []dispatch.SendHandOff{{To: "c", Target: "t1", BusySlots: 1, TableVersion: 7}}, sent)
}

// A release made while the home moves must reach the new home; without it the
// slot stays busy until it expires.
func TestReleaseWaitsWhileHomeMoves(t *testing.T) {
	s := newScheduler(view())
	occupyHomeSlots(t, s, 1)
	v := view()
	v.Targets[0].Home, v.Targets[0].NextHome = "", "c"
	s.SetView(at(ms), v)
	assert.Empty(t, actionsOf[dispatch.SendRelease](s.RequestFinished(at(2*ms), 100, slots.Answered, false)))
	v.Targets[0].Home = "c"
	released := actionsOf[dispatch.SendRelease](s.SetView(at(3*ms), v))
	require.Len(t, released, 1)
	assert.Equal(t, "c", released[0].To)
	assert.Equal(t, "t1", released[0].Target)
}

// A peer that has not learned the new table releases at the old home.
func TestPreviousHomeForwardsReleases(t *testing.T) {
	s := newScheduler(view())
	v := view()
	v.Targets[0].Home, v.Targets[0].NextHome = "c", "c"
	s.SetView(at(ms), v)
	released := actionsOf[dispatch.SendRelease](s.ReceiveRelease(at(2*ms), "t1", 17, slots.Answered))
	require.Len(t, released, 1)
	assert.Equal(t, dispatch.SendRelease{To: "c", Target: "t1", GrantID: 17, Cause: slots.Answered}, released[0])
}
