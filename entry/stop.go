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
	// closeGrace is left for the last bytes of answers and for idle
	// connections, once no request is in flight.
	closeGrace = 250 * time.Millisecond
	// lastConnectionsGrace is left for handshakes under way and for the first
	// requests on the last connections, before new ones are refused.
	lastConnectionsGrace = 250 * time.Millisecond
	// maxNearestPeers bounds the instances that are told of a planned stop directly.
	maxNearestPeers = 16
)

// stop ends the instance without cutting a request: it announces that it is
// leaving, serves until cached look-up answers have expired, takes no more
// connections, serves those that are open until no request is in flight, hands
// its records over and closes its listeners.
func (in *Instance) stop(listener *callerListener, callers, operators *server.Hertz) error {
	in.fireTrigger("stop")
	if in.skipDrain {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), in.stopTimeout())
	defer cancel()
	in.announceLeaving(ctx)
	sleep(ctx, in.lookupTTL())
	in.fireTrigger("lookups-expired")
	in.refuseConnections(ctx, listener)
	in.drain(ctx)
	in.handOver(ctx)
	closing, end := context.WithTimeout(context.Background(), closeGrace)
	defer end()
	// The end of closeGrace is no failure: what is left are idle connections.
	_ = callers.Shutdown(closing)
	_ = operators.Shutdown(closing)
	in.forwarder.Close()
	_ = in.peers.Close()
	in.fireTrigger("drained")
	return nil
}

// fireTrigger follows a transition of the instance's state chart. One that the chart
// does not permit is a fault in the program; it is logged and changes nothing.
func (in *Instance) fireTrigger(trigger string) {
	if err := in.stateMachine.Fire(trigger); err != nil {
		in.log.WithError(err).Error("state chart")
	}
}

// onStateChange runs after each transition.
func (in *Instance) onStateChange(_, _, to string) {
	switch to {
	case "serving":
		in.events.Emit(events.InstanceStarted, log.Fields{"incarnation": in.incarnation})
	case "leaving":
		in.leaving.Store(true)
		in.events.Emit(events.InstanceLeaving, log.Fields{})
	case "stopped":
		in.events.Emit(events.InstanceStopped, log.Fields{"cut": in.inFlight.Load()})
	}
}

// announceLeaving tells the nearest instances at once, so that their look-up answers
// do not name this one any more; heartbeats tell the others. Its end is the
// start of the look-up lifetime.
func (in *Instance) announceLeaving(ctx context.Context) {
	in.lookupService.waiters.Stop()
	in.members.changeSelf(func(u *membership.Update) { u.State = membership.Leaving })
	var wait sync.WaitGroup
	for _, m := range in.nearestPeers() {
		wait.Go(func() { _, _ = in.exchangeState(ctx, m) })
	}
	wait.Wait()
}

// nearestPeers returns at most maxNearest usable instances, those of the own domain
// first, then those of the own region.
func (in *Instance) nearestPeers() []membership.Member {
	var list []membership.Member
	for _, m := range in.members.view().Members {
		if m.Name != in.settings.Name && m.Usable() {
			list = append(list, m)
		}
	}
	rank := func(m membership.Member) int {
		switch {
		case m.Domain == in.settings.Domain:
			return 0
		case m.Region == in.settings.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(list, func(a, b membership.Member) int { return rank(a) - rank(b) })
	return list[:min(len(list), maxNearestPeers)]
}

// exchangeState exchanges a heartbeat with an instance and returns its state.
func (in *Instance) exchangeState(ctx context.Context, m membership.Member) (*peerpb.MemberUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := in.peers.Client(ctx, m.PeerAddress).Heartbeat(ctx, &peerpb.HeartbeatRequest{
		From: MemberMessage(in.members.self()), ConfigVersion: in.configVersion()})
	return answer.GetFrom(), err
}

func (in *Instance) lookupTTL() time.Duration {
	if d := in.document.Load(); d != nil {
		return d.Timing.LookupTTL()
	}
	return time.Second
}

// stopTimeout bounds a planned stop. Every request that is in flight when it
// begins, or that arrives before cached look-up answers expire, ends before.
func (in *Instance) stopTimeout() time.Duration {
	longest := time.Duration(0)
	if d := in.document.Load(); d != nil {
		longest = d.Timing.MaxDeadline()
	}
	return longest + in.lookupTTL() + stopMargin
}

// refuseConnections ends the arrival of connections, so that callers that use
// the instance longer than a look-up answer is valid cannot prolong the drain.
func (in *Instance) refuseConnections(ctx context.Context, l *callerListener) {
	if err := l.dropNew(); err != nil {
		in.log.WithError(err).Warn("new connections are not held back before they are refused")
	}
	sleep(ctx, lastConnectionsGrace)
	l.refuseNew()
}

func (in *Instance) drain(ctx context.Context) {
	for in.inFlight.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
}
