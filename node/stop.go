package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/gateway"
)

const (
	// lateAcceptTime is how long new connections are still accepted after the
	// instance was taken out of look-up answers. Callers that keep an answer
	// three times as long as told have left then.
	lateAcceptTime = 3 * lookupTTL
	// idleConnectionTime is how long idle connections stay after that began.
	idleConnectionTime = 1500 * time.Millisecond
	// processExitMargin is left of the deployment's time for a stop, for the end of
	// the process itself.
	processExitMargin = 400 * time.Millisecond
	// defaultStopTimeout is used when the deployment does not tell.
	defaultStopTimeout = 10 * time.Second
	stopPollInterval   = 20 * time.Millisecond
)

// stop leaves the look-up answers, serves until callers have gone elsewhere
// and all requests are answered.
func (n *Node) stop(ctx context.Context) {
	started := time.Now()
	grace := n.settings.Bounds.GracePeriod
	if grace <= 0 {
		grace = defaultStopTimeout
	}
	end := started.Add(grace - processExitMargin)
	n.events.Emit(events.NodeStopping, log.Fields{"inFlight": n.inFlight(), "connections": n.callerServer.Connections()})
	n.fire("stop")
	n.exchange.Leave()
	for _, server := range n.requestServers() {
		server.Drain()
	}
	go n.unregister(ctx)
	n.waitUntil(started.Add(idleConnectionTime), end, func() bool { return false })
	n.closeIdleConnections()
	n.waitUntil(started.Add(lateAcceptTime), end, func() bool { return false })
	for _, server := range n.requestServers() {
		server.StopAccepting()
	}
	n.closeIdleConnections()
	n.fire("lookups-expired")
	n.waitUntil(end, end, func() bool { return n.inFlight() == 0 && n.connections() == 0 })
	cut := int64(0)
	for _, server := range n.requestServers() {
		cut += server.CloseAll()
	}
	n.fire("drained")
	n.forwarder.Close()
	n.relayForwarder.Close()
	n.events.Emit(events.NodeStopped, log.Fields{"cut": cut, "tookMs": time.Since(started).Milliseconds()})
}

// requestServers returns the servers of requests: those of callers, and those of other
// instances if there are any.
func (n *Node) requestServers() []*gateway.Server {
	if n.relayServer == nil {
		return []*gateway.Server{n.callerServer}
	}
	return []*gateway.Server{n.callerServer, n.relayServer}
}

func (n *Node) closeIdleConnections() {
	for _, server := range n.requestServers() {
		server.CloseIdle()
	}
}

func (n *Node) inFlight() int64 {
	sum := int64(0)
	for _, server := range n.requestServers() {
		sum += server.InFlight()
	}
	return sum
}

func (n *Node) connections() int {
	sum := 0
	for _, server := range n.requestServers() {
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
		time.Sleep(stopPollInterval)
	}
}
