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

// eventQueueCapacity bounds the events that wait for the scheduler.
const eventQueueCapacity = 8192

// PeerSender sends messages to other instances. Its methods must not block.
type PeerSender interface {
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
	// OnAction sees each action before it is carried out, for the log.
	OnAction func(dispatch.Action)
	// StartProbe starts a probe of a target; a good one is reported with Probed.
	StartProbe func(target string)
	// RefreshView reads the member table and the list of instances again, then
	// calls SetView.
	RefreshView func()
}

// Runner runs a scheduler. Its methods are safe for concurrent use.
type Runner struct {
	scheduler *dispatch.Scheduler
	peers     PeerSender
	hooks     Hooks
	events    *ring.Ring[event]
	undecided map[uint64]chan<- dispatch.Action // Owned by Run.
	lastID    atomic.Uint64
	done      chan struct{} // Closed when Run has ended.
}

// event changes the scheduler. It runs in the goroutine of Run.
type event func(now time.Time) []dispatch.Action

// New returns a runner; Run must be started before its other methods are used.
func New(s *dispatch.Scheduler, peers PeerSender, hooks Hooks) *Runner {
	return &Runner{scheduler: s, peers: peers, hooks: hooks, events: ring.New[event](eventQueueCapacity),
		undecided: map[uint64]chan<- dispatch.Action{}, done: make(chan struct{})}
}

// Run carries out events until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.done)
	go r.queueTicks(ctx)
	for {
		e, ok := r.events.Pop(ctx)
		if !ok {
			r.events.Close()
			return
		}
		r.perform(e(time.Now()))
	}
}

// queueTicks queues one tick an interval. A full ring drops it; the events in the
// ring drive the scheduler then.
func (r *Runner) queueTicks(ctx context.Context) {
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
	request.ID = r.lastID.Add(1)
	decision := make(chan dispatch.Action, 1)
	submitted := r.events.TryPush(func(now time.Time) []dispatch.Action {
		r.undecided[request.ID] = decision
		return r.scheduler.Submit(now, request)
	})
	if !submitted {
		return dispatch.Refuse{Request: request, Reason: outcome.ReasonOverloaded}
	}
	select {
	case action := <-decision:
		return action
	case <-ctx.Done():
		return r.cancelRequest(ctx, request, decision)
	case <-r.done:
		return dispatch.Refuse{Request: request, Reason: outcome.ReasonStopping}
	}
}

// cancelRequest takes a request back. A slot that was granted meanwhile is returned.
func (r *Runner) cancelRequest(ctx context.Context, request dispatch.Request, decision <-chan dispatch.Action) dispatch.Action {
	withdrawn := make(chan struct{})
	queued := r.events.Push(context.WithoutCancel(ctx), func(now time.Time) []dispatch.Action {
		defer close(withdrawn)
		actions, _ := r.scheduler.Cancel(now, request.Service, request.ID)
		delete(r.undecided, request.ID)
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
	case <-r.done:
		return refusal
	}
	select {
	case action := <-decision:
		if start, ok := action.(dispatch.Start); ok {
			r.RequestFinished(start.Request.ID, slots.Unused)
		}
	default:
	}
	return refusal
}

// RequestFinished reports the end of a started request.
func (r *Runner) RequestFinished(id uint64, cause slots.ReleaseCause) {
	r.enqueue(func(now time.Time) []dispatch.Action { return r.scheduler.RequestFinished(now, id, cause, false) })
}

// enqueue waits for room.
func (r *Runner) enqueue(e event) { r.events.Push(context.Background(), e) }

// ReceiveWant takes a peer's want.
func (r *Runner) ReceiveWant(w dispatch.Want) {
	r.events.TryPush(func(now time.Time) []dispatch.Action { return r.scheduler.ReceiveWant(now, w) })
}

// ReceiveLoad takes a peer's load.
func (r *Runner) ReceiveLoad(from dispatch.Member, load dispatch.ServiceLoad) {
	r.events.TryPush(func(now time.Time) []dispatch.Action { return r.scheduler.ReceiveLoad(now, from, load) })
}

// ReceiveGrant takes a slot from a peer.
func (r *Runner) ReceiveGrant(g dispatch.Grant) {
	r.enqueue(func(now time.Time) []dispatch.Action { return r.scheduler.ReceiveGrant(now, g) })
}

// ReceiveRelease takes a slot back from a peer.
func (r *Runner) ReceiveRelease(target string, grant uint64, cause slots.ReleaseCause) {
	r.enqueue(func(now time.Time) []dispatch.Action { return r.scheduler.ReceiveRelease(now, target, grant, cause) })
}

// ReceiveHandOff takes the count of slots in use from the previous home of a target.
func (r *Runner) ReceiveHandOff(h dispatch.HandOff) {
	r.enqueue(func(now time.Time) []dispatch.Action { return r.scheduler.ReceiveHandOff(now, h) })
}

// PeerUnresponsive drops the wants of a peer that does not answer.
func (r *Runner) PeerUnresponsive(peer string) {
	r.events.TryPush(func(now time.Time) []dispatch.Action { return r.scheduler.PeerUnresponsive(now, peer) })
}

// TargetLeaving takes the news that a target is leaving.
func (r *Runner) TargetLeaving(target string) {
	r.enqueue(func(now time.Time) []dispatch.Action { return r.scheduler.TargetLeaving(now, target) })
}

// ProbeSucceeded takes the news that a target answers again.
func (r *Runner) ProbeSucceeded(target string) {
	r.enqueue(func(now time.Time) []dispatch.Action { return r.scheduler.ProbeSucceeded(now, target) })
}

// maxViewAge is the age at which a view is not used any more. It is below
// dispatch.FreezeThreshold, so that a view from before a freeze never ends the
// suspension that follows it.
const maxViewAge = dispatch.FreezeThreshold / 2

// SetView replaces the scheduler's view. A view that waited longer than
// maxViewAge since it was built is dropped. Done is told whether it was applied.
func (r *Runner) SetView(v dispatch.View, built time.Time, done func(applied bool)) {
	r.enqueue(func(now time.Time) []dispatch.Action {
		if now.Sub(built) > maxViewAge {
			done(false)
			return nil
		}
		defer done(true)
		return r.scheduler.SetView(now, v)
	})
}

func (r *Runner) perform(actions []dispatch.Action) {
	for _, action := range actions {
		if r.hooks.OnAction != nil {
			r.hooks.OnAction(action)
		}
		switch a := action.(type) {
		case dispatch.Start:
			r.deliverDecision(a.Request.ID, a)
		case dispatch.Forward:
			r.deliverDecision(a.Request.ID, a)
		case dispatch.Refuse:
			r.deliverDecision(a.Request.ID, a)
		case dispatch.SendWant:
			r.peers.SendWant(a)
		case dispatch.SendGrant:
			r.peers.SendGrant(a, func() { r.ReceiveRelease(a.Target, a.GrantID, slots.Unused) })
		case dispatch.SendRelease:
			r.peers.SendRelease(a)
		case dispatch.SendLoad:
			r.peers.SendLoad(a)
		case dispatch.SendHandOff:
			r.peers.SendHandOff(a)
		case dispatch.Probe:
			r.hooks.StartProbe(a.Target)
		case dispatch.RefreshView:
			r.hooks.RefreshView()
		}
	}
	if len(actions) > 0 {
		r.peers.Flush()
	}
}

// deliverDecision answers the waiting request. One that was withdrawn meanwhile is no
// longer in the scheduler's queue, so that only a decision of the same batch
// can miss its request.
func (r *Runner) deliverDecision(id uint64, action dispatch.Action) {
	waiting, ok := r.undecided[id]
	if !ok {
		return
	}
	delete(r.undecided, id)
	waiting <- action
}
