package entry

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/jacinthstall/jacinthstall/events"
)

const (
	// stopMargin is added to the longest deadline of a request.
	stopMargin = 5 * time.Second
	drainPoll  = 5 * time.Millisecond
	// closeGrace is left for the last bytes of answers and for idle
	// connections, once no request is in flight.
	closeGrace = 250 * time.Millisecond
)

// stop ends the instance without cutting a request: it announces that it is
// leaving, serves until cached look-up answers have expired and no request is
// in flight, hands its records over and closes its listeners.
func (in *Instance) stop(callers, operators *server.Hertz) error {
	in.fire("stop")
	if in.stopAtOnce {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), in.stopTimeout())
	defer cancel()
	in.announce(ctx)
	pause(ctx, in.lookupTTL())
	in.fire("lookups-expired")
	in.drain(ctx)
	in.handOver(ctx)
	closing, end := context.WithTimeout(context.Background(), closeGrace)
	defer end()
	// The end of closeGrace is no failure: what is left are idle connections.
	_ = callers.Shutdown(closing)
	_ = operators.Shutdown(closing)
	in.forwarder.Close()
	_ = in.peers.Close()
	in.fire("drained")
	return nil
}

// fire follows a transition of the instance's state chart. One that the chart
// does not permit is a fault in the program; it is logged and changes nothing.
func (in *Instance) fire(trigger string) {
	if err := in.life.Fire(trigger); err != nil {
		in.log.WithError(err).Error("state chart")
	}
}

// lifeChanged runs after each transition.
func (in *Instance) lifeChanged(_, _, to string) {
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

// announce tells the other instances at once, so that their look-up answers do
// not name this one any more. Its end is the start of the look-up lifetime.
func (in *Instance) announce(ctx context.Context) {
	var wait sync.WaitGroup
	for name, address := range in.members.addresses() {
		wait.Go(func() { in.heartbeat(ctx, name, address) })
	}
	wait.Wait()
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

func (in *Instance) drain(ctx context.Context) {
	for in.inFlight.Load() > 0 && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
}
