package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/slots"
)

// movedHere is a view in which the home of t1 moved from c to this instance
// with version 4 of the member table.
func movedHere() dispatch.View {
	v := view()
	moved := &v.Targets[0]
	moved.Fresh, moved.Next, moved.Previous, moved.Since = false, "a", "c@1", 4
	v.TableVersion = 4
	return v
}

// started counts how many of three requests a new home starts after a count
// of one busy slot from a previous home.
func started(h dispatch.HandOff) int {
	s := newScheduler(movedHere())
	count := 0
	for id := range uint64(3) {
		count += len(only[dispatch.Start](s.Arrive(at(0), request(id+1, 0))))
	}
	return count + len(only[dispatch.Start](s.HandedOff(at(ms), h)))
}

// Guards against a home whose idle slots stay unused until old grants expire,
// and against a count that does not cover all open grants.
func TestOnlyThePreviousHomeFreesSlots(t *testing.T) {
	count := dispatch.HandOff{From: "c@1", Target: "t1", Busy: 1, Version: 4}
	assert.Equal(t, 1, started(count))
	other := count
	other.From = "b@1"
	assert.Zero(t, started(other), "another instance does not know the grants of the previous home")
	early := count
	early.Version = 3
	assert.Zero(t, started(early), "the sender may have been home again after it counted")
}

// The count may arrive before this instance may grant.
func TestCountWaitsForAdoption(t *testing.T) {
	v := movedHere()
	v.Targets[0].Home = ""
	s := newScheduler(v)
	s.HandedOff(at(ms), dispatch.HandOff{From: "c@1", Target: "t1", Busy: 2, Version: 4})
	s.Arrive(at(2*ms), request(1, 2*ms))
	assert.Empty(t, only[dispatch.Start](s.SetView(at(3*ms), movedHere())))
	s = newScheduler(v)
	s.HandedOff(at(ms), dispatch.HandOff{From: "c@1", Target: "t1", Busy: 1, Version: 4})
	s.Arrive(at(2*ms), request(1, 2*ms))
	assert.Len(t, only[dispatch.Start](s.SetView(at(3*ms), movedHere())), 1)
}

func TestPreviousHomeSendsItsCount(t *testing.T) {
	s := newScheduler(view())
	fill(t, s, 1)
	v := view()
	v.Targets[0].Home, v.Targets[0].Next, v.TableVersion = "", "c", 7
	sent := only[dispatch.SendHandOff](s.SetView(at(ms), v))
	assert.Equal(t, []dispatch.SendHandOff{{To: "c", Target: "t1", Busy: 1, Version: 7}}, sent)
}

// A release made while the home moves must reach the new home; without it the
// slot stays busy until it expires.
func TestReleaseWaitsWhileTheHomeMoves(t *testing.T) {
	s := newScheduler(view())
	fill(t, s, 1)
	v := view()
	v.Targets[0].Home, v.Targets[0].Next = "", "c"
	s.SetView(at(ms), v)
	assert.Empty(t, only[dispatch.SendRelease](s.Finished(at(2*ms), 100, slots.Answered, false)))
	v.Targets[0].Home = "c"
	released := only[dispatch.SendRelease](s.SetView(at(3*ms), v))
	require.Len(t, released, 1)
	assert.Equal(t, "c", released[0].To)
	assert.Equal(t, "t1", released[0].Target)
}

// A peer that has not learned the new table releases at the old home.
func TestOldHomePassesReleasesOn(t *testing.T) {
	s := newScheduler(view())
	v := view()
	v.Targets[0].Home, v.Targets[0].Next = "c", "c"
	s.SetView(at(ms), v)
	released := only[dispatch.SendRelease](s.Released(at(2*ms), "t1", 17, slots.Answered))
	require.Len(t, released, 1)
	assert.Equal(t, dispatch.SendRelease{To: "c", Target: "t1", Grant: 17, Cause: slots.Answered}, released[0])
}
