package scheduling

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/ring"
	"github.com/jacinthstall/jacinthstall/slots"
)

// maxEvents bounds the events that wait for the scheduler.
const maxEvents = 8192

// Peers sends messages to other instances. Its methods must not block.
type Peers interface {
	SendWant(dispatch.SendWant)
	// SendGrant calls undelivered when the peer certainly did not get the grant.
	SendGrant(g dispatch.SendGrant, undelivered func())
	SendRelease(dispatch.SendRelease)
	SendLoad(dispatch.SendLoad)
	SendHandOff(dispatch.SendHandOff)
	// Flush follows the messages of each event, so that loads for one peer can
	// share a message.
	Flush()
}

// Hooks connect a Runner to its instance. They are called by the scheduler's
// goroutine and must not block.
type Hooks struct {
	// Decided sees each action before it is carried out, for the log.
	Decided func(dispatch.Action)
	// Probe starts a probe of a target; a good one is reported with Probed.
	Probe func(target string)
	// Refresh reads the member table and the list of instances again, then
	// calls SetView.
	Refresh func()
}

// Runner runs a scheduler. Its methods are safe for concurrent use.
type Runner struct {
	scheduler *dispatch.Scheduler
	peers     Peers
	hooks     Hooks
	events    *ring.Ring[event]
	waiting   map[uint64]chan<- dispatch.Action // Owned by Run.
	ids       atomic.Uint64
	ended     chan struct{} // Closed when Run has ended.
}

// event changes the scheduler. It runs in the goroutine of Run.
type event func(now time.Time) []dispatch.Action

// New returns a runner; Run must be started before its other methods are used.
func New(s *dispatch.Scheduler, peers Peers, hooks Hooks) *Runner {
	return &Runner{scheduler: s, peers: peers, hooks: hooks, events: ring.New[event](maxEvents),
		waiting: map[uint64]chan<- dispatch.Action{}, ended: make(chan struct{})}
}

// Run carries out events until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.ended)
	go r.tick(ctx)
	for {
		e, ok := r.events.Pop(ctx)
		if !ok {
			r.events.Close()
			return
		}
		r.carryOut(e(time.Now()))
	}
}

// tick queues one tick an interval. A full ring drops it; the events in the
// ring drive the scheduler then.
func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.events.TryPush(r.scheduler.Tick)
		}
	}
}

// Acquire submits a request and waits for its decision, which is a
// dispatch.Start, dispatch.Forward or dispatch.Refuse. The runner sets the
// request's ID. When ctx ends first, the request is withdrawn and refused.
func (r *Runner) Acquire(ctx context.Context, request dispatch.Request) dispatch.Action {
	request.ID = r.ids.Add(1)
	decision := make(chan dispatch.Action, 1)
	submitted := r.events.TryPush(func(now time.Time) []dispatch.Action {
		r.waiting[request.ID] = decision
		return r.scheduler.Arrive(now, request)
	})
	if !submitted {
		return dispatch.Refuse{Request: request, Reason: outcome.ReasonOverloaded}
	}
	select {
	case action := <-decision:
		return action
	case <-ctx.Done():
		return r.withdraw(ctx, request, decision)
	case <-r.ended:
		return dispatch.Refuse{Request: request, Reason: outcome.ReasonStopping}
	}
}

// withdraw takes a request back. A slot that was granted meanwhile is returned.
func (r *Runner) withdraw(ctx context.Context, request dispatch.Request, decision <-chan dispatch.Action) dispatch.Action {
	withdrawn := make(chan struct{})
	queued := r.events.Push(context.WithoutCancel(ctx), func(now time.Time) []dispatch.Action {
		defer close(withdrawn)
		actions, _ := r.scheduler.Cancel(now, request.Service, request.ID)
		delete(r.waiting, request.ID)
		return actions
	})
	reason := outcome.ReasonCanceled
	if ctx.Err() == context.DeadlineExceeded {
		reason = outcome.ReasonDeadline
	}
	refusal := dispatch.Refuse{Request: request, Reason: reason}
	if !queued {
		return refusal
	}
	select {
	case <-withdrawn:
	case <-r.ended:
		return refusal
	}
	select {
	case action := <-decision:
		if start, ok := action.(dispatch.Start); ok {
			r.Finished(start.Request.ID, slots.Unused)
		}
	default:
	}
	return refusal
}

// Finished reports the end of a started request.
func (r *Runner) Finished(id uint64, cause slots.Cause) {
	r.push(func(now time.Time) []dispatch.Action { return r.scheduler.Finished(now, id, cause, false) })
}

// push waits for room.
func (r *Runner) push(e event) { r.events.Push(context.Background(), e) }

// Wanted takes a peer's want.
func (r *Runner) Wanted(w dispatch.Want) {
	r.events.TryPush(func(now time.Time) []dispatch.Action { return r.scheduler.Wanted(now, w) })
}

// LoadReported takes a peer's load.
func (r *Runner) LoadReported(from dispatch.Member, load dispatch.Load) {
	r.events.TryPush(func(now time.Time) []dispatch.Action { return r.scheduler.LoadReported(now, from, load) })
}

// Granted takes a slot from a peer.
func (r *Runner) Granted(g dispatch.Grant) {
	r.push(func(now time.Time) []dispatch.Action { return r.scheduler.Granted(now, g) })
}

// Released takes a slot back from a peer.
func (r *Runner) Released(target string, grant uint64, cause slots.Cause) {
	r.push(func(now time.Time) []dispatch.Action { return r.scheduler.Released(now, target, grant, cause) })
}

// HandedOff takes the count of slots in use from the previous home of a target.
func (r *Runner) HandedOff(h dispatch.HandOff) {
	r.push(func(now time.Time) []dispatch.Action { return r.scheduler.HandedOff(now, h) })
}

// PeerSilent drops the wants of a peer that does not answer.
func (r *Runner) PeerSilent(peer string) {
	r.events.TryPush(func(now time.Time) []dispatch.Action { return r.scheduler.PeerSilent(now, peer) })
}

// TargetLeaving takes the news that a target is leaving.
func (r *Runner) TargetLeaving(target string) {
	r.push(func(now time.Time) []dispatch.Action { return r.scheduler.TargetLeaving(now, target) })
}

// Probed takes the news that a target answers again.
func (r *Runner) Probed(target string) {
	r.push(func(now time.Time) []dispatch.Action { return r.scheduler.ProbeSucceeded(now, target) })
}

// maxViewAge is the age at which a view is not used any more. It is below
// dispatch.FreezeAfter, so that a view from before a freeze never ends the
// suspension that follows it.
const maxViewAge = dispatch.FreezeAfter / 2

// SetView replaces the scheduler's view. A view that waited longer than
// maxViewAge since it was built is dropped. Done is told whether it was applied.
func (r *Runner) SetView(v dispatch.View, built time.Time, done func(applied bool)) {
	r.push(func(now time.Time) []dispatch.Action {
		if now.Sub(built) > maxViewAge {
			done(false)
			return nil
		}
		defer done(true)
		return r.scheduler.SetView(now, v)
	})
}

func (r *Runner) carryOut(actions []dispatch.Action) {
	for _, action := range actions {
		if r.hooks.Decided != nil {
			r.hooks.Decided(action)
		}
		switch a := action.(type) {
		case dispatch.Start:
			r.decide(a.Request.ID, a)
		case dispatch.Forward:
			r.decide(a.Request.ID, a)
		case dispatch.Refuse:
			r.decide(a.Request.ID, a)
		case dispatch.SendWant:
			r.peers.SendWant(a)
		case dispatch.SendGrant:
			r.peers.SendGrant(a, func() { r.Released(a.Target, a.Grant, slots.Unused) })
		case dispatch.SendRelease:
			r.peers.SendRelease(a)
		case dispatch.SendLoad:
			r.peers.SendLoad(a)
		case dispatch.SendHandOff:
			r.peers.SendHandOff(a)
		case dispatch.Probe:
			r.hooks.Probe(a.Target)
		case dispatch.Refresh:
			r.hooks.Refresh()
		}
	}
	if len(actions) > 0 {
		r.peers.Flush()
	}
}

// decide answers the waiting request. One that was withdrawn meanwhile is no
// longer in the scheduler's queue, so that only a decision of the same batch
// can miss its request.
func (r *Runner) decide(id uint64, action dispatch.Action) {
	waiting, ok := r.waiting[id]
	if !ok {
		return
	}
	delete(r.waiting, id)
	waiting <- action
}
