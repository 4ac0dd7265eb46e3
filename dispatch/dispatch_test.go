package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

const (
	serviceName = "enrolment"
	ms          = time.Millisecond
	grantTTL    = 3 * time.Second
)

var (
	epoch  = time.Unix(1_000_000, 0)
	self   = dispatch.Member{Name: "a", Region: "north", Domain: "d1"}
	peer   = dispatch.Member{Name: "b", Region: "north", Domain: "d2"}
	remote = dispatch.Member{Name: "z", Region: "south", Domain: "d3"}
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func target(name, home string, count int) dispatch.Target {
	return dispatch.Target{Home: home, NeverMoved: true, Target: slots.Target{Name: name, Service: serviceName, Slots: count}}
}

// view has one home target with two slots and one of the peer.
func view() dispatch.View {
	return dispatch.View{
		Members:        []dispatch.Member{self, peer, remote},
		Services:       []dispatch.Service{{Name: serviceName, MaxQueueTime: 500 * ms}},
		Targets:        []dispatch.Target{target("t1", "a", 2), target("t2", "b", 2)},
		TransportDelay: map[string]time.Duration{"south": 20 * ms},
	}
}

func newScheduler(v dispatch.View) *dispatch.Scheduler {
	s := dispatch.New(dispatch.Config{Self: self, Incarnation: 1, MaxQueueLength: 10, GrantTTL: grantTTL, LoadInterval: 50 * ms, LoadMaxAge: 500 * ms})
	s.SetView(epoch, v)
	return s
}

func request(id uint64, entered time.Duration) dispatch.Request {
	return dispatch.Request{ID: id, Service: serviceName, EnteredAt: at(entered), Deadline: at(entered + 2*time.Second)}
}

// actionsOf returns the actions of one type.
func actionsOf[A dispatch.Action](actions []dispatch.Action) []A {
	var list []A
	for _, a := range actions {
		if typed, ok := a.(A); ok {
			list = append(list, typed)
		}
	}
	return list
}

// occupyHomeSlots starts requests until the home slots are busy. Their ids start at 100.
func occupyHomeSlots(t *testing.T, s *dispatch.Scheduler, count int) {
	for i := range count {
		require.Len(t, actionsOf[dispatch.Start](s.Submit(at(0), request(uint64(100+i), 0))), 1)
	}
}

func want(seq uint64, ages ...time.Duration) dispatch.Want {
	return dispatch.Want{From: "b", Incarnation: 1, Service: serviceName, Sequence: seq, Ages: ages}
}

func TestOldestQueuedRequestStartsFirst(t *testing.T) {
	s := newScheduler(view())
	occupyHomeSlots(t, s, 2)
	s.Submit(at(10*ms), request(1, 10*ms))
	s.Submit(at(11*ms), request(2, 2*ms)) // Forwarded from elsewhere, so older.
	started := actionsOf[dispatch.Start](s.RequestFinished(at(12*ms), 100, slots.Answered, false))
	require.Len(t, started, 1)
	assert.EqualValues(t, 2, started[0].Request.ID)
}

func TestFreeSlotGoesToOldestKnownRequest(t *testing.T) {
	cases := map[string]struct {
		peerAge time.Duration
		toPeer  bool
	}{
		"peer's is older": {20 * ms, true},
		"own is older":    {5 * ms, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(view())
			occupyHomeSlots(t, s, 2)
			s.Submit(at(10*ms), request(1, 10*ms))
			s.ReceiveWant(at(20*ms), want(1, c.peerAge))
			actions := s.RequestFinished(at(21*ms), 100, slots.Answered, false)
			assert.Equal(t, c.toPeer, len(actionsOf[dispatch.SendGrant](actions)) == 1)
			assert.Equal(t, !c.toPeer, len(actionsOf[dispatch.Start](actions)) == 1)
		})
	}
}

// A want that is overtaken by a newer one must not bring back old requests.
func TestOlderWantIsIgnored(t *testing.T) {
	s := newScheduler(view())
	occupyHomeSlots(t, s, 2)
	s.ReceiveWant(at(1*ms), want(2))
	s.ReceiveWant(at(2*ms), want(1, 50*ms))
	assert.Empty(t, actionsOf[dispatch.SendGrant](s.RequestFinished(at(3*ms), 100, slots.Answered, false)))
}

func TestWantOfUnresponsivePeerExpires(t *testing.T) {
	s := newScheduler(view())
	occupyHomeSlots(t, s, 2)
	s.ReceiveWant(at(1*ms), want(1, 50*ms))
	assert.Empty(t, actionsOf[dispatch.SendGrant](s.RequestFinished(at(500*ms), 100, slots.Answered, false)))
}

func TestWantsAreBounded(t *testing.T) {
	v := view()
	v.Services = []dispatch.Service{{Name: serviceName}}
	v.Targets = []dispatch.Target{target("t", "a", 2)}
	for i := range 20 {
		name := fmt.Sprint("p", i)
		v.Members = append(v.Members, dispatch.Member{Name: name, Region: "north", Domain: "d1"})
		v.Targets = append(v.Targets, target("t"+name, name, 1))
	}
	s := newScheduler(v)
	occupyHomeSlots(t, s, 2)
	var sent []dispatch.SendWant
	for i := range 10 {
		sent = actionsOf[dispatch.SendWant](s.Submit(at(1*ms), request(uint64(i), time.Duration(10-i)*10*time.Microsecond)))
		require.LessOrEqual(t, len(sent), dispatch.MaxPeers)
	}
	require.Len(t, sent, dispatch.MaxPeers)
	assert.Len(t, sent[0].Ages, dispatch.MaxAges)
}

func grantOf(w dispatch.SendWant) dispatch.Grant {
	return dispatch.Grant{Home: "b", Service: serviceName, Target: "t2", ID: 9, WantSequence: w.Sequence, TTL: grantTTL}
}

// queueBehindBusySlots queues one request behind busy home slots and returns the want.
func queueBehindBusySlots(t *testing.T, s *dispatch.Scheduler) dispatch.SendWant {
	occupyHomeSlots(t, s, 2)
	wants := actionsOf[dispatch.SendWant](s.Submit(at(10*ms), request(1, 10*ms)))
	require.Len(t, wants, 1)
	require.Equal(t, "b", wants[0].To)
	return wants[0]
}

func TestGrantedRequestEndsBeforeSlotExpires(t *testing.T) {
	s := newScheduler(view())
	w := queueBehindBusySlots(t, s)
	started := actionsOf[dispatch.Start](s.ReceiveGrant(at(12*ms), grantOf(w)))
	require.Len(t, started, 1)
	assert.Equal(t, "t2", started[0].Target)
	assert.Equal(t, at(10*ms+2*time.Second), started[0].EndBy)
	released := actionsOf[dispatch.SendRelease](s.RequestFinished(at(100*ms), 1, slots.Answered, false))
	assert.Equal(t, []dispatch.SendRelease{{To: "b", Target: "t2", GrantID: 9, Cause: slots.Answered}}, released)
	assert.Empty(t, s.RequestFinished(at(101*ms), 1, slots.Answered, false), "a request ends once")
}

func TestUnusableGrantIsReturned(t *testing.T) {
	cases := map[string]func(*dispatch.Scheduler, *dispatch.Grant) time.Duration{
		"queue empty": func(s *dispatch.Scheduler, _ *dispatch.Grant) time.Duration {
			s.Cancel(at(11*ms), serviceName, 1)
			return 12 * ms
		},
		"former home": func(_ *dispatch.Scheduler, g *dispatch.Grant) time.Duration { g.Home = "c"; return 12 * ms },
		"target leaving": func(s *dispatch.Scheduler, _ *dispatch.Grant) time.Duration {
			s.TargetLeaving(at(11*ms), "t2")
			return 12 * ms
		},
		"unknown want": func(_ *dispatch.Scheduler, g *dispatch.Grant) time.Duration { g.WantSequence = 77; return 12 * ms },
		"grant too late": func(s *dispatch.Scheduler, g *dispatch.Grant) time.Duration {
			g.TTL = time.Second + 100*ms
			s.Tick(at(300 * ms))
			return 320 * ms
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(view())
			g := grantOf(queueBehindBusySlots(t, s))
			now := prepare(s, &g)
			actions := s.ReceiveGrant(at(now), g)
			assert.Empty(t, actionsOf[dispatch.Start](actions))
			assert.Contains(t, actions, dispatch.Action(dispatch.SendRelease{To: g.Home, Target: "t2", GrantID: 9, Cause: slots.Unused}))
		})
	}
}

// A request that a target shed must not lose its place or meet that target again.
func TestShedRequestKeepsAgeAndAvoidsTarget(t *testing.T) {
	v := view()
	v.Targets = append(v.Targets, target("t3", "a", 1))
	s := newScheduler(v)
	first := actionsOf[dispatch.Start](s.Submit(at(0), request(1, 0)))[0]
	second := actionsOf[dispatch.Start](s.RequestFinished(at(5*ms), 1, slots.Shed, true))
	require.Len(t, second, 1)
	assert.NotEqual(t, first.Target, second[0].Target)
	assert.Equal(t, at(0), second[0].Request.EnteredAt)
	assert.Equal(t, 1, second[0].Request.Attempts)
}

func TestRequestIsRefusedAfterMaxAttempts(t *testing.T) {
	v := view()
	for i := range dispatch.MaxAttempts {
		v.Targets = append(v.Targets, target(fmt.Sprint("x", i), "a", 1))
	}
	s := newScheduler(v)
	actions := s.Submit(at(0), request(1, 0))
	for range dispatch.MaxAttempts {
		require.Len(t, actionsOf[dispatch.Start](actions), 1)
		actions = s.RequestFinished(at(5*ms), 1, slots.ConnectFailed, true)
	}
	refused := actionsOf[dispatch.Refuse](actions)
	require.Len(t, refused, 1)
	assert.Equal(t, outcome.ReasonTargetFailed, refused[0].Reason)
}

func TestRefusalsAreTyped(t *testing.T) {
	cases := map[string]struct {
		prepare func(*dispatch.Scheduler)
		request dispatch.Request
		reason  outcome.Reason
	}{
		"unknown service": {func(*dispatch.Scheduler) {}, dispatch.Request{ID: 1, Service: "none", Deadline: at(time.Second)}, outcome.ReasonNoService},
		"deadline passed": {func(*dispatch.Scheduler) {}, dispatch.Request{ID: 1, Service: serviceName, EnteredAt: at(0), Deadline: at(0)}, outcome.ReasonDeadline},
		"wait too long here and there": {func(s *dispatch.Scheduler) {
			s.ReceiveLoad(at(0), peer, dispatch.ServiceLoad{Service: serviceName, Queued: 90, Busy: 2, Slots: 2, MeanHoldTime: 100 * ms})
			s.ReceiveLoad(at(0), remote, busySouth)
		}, request(1, 0), outcome.ReasonOverloaded},
		"queue full": {func(s *dispatch.Scheduler) {
			s.ReceiveLoad(at(0), remote, busySouth)
			for i := range 10 {
				s.Submit(at(0), request(uint64(i+10), 0))
			}
		}, request(1, 0), outcome.ReasonOverloaded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(view())
			occupyHomeSlots(t, s, 2)
			c.prepare(s)
			refused := actionsOf[dispatch.Refuse](s.Submit(at(1*ms), c.request))
			require.Len(t, refused, 1)
			assert.Equal(t, c.reason, refused[0].Reason)
			assert.False(t, refused[0].WasQueued)
		})
	}
}

func TestServiceWithoutTargetsRefusesRequests(t *testing.T) {
	v := view()
	v.Targets, v.Members = nil, []dispatch.Member{self, peer}
	refused := actionsOf[dispatch.Refuse](newScheduler(v).Submit(at(0), request(1, 0)))
	require.Len(t, refused, 1)
	assert.Equal(t, outcome.ReasonNoTarget, refused[0].Reason)
}

func TestQueuedRequestIsRefusedAfterMaxQueueTime(t *testing.T) {
	s := newScheduler(view())
	queueBehindBusySlots(t, s)
	require.Empty(t, actionsOf[dispatch.Refuse](s.Tick(at(509*ms))))
	refused := actionsOf[dispatch.Refuse](s.Tick(at(520 * ms)))
	require.Len(t, refused, 1)
	assert.True(t, refused[0].WasQueued)
	assert.Zero(t, s.Queued(serviceName))
}

// A service that operators remove must not leave its callers without an answer.
func TestRemovedServiceRefusesItsQueue(t *testing.T) {
	s := newScheduler(view())
	queueBehindBusySlots(t, s)
	v := view()
	v.Services, v.Targets = nil, nil
	refused := actionsOf[dispatch.Refuse](s.SetView(at(20*ms), v))
	require.Len(t, refused, 1)
	assert.Equal(t, outcome.ReasonNoService, refused[0].Reason)
}

// Guards against refusals in one region while others stand idle, when load
// reports stop and traffic is uneven.
func TestOverloadForwardsToLiveRegionWithoutReports(t *testing.T) {
	s := newScheduler(view())
	occupyHomeSlots(t, s, 2)
	s.ReceiveLoad(at(0), peer, dispatch.ServiceLoad{Service: serviceName, Queued: 90, Busy: 2, Slots: 2, MeanHoldTime: 100 * ms})
	forwarded := actionsOf[dispatch.Forward](s.Submit(at(1*ms), request(1, 0)))
	require.Len(t, forwarded, 1)
	assert.Equal(t, "south", forwarded[0].Region)
	again := request(2, 0)
	again.Hops = 1
	assert.Empty(t, actionsOf[dispatch.Forward](s.Submit(at(1*ms), again)))
}

var busySouth = dispatch.ServiceLoad{Service: serviceName, Queued: 90, Busy: 12, Slots: 12, MeanHoldTime: 100 * ms}

var idleSouth = dispatch.ServiceLoad{Service: serviceName, Slots: 12, MeanHoldTime: 100 * ms}

// makeNorthBusy makes the own region expect a wait of 200 ms.
func makeNorthBusy(t *testing.T, s *dispatch.Scheduler) {
	occupyHomeSlots(t, s, 2)
	s.ReceiveLoad(at(0), peer, dispatch.ServiceLoad{Service: serviceName, Queued: 7, Busy: 2, Slots: 2, MeanHoldTime: 100 * ms})
}

func TestRequestIsForwardedWhenItStartsEarlierThere(t *testing.T) {
	cases := map[string]struct {
		report dispatch.ServiceLoad
		from   dispatch.Member
		hops   int
		after  time.Duration
		region string
	}{
		"other region idle":        {idleSouth, remote, 0, 1 * ms, "south"},
		"forwarded before":         {idleSouth, remote, 1, 1 * ms, ""},
		"report too old":           {idleSouth, remote, 0, 600 * ms, ""},
		"other region busy":        {dispatch.ServiceLoad{Service: serviceName, Queued: 24, Busy: 12, Slots: 12, MeanHoldTime: 100 * ms}, remote, 0, 1 * ms, ""},
		"other region has no slot": {dispatch.ServiceLoad{Service: serviceName}, remote, 0, 1 * ms, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(view())
			s.ReceiveLoad(at(0), c.from, c.report)
			makeNorthBusy(t, s)
			r := request(1, c.after)
			r.Hops = c.hops
			forwarded := actionsOf[dispatch.Forward](s.Submit(at(c.after), r))
			if c.region == "" {
				assert.Empty(t, forwarded)
				return
			}
			require.Len(t, forwarded, 1)
			assert.Equal(t, c.region, forwarded[0].Region)
			assert.Equal(t, "z", forwarded[0].Instance)
			assert.Equal(t, 1, forwarded[0].Request.Hops)
		})
	}
}

// Between two reports, all instances of a region see the same idle region and
// must not send more there than it can start.
func TestForwardsBetweenReportsAreBounded(t *testing.T) {
	s := newScheduler(view())
	s.ReceiveLoad(at(0), remote, idleSouth)
	makeNorthBusy(t, s)
	count := 0
	for len(actionsOf[dispatch.Forward](s.Submit(at(1*ms), request(uint64(count), 1*ms)))) == 1 {
		count++
		require.Less(t, count, 100)
	}
	assert.Positive(t, count)
	// With n requests from each of the two instances, a further one waits
	// (2n + 1 - 12) / 12 x 100 ms there, plus 40 ms of transport. This must not
	// exceed the 200 ms here.
	assert.LessOrEqual(t, 40+(2*(count-1)+1-12)*100/12, 200)
}

func TestFrozenInstanceGrantsNothingUntilSetView(t *testing.T) {
	s := newScheduler(view())
	s.Tick(at(10 * ms))
	actions := s.Submit(at(5*time.Second), request(1, 5*time.Second))
	require.Len(t, actionsOf[dispatch.RefreshView](actions), 1)
	require.Empty(t, actionsOf[dispatch.Start](actions))
	require.Empty(t, actionsOf[dispatch.SendGrant](s.ReceiveWant(at(5*time.Second), want(1, 10*ms))))
	assert.NotEmpty(t, actionsOf[dispatch.Start](s.SetView(at(5*time.Second+ms), view())))
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	cases := map[string]func(*dispatch.Scheduler){
		"by an answer":         func(s *dispatch.Scheduler) { s.RequestFinished(at(5*ms), 100, slots.Leaving, false) },
		"by a peer's release":  func(s *dispatch.Scheduler) { s.ReceiveRelease(at(5*ms), "t1", 1<<32|1, slots.Leaving) },
		"by a probe":           func(s *dispatch.Scheduler) { s.TargetLeaving(at(5*ms), "t1") },
		"by the document only": func(s *dispatch.Scheduler) { v := view(); v.Targets[0].Leaving = true; s.SetView(at(5*ms), v) },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(view())
			occupyHomeSlots(t, s, 1)
			leave(s)
			s.ProbeSucceeded(at(6*ms), "t1")
			if name != "by the document only" {
				s.SetView(at(7*ms), view()) // A lagging document does not undo it.
			}
			assert.Empty(t, actionsOf[dispatch.Start](s.Submit(at(8*ms), request(1, 8*ms))))
		})
	}
}

func TestTargetReturnsWhenViewNoLongerMarksItLeaving(t *testing.T) {
	s := newScheduler(view())
	v := view()
	v.Targets[0].Leaving = true
	s.SetView(at(1*ms), v)
	s.SetView(at(2*ms), view())
	assert.Len(t, actionsOf[dispatch.Start](s.Submit(at(3*ms), request(1, 3*ms))), 1)
}

func TestCrashedTargetIsProbedUntilItResponds(t *testing.T) {
	s := newScheduler(view())
	occupyHomeSlots(t, s, 1)
	require.Len(t, actionsOf[dispatch.Probe](s.RequestFinished(at(1*ms), 100, slots.Crashed, false)), 1)
	require.Empty(t, actionsOf[dispatch.Start](s.Submit(at(2*ms), request(1, 2*ms))))
	require.Len(t, actionsOf[dispatch.Probe](s.Tick(at(200*ms))), 1)
	assert.Len(t, actionsOf[dispatch.Start](s.ProbeSucceeded(at(201*ms), "t1")), 1)
}

// The new home assumes the slots of the old home busy, so the release of a
// running request must reach the new home.
func TestReleaseGoesToTheCurrentHome(t *testing.T) {
	s := newScheduler(view())
	w := queueBehindBusySlots(t, s)
	s.ReceiveGrant(at(12*ms), grantOf(w))
	v := view()
	v.Targets[1].Home = "c"
	s.SetView(at(20*ms), v)
	released := actionsOf[dispatch.SendRelease](s.RequestFinished(at(100*ms), 1, slots.Answered, false))
	require.Len(t, released, 1)
	assert.Equal(t, "c", released[0].To)
}

// After its expiry the home has counted the slot as free; at a new home the
// release would free the slot of another request.
func TestExpiredSlotIsNotReleased(t *testing.T) {
	s := newScheduler(view())
	s.ReceiveGrant(at(12*ms), grantOf(queueBehindBusySlots(t, s)))
	for now := 13 * ms; now < 3500*ms; now += 500 * ms {
		s.Tick(at(now))
	}
	assert.Empty(t, actionsOf[dispatch.SendRelease](s.RequestFinished(at(3600*ms), 1, slots.TimedOut, false)))
}

func TestLoadsGoToPeersAndToOtherRegions(t *testing.T) {
	s := newScheduler(view())
	occupyHomeSlots(t, s, 2)
	s.ReceiveLoad(at(1*ms), peer, dispatch.ServiceLoad{Service: serviceName, Queued: 3, Busy: 2, Slots: 2, MeanHoldTime: 100 * ms})
	loads := actionsOf[dispatch.SendLoad](s.Tick(at(50 * ms)))
	require.Len(t, loads, 2)
	assert.Equal(t, "b", loads[0].To)
	assert.Equal(t, 2, loads[0].Load.Busy)
	assert.Equal(t, "z", loads[1].To)
	assert.Equal(t, 4, loads[1].Load.Busy)
	assert.Equal(t, 3, loads[1].Load.Queued)
}
