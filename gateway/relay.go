package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Load pattern answered: a region sends a part of its requests to many targets
// of another region, each of them rarely. No connection to a target is kept
// that long, so each request pays for a new one: a round trip between regions,
// a quarter of some objectives. An instance beside the target has connections
// to it, or opens one within a millisecond, and the connection between the two
// instances is in use all the time. The choice of the target stays with the
// instance that the caller asked.

// Headers between two instances. They never reach a target or a caller.
const (
	headerRelayTarget        = "Jacinth-Relay-Target"
	headerRelayNonIdempotent = "Jacinth-Relay-Once"
	headerRelayResult        = "Jacinth-Relay-Result"
	// relayHeadBytes is the room for them beyond the bound of a caller's head.
	relayHeadBytes = 1 << 10
)

const (
	// minRelayTripFraction is the part of a route's objective that a round trip to the
	// target's region must exceed for a relay to be worth its own time.
	minRelayTripFraction = 0.1
	// relaysPerDomain is the number of instances of a failure domain that an
	// instance uses as relays: few, so that connections stay in use.
	relaysPerDomain = 2
	// minCapacity is taken for an instance whose capacity is not known.
	minCapacity = 0.05
	// relayBackoff is how long an instance that failed as a relay is not used.
	relayBackoff = 2 * time.Second
	// relayMaxIdle bounds how long a connection to a relay may have been idle for a
	// request that must run once.
	relayMaxIdle = 2 * time.Second
	// RelayIdleTimeout is how long connections between instances are kept idle, and
	// relayServerIdle how long a relay waits for the next request on one.
	RelayIdleTimeout       = 20 * time.Second
	relayServerIdleTimeout = 2 * RelayIdleTimeout
)

// relayResult says what became of a request at a relay.
type relayResult string

const (
	relayAnswered   relayResult = "answered"    // The answer is the target's.
	relayRefused    relayResult = "refused"     // Not sent: the relay does not use the target.
	relayUnreached  relayResult = "unreached"   // Not sent: no connection.
	relayNoResponse relayResult = "no-response" // Not sent: nothing answered the connection attempt.
	relayBroken     relayResult = "broken"      // Sent, without a usable answer.
	relayCrashed    relayResult = "crashed"     // Sent, and the target ended the connection.
	relayStale      relayResult = "stale"       // As relayCrashed, on a connection that had been idle.
)

// failure returns the failure that a result stands for, as if this instance had
// sent the request itself.
func (x relayResult) failure(address string) error {
	failure := &forward.Error{Target: address, Stage: forward.StageRequestSent, Err: fmt.Errorf("at the relay: %s", string(x))}
	switch x {
	case relayRefused:
		failure.Stage, failure.Err = forward.StageConnect, errRelayRefused
	case relayUnreached:
		failure.Stage = forward.StageConnect
	case relayNoResponse:
		failure.Stage, failure.Err = forward.StageConnect, os.ErrDeadlineExceeded
	case relayCrashed:
		failure.TargetClosed = true
	case relayStale:
		failure.TargetClosed, failure.StaleConnection = true, true
	}
	return failure
}

var errRelayRefused = errors.New("relay does not use the target")

// relayResultOf returns the result of a failed exchange with a target.
func relayResultOf(err error) relayResult {
	var failure *forward.Error
	var dial net.Error
	switch {
	case !errors.As(err, &failure):
		return relayBroken
	case failure.Stage == forward.StageConnect && errors.Is(err, forward.ErrConnectionLimit):
		return relayRefused
	case failure.Stage == forward.StageConnect && errors.As(err, &dial) && dial.Timeout():
		return relayNoResponse
	case failure.Stage == forward.StageConnect:
		return relayUnreached
	case failure.StaleConnection:
		return relayStale
	case failure.TargetClosed:
		return relayCrashed
	}
	return relayBroken
}

// relaySet are the instances that carry requests to targets of other regions.
type relaySet struct {
	mu           sync.Mutex
	list         []relay
	pausedUntil  map[string]time.Time // Until when an address is not used.
	lastResponse map[string]time.Time // When a relay last answered.
	rotation     int
}

type relay struct{ address, domain, region string }

// UpdateRelays takes over the live instances. Address returns where one carries
// requests for others, or "".
func (g *Gateway) UpdateRelays(self steering.Instance, live []steering.Instance, address func(steering.Instance) string) {
	byDomain := map[string][]steering.Instance{}
	for _, in := range live {
		if in.Region != self.Region && address(in) != "" {
			byDomain[in.Domain] = append(byDomain[in.Domain], in)
		}
	}
	var list []relay
	for domain, instances := range byDomain {
		// Weighted rendezvous hashing: an instance with a fast link and processor
		// is a relay for more others.
		score := func(in steering.Instance) float64 {
			return balance.WeightedScore(max(minCapacity, in.Capacity), xxhash.Sum64String(self.Name+" "+in.Name))
		}
		slices.SortFunc(instances, func(a, b steering.Instance) int { return cmp.Compare(score(b), score(a)) })
		for _, in := range instances[:min(relaysPerDomain, len(instances))] {
			list = append(list, relay{address(in), domain, in.Region})
		}
	}
	g.relays.update(list)
}

func (r *relaySet) update(list []relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
	paused, heard := r.pausedUntil, r.lastResponse
	r.pausedUntil, r.lastResponse = map[string]time.Time{}, map[string]time.Time{}
	for _, x := range list {
		if at, ok := paused[x.address]; ok {
			r.pausedUntil[x.address] = at
		}
		if at, ok := heard[x.address]; ok {
			r.lastResponse[x.address] = at
		}
	}
}

// choose returns the address of a relay for a target: one of its failure domain
// to which a connection is open, one of its region to which one is, or one of
// its domain.
func (r *relaySet) choose(now time.Time, domain, region string, open func(address string) bool) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotation++
	best, rank := "", 0
	for i := range r.list {
		x := r.list[(r.rotation+i)%len(r.list)]
		if x.region != region || now.Before(r.pausedUntil[x.address]) {
			continue
		}
		value := 0
		switch near := x.domain == domain; {
		case near && open(x.address):
			value = 3
		case open(x.address):
			value = 2
		case near:
			value = 1
		}
		if value > rank {
			best, rank = x.address, value
		}
	}
	return best, best != ""
}

// PreconnectRelays opens connections to the relays that are worth their time, so that
// the next request finds one.
func (g *Gateway) PreconnectRelays(ctx context.Context) {
	config := g.State().Config
	if config == nil {
		return
	}
	objective := time.Duration(math.MaxInt64)
	for _, r := range config.Routes {
		if r.Objective > 0 {
			objective = min(objective, r.Objective)
		}
	}
	g.relays.mu.Lock()
	list := slices.Clone(g.relays.list)
	g.relays.mu.Unlock()
	for _, x := range list {
		trip := g.Balancer.RoundTrip(x.region)
		if !relayWorthwhile(trip, objective) || g.RelayForwarder.HasIdle(x.address) {
			continue
		}
		go func() {
			to := forward.Target{Address: x.address, DialTimeout: baseDialTimeout + timeoutRoundTrips*trip, AckTimeout: baseAckTimeout + timeoutRoundTrips*trip}
			if err := g.RelayForwarder.Preconnect(ctx, to); err != nil && ctx.Err() == nil {
				g.relays.recordFailure(time.Now(), x.address, time.Now(), false)
				g.events.Emit(events.RelayUnreachable, log.Fields{"relay": x.address, "error": err.Error()})
			}
		}()
	}
}

func relayWorthwhile(trip, objective time.Duration) bool {
	return trip > time.Duration(minRelayTripFraction*float64(objective))
}

// recordSuccess notes that a relay works.
func (r *relaySet) recordSuccess(now time.Time, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponse[address] = now
}

// recordFailure takes a relay out of use for a while. When only the time of a request
// was over, the target may be the slow one, unless the relay has answered
// nothing meanwhile.
func (r *relaySet) recordFailure(now time.Time, address string, started time.Time, timeout bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if timeout && r.lastResponse[address].After(started) {
		return
	}
	r.pausedUntil[address] = now.Add(relayBackoff)
}

// selectRelay returns the relay for an attempt, if one is worth its time.
func (g *Gateway) selectRelay(now time.Time, r *routedRequest, grant balance.Grant) (string, bool) {
	trip := g.Balancer.RoundTrip(grant.Region)
	if r.stream != nil || !relayWorthwhile(trip, r.route.Objective) || g.Forwarder.HasIdle(grant.Target.Address) && r.route.Idempotent {
		return "", false
	}
	return g.relays.choose(now, grant.Target.Domain, grant.Region, g.RelayForwarder.HasIdle)
}

// addressRelay addresses an attempt to a relay.
func addressRelay(address string, to *forward.Target, out *forward.Request, r *routedRequest, grant balance.Grant) {
	to.Address, to.MaxConnections, to.MaxIdleTime = address, 0, 0
	out.Header.Set(headerRelayTarget, grant.Target.ID)
	if !r.route.Idempotent {
		to.MaxIdleTime = relayMaxIdle
		out.Header.Set(headerRelayNonIdempotent, "1")
	}
}

// recordRelayResult keeps what an attempt says of its relay. It reports whether the
// attempt failed between the two instances.
func (g *Gateway) recordRelayResult(ctx context.Context, address string, started time.Time, err error) bool {
	switch {
	case err == nil:
		g.relays.recordSuccess(time.Now(), address)
		return false
	case ctx.Err() == context.Canceled:
		return false
	}
	g.relays.recordFailure(time.Now(), address, started, ctx.Err() != nil)
	return true
}

// unwrapRelayResponse turns a relay's answer into that of the target, or into the failure
// that the relay had.
func unwrapRelayResponse(grant balance.Grant, got *forward.Response) (*forward.Response, error) {
	result := relayResult(got.Header.Get(headerRelayResult))
	got.Header.Del(headerRelayResult)
	if result == relayAnswered {
		return got, nil
	}
	_ = got.Body.Close()
	return nil, result.failure(grant.Target.Address)
}

// serveRelayed carries a request of another instance to the target that it names.
func (g *Gateway) serveRelayed(ctx context.Context, in *incomingRequest) *response {
	id, target := g.Headers.RequestID(in.httpRequest.Header), in.httpRequest.Header.Get(headerRelayTarget)
	a, result := g.forwardRelayed(ctx, in, id, target)
	a.header.Set(headerRelayResult, string(result))
	g.events.EmitFields(&events.PeerRequestEnded, events.String("request", id), events.String("target", target),
		events.String("result", string(result)), events.Int("status", int64(a.status)), events.Int("tookMs", time.Since(in.arrived).Milliseconds()))
	return a
}

func (g *Gateway) forwardRelayed(ctx context.Context, in *incomingRequest, id, target string) (*response, relayResult) {
	failed := func(result relayResult) (*response, relayResult) {
		return systemResponse(http.StatusBadGateway, string(result)), result
	}
	world := g.State()
	record := world.Targets[target]
	left, ok := g.Headers.Deadline(in.httpRequest.Header)
	if record == nil || !world.Usable(record) || !ok {
		return failed(relayRefused)
	}
	r := &routedRequest{incomingRequest: in, id: id, deadline: in.arrived.Add(left)}
	to := forward.Target{Address: record.Address, MaxConnections: g.connectionShare(record.Service), DialTimeout: baseDialTimeout, AckTimeout: baseAckTimeout}
	if in.httpRequest.Header.Get(headerRelayNonIdempotent) != "" {
		to.MaxIdleTime = nonIdempotentMaxIdle
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	got, err := g.Forwarder.Do(ctx, to, g.newForwardRequest(r, balance.Grant{Target: record}, time.Now()))
	if err != nil {
		cancel()
		return failed(relayResultOf(err))
	}
	if g.Headers.NotExecuted(got.Status, got.Header) {
		defer cancel()
		_ = got.Body.Close()
		forward.CleanResponseHeaders(got.Header)
		return &response{status: got.Status, header: got.Header}, relayAnswered
	}
	// The answer is passed on while it arrives. The other instance checks it, and
	// sees when it breaks off.
	length := got.Header.Get("Content-Length")
	forward.CleanResponseHeaders(got.Header)
	if in.httpRequest.Method == http.MethodHead && length != "" {
		got.Header.Set("Content-Length", length)
	}
	a := &response{status: got.Status, header: got.Header, length: got.Length}
	if in.httpRequest.Method == http.MethodHead || got.Length == 0 {
		cancel()
		_ = got.Body.Close()
		return a, relayAnswered
	}
	a.stream = &cancelOnClose{ReadCloser: got.Body, cancel: cancel}
	return a, relayAnswered
}
