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
func (node *Node) stop(ctx context.Context) {
	started := time.Now()
	grace := node.settings.Bounds.Grace
	if grace <= 0 {
		grace = defaultStopTimeout
	}
	end := started.Add(grace - processExitMargin)
	node.events.Emit(events.NodeStopping, log.Fields{"inFlight": node.inFlight(), "connections": node.callerServer.Connections()})
	node.fire("stop")
	node.exchange.Leave()
	for _, server := range node.requestServers() {
		server.Drain()
	}
	go node.unregister(ctx)
	node.waitUntil(started.Add(idleConnectionTime), end, func() bool { return false })
	node.closeIdleConnections()
	node.waitUntil(started.Add(lateAcceptTime), end, func() bool { return false })
	for _, server := range node.requestServers() {
		server.Refuse()
	}
	node.closeIdleConnections()
	node.fire("lookups-expired")
	node.waitUntil(end, end, func() bool { return node.inFlight() == 0 && node.connections() == 0 })
	aborted := int64(0)
	for _, server := range node.requestServers() {
		aborted += server.Cut()
	}
	node.fire("drained")
	node.forwarder.Close()
	node.relayForwarder.Close()
	node.events.Emit(events.NodeStopped, log.Fields{"cut": aborted, "tookMs": time.Since(started).Milliseconds()})
}

// requestServers returns the servers of requests: those of callers, and those of other
// instances if there are any.
func (node *Node) requestServers() []*gateway.Server {
	if node.relayServer == nil {
		return []*gateway.Server{node.callerServer}
	}
	return []*gateway.Server{node.callerServer, node.relayServer}
}

func (node *Node) closeIdleConnections() {
	for _, server := range node.requestServers() {
		server.CloseIdle()
	}
}

func (node *Node) inFlight() int64 {
	sum := int64(0)
	for _, server := range node.requestServers() {
		sum += server.InFlight()
	}
	return sum
}

func (node *Node) connections() int {
	sum := 0
	for _, server := range node.requestServers() {
		sum += server.Connections()
	}
	return sum
}

// waitUntil waits until a time or until done, but not beyond end.
func (node *Node) waitUntil(until, end time.Time, done func() bool) {
	if until.After(end) {
		until = end
	}
	for time.Now().Before(until) && !done() {
		time.Sleep(stopPollInterval)
	}
}
