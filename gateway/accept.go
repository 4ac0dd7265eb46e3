package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/events"
)

// refusedBodyTime is how long the body of a request that is refused is read and
// discarded, so that the connection can be used for further requests.
const refusedBodyTime = 100 * time.Millisecond

// accept decides whether a request of a caller may be served, before its body is read:
// by its route, its key, the memory, the quota of its account and, if its body has not
// arrived with the head, the capacity of targets. It returns the response to a request
// that is refused.
func (g *Gateway) accept(incoming *incomingRequest) *response {
	request := &routedRequest{incomingRequest: incoming, id: g.Headers.RequestID(incoming.httpRequest.Header), excludedTargets: map[string]bool{}, reachedTargets: map[string]bool{}}
	incoming.routed = request
	refusal := g.decideBeforeBody(request)
	if refusal != nil {
		g.counters.Requests.Inc(1)
		incoming.held.cancel()
		g.abandon(incoming)
		g.finish(request, refusal)
	}
	return refusal
}

func (g *Gateway) decideBeforeBody(request *routedRequest) *response {
	if refusal := g.findRoute(request); refusal != nil {
		return refusal
	}
	if refusal := g.acceptMemory(request.incomingRequest); refusal != nil {
		return refusal
	}
	if refusal := g.admitByQuota(request); refusal != nil {
		return refusal
	}
	request.service = g.splitter.choose(request.route)
	if request.route.Sticky {
		request.objectKey = g.Headers.ObjectKey(request.httpRequest.Header)
	}
	if !request.bodyArrived {
		return g.checkCapacity(request)
	}
	return nil
}

// findRoute sets the configuration, route and account of a request.
func (g *Gateway) findRoute(request *routedRequest) *response {
	config := g.State().Config
	if config == nil {
		return retryAfterResponse(http.StatusServiceUnavailable, "no-configuration", noConfigRetryAfter)
	}
	request.config, request.version = config, config.Version
	if request.route = config.Match(request.httpRequest.Host, request.path); request.route == nil {
		return systemResponse(http.StatusNotFound, "no-route")
	}
	return g.authenticate(request)
}

// checkCapacity returns the response to a request that no target can serve. The target
// is chosen after the body, or the first part of a long one, has arrived: a caller that
// sends slowly would otherwise occupy the target meanwhile.
func (g *Gateway) checkCapacity(request *routedRequest) *response {
	timeLeft, stated := g.Headers.Deadline(request.httpRequest.Header)
	request.setDeadline(timeLeft, stated, 0, g.deadlines.sinceFirstRequestUncounted) // Until handle sets it again.
	now := time.Now()
	criteria := request.pickCriteria(now)
	criteria.Unrelayable = request.httpRequest.ContentLength > maxBufferedBodyBytes
	if refusal := g.Balancer.Check(now, criteria); refusal != nil {
		return g.refusalResponse(request, refusal)
	}
	return nil
}

// abandon ends an accepted request that is not served.
func (g *Gateway) abandon(incoming *incomingRequest) {
	incoming.held.end(time.Now())
	if incoming.routed != nil {
		g.returnUnusedQuota(incoming.routed)
	}
}

// acceptRelayed is accept for the request of a peer. The peer may use another relay.
func (g *Gateway) acceptRelayed(incoming *incomingRequest) *response {
	refusal := g.acceptMemory(incoming)
	if refusal == nil {
		return nil
	}
	header := incoming.httpRequest.Header
	id, target := g.Headers.RequestID(header), header.Get(headerRelayTarget)
	refusal.header.Set(headerRelayResult, string(relayRefused))
	refusal.header.Set(headerRelayBusy, "1")
	g.Headers.EchoRequestID(refusal.header, id)
	g.events.EmitFields(&events.PeerRequestEnded, events.String("request", id), events.String("target", target),
		events.String("result", string(relayRefused)), events.Int("status", int64(refusal.status)), events.Int("tookMs", 0))
	return refusal
}

// discardRefusedBody reads the body of a request that is refused if it is short and
// about to arrive. It reports whether the next request can be read from the connection.
func (c *conn) discardRefusedBody(request *http.Request) bool {
	defer func() { _ = c.Conn.SetReadDeadline(time.Time{}) }()
	if request.Body == nil || request.Body == http.NoBody {
		return true
	}
	if request.ContentLength < 0 || request.ContentLength > maxBufferedBodyBytes || expectsContinue(request) {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusedBodyTime))
	_, err := io.Copy(io.Discard, request.Body)
	return err == nil
}

func expectsContinue(request *http.Request) bool {
	return strings.EqualFold(request.Header.Get("Expect"), "100-continue")
}

// maxKeptRequestID is the longest request ID in bytes that is kept for each of the
// refused requests of a connection. A head may contain one as long as itself.
const maxKeptRequestID = 1 << 10

// refusedExchange returns the exchange of a request that is refused. It keeps only what
// writing the response needs: a connection may have many of them. The method is that of
// a response without a body or empty, because a method from the head keeps the whole
// request line in memory.
func (c *conn) refusedExchange(number int, request *incomingRequest, refusal *response) *exchange {
	httpRequest := &http.Request{Header: http.Header{}}
	if request.httpRequest.Method == http.MethodHead {
		httpRequest.Method = http.MethodHead
	}
	c.server.gateway.Headers.EchoRequestID(httpRequest.Header, c.server.gateway.Headers.RequestID(request.httpRequest.Header))
	ex := &exchange{number: number, request: &incomingRequest{httpRequest: httpRequest, close: request.close}, response: refusal, ready: make(chan struct{}), ended: make(chan struct{})}
	close(ex.ready)
	return ex
}
