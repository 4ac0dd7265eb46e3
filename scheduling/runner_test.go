package scheduling_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/scheduling"
	"github.com/jacinthstall/jacinthstall/slots"
)

// discardingSender drops all messages.
type discardingSender struct{}

func (discardingSender) SendWant(dispatch.SendWant)                  {}
func (discardingSender) SendGrant(_ dispatch.SendGrant, gone func()) { gone() }
func (discardingSender) SendRelease(dispatch.SendRelease)            {}
func (discardingSender) SendLoad(dispatch.SendLoad)                  {}
func (discardingSender) SendHandOff(dispatch.SendHandOff)            {}
func (discardingSender) Flush()                                      {}

// startRunner starts a runner with one target of one slot.
func startRunner(t *testing.T) *scheduling.Runner {
	self := dispatch.Member{Name: "a", Region: "r", Domain: "d"}
	s := dispatch.New(dispatch.Config{Self: self, Incarnation: 1, MaxQueueLength: 10, GrantTTL: 31 * time.Second,
		LoadInterval: 200 * time.Millisecond, LoadMaxAge: time.Second})
	r := scheduling.New(s, discardingSender{}, scheduling.Hooks{StartProbe: func(string) {}, RefreshView: func() {}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	r.SetView(dispatch.View{Members: []dispatch.Member{self}, Services: []dispatch.Service{{Name: "s"}},
		Targets: []dispatch.Target{{Home: "a", NeverMoved: true, Target: slots.Target{Name: "t", Service: "s", Domain: "d", Slots: 1}}}},
		time.Now(), func(applied bool) { assert.True(t, applied) })
	return r
}

func request() dispatch.Request {
	return dispatch.Request{Service: "s", EnteredAt: time.Now(), Deadline: time.Now().Add(10 * time.Second)}
}

// Guards against a slot that stays busy for ever, and against two requests at
// a target of one slot.
func TestReleasedSlotGoesToNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRunner(t)
		first, ok := r.Acquire(t.Context(), request()).(dispatch.Start)
		require.True(t, ok)
		second := make(chan dispatch.Action, 1)
		go func() { second <- r.Acquire(t.Context(), request()) }()
		time.Sleep(time.Second)
		assert.Empty(t, second)
		r.RequestFinished(first.Request.ID, slots.Answered)
		assert.IsType(t, dispatch.Start{}, <-second)
	})
}

// A caller that disconnects must neither stay in the queue nor keep a slot
// that is granted at the same moment.
func TestCanceledRequestFreesQueuePlaceAndSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRunner(t)
		first := r.Acquire(t.Context(), request()).(dispatch.Start)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		refused, ok := r.Acquire(ctx, request()).(dispatch.Refuse)
		require.True(t, ok)
		assert.Equal(t, outcome.ReasonDeadline, refused.Reason)
		r.RequestFinished(first.Request.ID, slots.Answered)
		third, ok := r.Acquire(t.Context(), request()).(dispatch.Start)
		require.True(t, ok)
		r.RequestFinished(third.Request.ID, slots.Answered)

		canceled, stop := context.WithCancel(t.Context())
		stop()
		r.Acquire(canceled, request())
		assert.IsType(t, dispatch.Start{}, r.Acquire(t.Context(), request()))
	})
}

// A view from before a freeze must not end the suspension after it.
func TestStaleViewIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRunner(t)
		dropped := make(chan struct{})
		r.SetView(dispatch.View{}, time.Now().Add(-2*time.Second), func(applied bool) {
			assert.False(t, applied)
			close(dropped)
		})
		<-dropped
		assert.IsType(t, dispatch.Start{}, r.Acquire(t.Context(), request()), "the view in force must stay")
	})
}

// Requests that wait when the instance ends must get an answer.
func TestStoppedRunnerRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New(dispatch.Config{Self: dispatch.Member{Name: "a"}, Incarnation: 1, MaxQueueLength: 1, GrantTTL: time.Minute})
		r := scheduling.New(s, discardingSender{}, scheduling.Hooks{RefreshView: func() {}})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r.Run(ctx)
		action := r.Acquire(t.Context(), request())
		refused, ok := action.(dispatch.Refuse)
		require.True(t, ok)
		assert.Contains(t, []outcome.Reason{outcome.ReasonOverloaded, outcome.ReasonStopping}, refused.Reason)
	})
}
