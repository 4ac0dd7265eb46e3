package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	// stopMargin is added to the longest deadline of a request.
	stopMargin        = 5 * time.Second
	drainPollInterval = 5 * time.Millisecond
	// closeGrace is the time for the last bytes of responses to be sent and for
	// idle connections to close, once no request is in flight.
	closeGrace = 250 * time.Millisecond
	// lastConnectionsGrace is the time for handshakes in progress and for the
	// first requests on the last connections, before new connections are
	// refused.
	lastConnectionsGrace = 250 * time.Millisecond
	// maxNearestPeers bounds the instances that are informed of a planned stop
	// directly.
	maxNearestPeers = 16
)

// stop shuts the instance down without interrupting a request. It announces
// that the instance is leaving, serves until cached look-up responses have
// expired, refuses new connections, serves the open ones until no request is in
// flight, hands the idempotency records over, closes the listeners and completes
// the requests that arrived meanwhile.
func (inst *Instance) stop(listener *callerListener, callers, operators *server.Hertz) error {
	inst.fireTrigger("stop")
	if inst.skipDrain {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), inst.stopTimeout())
	defer cancel()
	inst.announceLeaving(ctx)
	sleep(ctx, inst.lookupTTL())
	inst.fireTrigger("lookups-expired")
	inst.refuseConnections(ctx, listener)
	inst.drain(ctx)
	inst.handOver(ctx)
	closing, end := context.WithTimeout(context.Background(), closeGrace)
	defer end()
	// Reaching closeGrace is not an error: only idle connections are left.
	_ = callers.Shutdown(closing)
	_ = operators.Shutdown(closing)
	// Requests on open connections, and those that peers relay, may have arrived
	// since.
	inst.drain(ctx)
	inst.forwarder.Close()
	_ = inst.peers.Close()
	inst.fireTrigger("drained")
	return nil
}

// fireTrigger makes a transition of the instance's state chart. A transition
// that the chart does not permit is a programming error; it is logged and has
// no effect.
func (inst *Instance) fireTrigger(trigger string) {
	if err := inst.stateMachine.Fire(trigger); err != nil {
		inst.log.WithError(err).Error("state chart does not permit the transition")
	}
}

// onStateChange is called after each transition.
func (inst *Instance) onStateChange(_, _, to string) {
	switch to {
	case "serving":
		inst.events.Emit(events.InstanceStarted, log.Fields{"incarnation": inst.incarnation})
	case "leaving":
		inst.leaving.Store(true)
		inst.events.Emit(events.InstanceLeaving, log.Fields{})
	case "stopped":
		inst.events.Emit(events.InstanceStopped, log.Fields{"cut": inst.inFlight.Load()})
	}
}

// announceLeaving informs the nearest peers directly, so that their look-up
// responses no longer name this instance; heartbeats inform the others. The
// lifetime of cached look-up responses starts when it returns.
func (inst *Instance) announceLeaving(ctx context.Context) {
	inst.lookupService.waiters.Stop()
	inst.members.changeSelf(func(u *membership.Update) { u.State = membership.Leaving })
	var wait sync.WaitGroup
	for _, m := range inst.nearestPeers() {
		wait.Go(func() { _, _ = inst.exchangeState(ctx, m) })
	}
	wait.Wait()
}

// nearestPeers returns at most maxNearestPeers usable instances: those of the
// same failure domain first, then those of the same region.
func (inst *Instance) nearestPeers() []membership.Member {
	var list []membership.Member
	for _, m := range inst.members.view().Members {
		if m.Name != inst.settings.Name && m.Usable() {
			list = append(list, m)
		}
	}
	rank := func(m membership.Member) int {
		switch {
		case m.Domain == inst.settings.Domain:
			return 0
		case m.Region == inst.settings.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(list, func(a, b membership.Member) int { return rank(a) - rank(b) })
	return list[:min(len(list), maxNearestPeers)]
}

// exchangeState sends a heartbeat to an instance and returns the state in its
// response.
func (inst *Instance) exchangeState(ctx context.Context, member membership.Member) (*peerpb.MemberUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response, err := inst.peers.Client(ctx, member.PeerAddress).Heartbeat(ctx, &peerpb.HeartbeatRequest{
		From: MemberMessage(inst.members.self()), ConfigVersion: inst.configVersion()})
	return response.GetFrom(), err
}

func (inst *Instance) lookupTTL() time.Duration {
	if document := inst.document.Load(); document != nil {
		return document.Timing.LookupTTL()
	}
	return time.Second
}

// stopTimeout bounds a planned stop. Every request that is in flight when the
// stop begins, or that arrives before cached look-up responses expire, ends
// within it.
func (inst *Instance) stopTimeout() time.Duration {
	longest := time.Duration(0)
	if document := inst.document.Load(); document != nil {
		longest = document.Timing.MaxDeadline()
	}
	return longest + inst.lookupTTL() + stopMargin
}

// refuseConnections refuses new connections, so that callers that use the
// instance for longer than a look-up response is valid cannot prolong the
// drain.
func (inst *Instance) refuseConnections(ctx context.Context, l *callerListener) {
	if err := l.dropNew(); err != nil {
		inst.log.WithError(err).Warn("cannot drop new connections before refusing them")
	}
	sleep(ctx, lastConnectionsGrace)
	l.refuseNew()
}

func (inst *Instance) drain(ctx context.Context) {
	for inst.inFlight.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
}
