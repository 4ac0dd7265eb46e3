package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

const (
	// leaveTime is how long new connections are still accepted after the
	// instance was taken out of look-up answers. Callers that keep an answer
	// three times as long as told have left then.
	leaveTime = 3 * lookupTTL
	// idleTime is how long idle connections stay after that began.
	idleTime = 1500 * time.Millisecond
	// graceMargin is left of the deployment's time for a stop, for the end of
	// the process itself.
	graceMargin = 400 * time.Millisecond
	// defaultGrace is used when the deployment does not tell.
	defaultGrace = 10 * time.Second
	stopPoll     = 20 * time.Millisecond
)

// stop leaves the look-up answers, serves until callers have gone elsewhere
// and all requests are answered.
func (n *Node) stop(ctx context.Context) {
	started := time.Now()
	grace := n.settings.Bounds.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	end := started.Add(grace - graceMargin)
	n.events.Emit(events.NodeStopping, log.Fields{"inFlight": n.server.InFlight(), "connections": n.server.Connections()})
	n.fire("stop")
	n.exchange.Leave()
	n.server.Drain()
	go n.unregister(ctx)
	n.waitUntil(started.Add(idleTime), end, func() bool { return false })
	n.server.CloseIdle()
	n.waitUntil(started.Add(leaveTime), end, func() bool { return false })
	n.server.Refuse()
	n.server.CloseIdle()
	n.fire("lookups-expired")
	n.waitUntil(end, end, func() bool { return n.server.InFlight() == 0 && n.server.Connections() == 0 })
	cut := n.server.Cut()
	n.fire("drained")
	n.forward.Close()
	n.events.Emit(events.NodeStopped, log.Fields{"cut": cut, "tookMs": time.Since(started).Milliseconds()})
}

// waitUntil waits until a time or until done, but not beyond end.
func (n *Node) waitUntil(until, end time.Time, done func() bool) {
	if until.After(end) {
		until = end
	}
	for time.Now().Before(until) && !done() {
		time.Sleep(stopPoll)
	}
}
