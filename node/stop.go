package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/gateway"
)

const (
	// lateUseTime is how long new connections are accepted and idle ones kept after
	// the instance has left the look-up responses. By then, callers that keep a
	// response three times as long as its TTL have switched to other instances. It
	// is at most three fifths of the time until the connections are closed.
	lateUseTime = 3 * lookupTTL
	// processExitMargin is the part of the deployment's shutdown period that is
	// reserved for the exit of the process.
	processExitMargin = 400 * time.Millisecond
	// signalMargin is how long the signal may have waited for the process.
	signalMargin = 200 * time.Millisecond
	// defaultStopTimeout applies when the deployment sets no shutdown period.
	defaultStopTimeout = 10 * time.Second
	stopPollInterval   = 20 * time.Millisecond
)

// stop shuts down gracefully: it removes the instance from look-up responses
// and serves until callers have switched to other instances and all requests
// have a response, or the shutdown period is over.
func (node *Node) stop(ctx context.Context) {
	started := time.Now()
	grace := node.settings.Bounds.GracePeriod
	if grace <= 0 {
		grace = defaultStopTimeout
	}
	end := started.Add(grace - processExitMargin)
	lateFrom := started.Add(min(lateUseTime, end.Sub(started)*3/5))
	node.gateway.BeginStop(lateFrom.Add(-signalMargin), end)
	node.events.Emit(events.NodeStopping, log.Fields{"inFlight": node.inFlight(), "connections": node.callerServer.Connections()})
	node.fire("stop")
	node.exchange.Leave()
	for _, server := range node.requestServers() {
		server.Drain()
	}
	go node.unregister(ctx)
	node.waitUntil(lateFrom, end, func() bool { return false })
	for _, server := range node.requestServers() {
		server.StopAccepting()
	}
	node.closeIdleConnections()
	node.fire("lookups-expired")
	node.waitUntil(end, end, func() bool { return node.inFlight() == 0 && node.connections() == 0 })
	aborted := int64(0)
	for _, server := range node.requestServers() {
		aborted += server.CloseAll()
	}
	node.fire("drained")
	node.forwarder.Close()
	node.relayForwarder.Close()
	node.events.Emit(events.NodeStopped, log.Fields{"cut": aborted, "tookMs": time.Since(started).Milliseconds()})
}

// requestServers returns the server for callers and, if there is one, the
// server for relayed requests.
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

// waitUntil waits until the given time or until done returns true, but not
// beyond end.
func (node *Node) waitUntil(until, end time.Time, done func() bool) {
	if until.After(end) {
		until = end
	}
	for time.Now().Before(until) && !done() {
		time.Sleep(stopPollInterval)
	}
}
