package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/gateway"
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
	n.events.Emit(events.NodeStopping, log.Fields{"inFlight": n.inFlight(), "connections": n.server.Connections()})
	n.fire("stop")
	n.exchange.Leave()
	for _, server := range n.servers() {
		server.Drain()
	}
	go n.unregister(ctx)
	n.waitUntil(started.Add(idleTime), end, func() bool { return false })
	n.closeIdle()
	n.waitUntil(started.Add(leaveTime), end, func() bool { return false })
	for _, server := range n.servers() {
		server.StopAccepting()
	}
	n.closeIdle()
	n.fire("lookups-expired")
	n.waitUntil(end, end, func() bool { return n.inFlight() == 0 && n.connections() == 0 })
	cut := int64(0)
	for _, server := range n.servers() {
		cut += server.CloseAll()
	}
	n.fire("drained")
	n.forward.Close()
	n.relays.Close()
	n.events.Emit(events.NodeStopped, log.Fields{"cut": cut, "tookMs": time.Since(started).Milliseconds()})
}

// servers returns the servers of requests: those of callers, and those of other
// instances if there are any.
func (n *Node) servers() []*gateway.Server {
	if n.relay == nil {
		return []*gateway.Server{n.server}
	}
	return []*gateway.Server{n.server, n.relay}
}

func (n *Node) closeIdle() {
	for _, server := range n.servers() {
		server.CloseIdle()
	}
}

func (n *Node) inFlight() int64 {
	sum := int64(0)
	for _, server := range n.servers() {
		sum += server.InFlight()
	}
	return sum
}

func (n *Node) connections() int {
	sum := 0
	for _, server := range n.servers() {
		sum += server.Connections()
	}
	return sum
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
