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
	headerRelayTarget = "Jacinth-Relay-Target"
	headerRelayOnce   = "Jacinth-Relay-Once"
	headerRelayResult = "Jacinth-Relay-Result"
	// relayHeadBytes is the room for them beyond the bound of a caller's head.
	relayHeadBytes = 1 << 10
)

const (
	// relayPart is the part of a route's objective that a round trip to the
	// target's region must exceed for a relay to be worth its own time.
	relayPart = 0.1
	// relaysOfDomain is the number of instances of a failure domain that an
	// instance uses as relays: few, so that connections stay in use.
	relaysOfDomain = 2
	// leastCapacity is taken for an instance whose capacity is not known.
	leastCapacity = 0.05
	// relayPause is how long an instance that failed as a relay is not used.
	relayPause = 2 * time.Second
	// relayIdle bounds how long a connection to a relay may have been idle for a
	// request that must run once.
	relayIdle = 2 * time.Second
	// RelayKeep is how long connections between instances are kept idle, and
	// relayServerIdle how long a relay waits for the next request on one.
	RelayKeep       = 20 * time.Second
	relayServerIdle = 2 * RelayKeep
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

// err returns the failure that a result stands for, as if this instance had
// sent the request itself.
func (x relayResult) err(address string) error {
	failure := &forward.Error{Target: address, Stage: forward.StageWritten, Err: fmt.Errorf("at the relay: %s", string(x))}
	switch x {
	case relayRefused:
		failure.Stage, failure.Err = forward.StageConnect, errRelayRefused
	case relayUnreached:
		failure.Stage = forward.StageConnect
	case relayNoResponse:
		failure.Stage, failure.Err = forward.StageConnect, os.ErrDeadlineExceeded
	case relayCrashed:
		failure.Crashed = true
	case relayStale:
		failure.Crashed, failure.Stale = true, true
	}
	return failure
}

var errRelayRefused = errors.New("relay does not use the target")

// resultOf returns the result of a failed exchange with a target.
func resultOf(err error) relayResult {
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
	case failure.Stale:
		return relayStale
	case failure.Crashed:
		return relayCrashed
	}
	return relayBroken
}

// relays are the instances that carry requests to targets of other regions.
type relays struct {
	mu     sync.Mutex
	list   []relay
	paused map[string]time.Time // Until when an address is not used.
	heard  map[string]time.Time // When a relay last answered.
	turn   int
}

type relay struct{ address, domain, region string }

// SetInstances takes over the live instances. Address returns where one carries
// requests for others, or "".
func (g *Gateway) SetInstances(self steering.Instance, live []steering.Instance, address func(steering.Instance) string) {
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
			return balance.WeightedScore(max(leastCapacity, in.Capacity), xxhash.Sum64String(self.Name+" "+in.Name))
		}
		slices.SortFunc(instances, func(a, b steering.Instance) int { return cmp.Compare(score(b), score(a)) })
		for _, in := range instances[:min(relaysOfDomain, len(instances))] {
			list = append(list, relay{address(in), domain, in.Region})
		}
	}
	g.relays.set(list)
}

func (r *relays) set(list []relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
	paused, heard := r.paused, r.heard
	r.paused, r.heard = map[string]time.Time{}, map[string]time.Time{}
	for _, x := range list {
		if at, ok := paused[x.address]; ok {
			r.paused[x.address] = at
		}
		if at, ok := heard[x.address]; ok {
			r.heard[x.address] = at
		}
	}
}

// choose returns the address of a relay for a target: one of its failure domain
// to which a connection is open, one of its region to which one is, or one of
// its domain.
func (r *relays) choose(now time.Time, domain, region string, open func(address string) bool) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	best, rank := "", 0
	for i := range r.list {
		x := r.list[(r.turn+i)%len(r.list)]
		if x.region != region || now.Before(r.paused[x.address]) {
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

// WarmRelays opens connections to the relays that are worth their time, so that
// the next request finds one.
func (g *Gateway) WarmRelays(ctx context.Context) {
	config := g.World().Config
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
		if !worthARelay(trip, objective) || g.Relays.Ready(x.address) {
			continue
		}
		go func() {
			to := forward.Target{Address: x.address, DialTimeout: dialBase + roundTrips*trip, Unanswered: unanswered + roundTrips*trip}
			if err := g.Relays.Warm(ctx, to); err != nil && ctx.Err() == nil {
				g.relays.failed(time.Now(), x.address, time.Now(), false)
				g.events.Emit(events.RelayUnreachable, log.Fields{"relay": x.address, "error": err.Error()})
			}
		}()
	}
}

func worthARelay(trip, objective time.Duration) bool {
	return trip > time.Duration(relayPart*float64(objective))
}

// answered notes that a relay works.
func (r *relays) answered(now time.Time, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[address] = now
}

// failed takes a relay out of use for a while. When only the time of a request
// was over, the target may be the slow one, unless the relay has answered
// nothing meanwhile.
func (r *relays) failed(now time.Time, address string, started time.Time, timeout bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if timeout && r.heard[address].After(started) {
		return
	}
	r.paused[address] = now.Add(relayPause)
}

// via returns the relay for an attempt, if one is worth its time.
func (g *Gateway) via(now time.Time, r *carried, grant balance.Grant) (string, bool) {
	trip := g.Balancer.RoundTrip(grant.Region)
	if r.stream != nil || !worthARelay(trip, r.route.Objective) || g.Forwarder.Ready(grant.Target.Address) && r.route.Idempotent {
		return "", false
	}
	return g.relays.choose(now, grant.Target.Domain, grant.Region, g.Relays.Ready)
}

// relayTo addresses an attempt to a relay.
func relayTo(address string, to *forward.Target, out *forward.Request, r *carried, grant balance.Grant) {
	to.Address, to.Connections, to.MaxIdle = address, 0, 0
	out.Header.Set(headerRelayTarget, grant.Target.ID)
	if !r.route.Idempotent {
		to.MaxIdle = relayIdle
		out.Header.Set(headerRelayOnce, "1")
	}
}

// noteRelay keeps what an attempt says of its relay. It reports whether the
// attempt failed between the two instances.
func (g *Gateway) noteRelay(ctx context.Context, address string, started time.Time, err error) bool {
	switch {
	case err == nil:
		g.relays.answered(time.Now(), address)
		return false
	case ctx.Err() == context.Canceled:
		return false
	}
	g.relays.failed(time.Now(), address, started, ctx.Err() != nil)
	return true
}

// fromRelay turns a relay's answer into that of the target, or into the failure
// that the relay had.
func fromRelay(grant balance.Grant, got *forward.Answer) (*forward.Answer, error) {
	result := relayResult(got.Header.Get(headerRelayResult))
	got.Header.Del(headerRelayResult)
	if result == relayAnswered {
		return got, nil
	}
	_ = got.Body.Close()
	return nil, result.err(grant.Target.Address)
}

// relayed carries a request of another instance to the target that it names.
func (g *Gateway) relayed(ctx context.Context, in *incoming) *answer {
	id, target := g.Headers.RequestID(in.http.Header), in.http.Header.Get(headerRelayTarget)
	a, result := g.relayAttempt(ctx, in, id, target)
	a.header.Set(headerRelayResult, string(result))
	g.events.EmitFields(&events.PeerRequestEnded, events.String("request", id), events.String("target", target),
		events.String("result", string(result)), events.Int("status", int64(a.status)), events.Int("tookMs", time.Since(in.arrived).Milliseconds()))
	return a
}

func (g *Gateway) relayAttempt(ctx context.Context, in *incoming, id, target string) (*answer, relayResult) {
	failed := func(result relayResult) (*answer, relayResult) {
		return ownAnswer(http.StatusBadGateway, string(result)), result
	}
	world := g.World()
	record := world.Targets[target]
	left, ok := g.Headers.Deadline(in.http.Header)
	if record == nil || !world.Usable(record) || !ok {
		return failed(relayRefused)
	}
	r := &carried{incoming: in, id: id, deadline: in.arrived.Add(left)}
	to := forward.Target{Address: record.Address, Connections: g.connections(record.Service), DialTimeout: dialBase, Unanswered: unanswered}
	if in.http.Header.Get(headerRelayOnce) != "" {
		to.MaxIdle = freshIdle
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	got, err := g.Forwarder.Do(ctx, to, g.outgoing(r, balance.Grant{Target: record}, time.Now()))
	if err != nil {
		cancel()
		return failed(resultOf(err))
	}
	if g.Headers.NotExecuted(got.Status, got.Header) {
		defer cancel()
		_ = got.Body.Close()
		forward.CleanAnswer(got.Header)
		return &answer{status: got.Status, header: got.Header}, relayAnswered
	}
	// The answer is passed on while it arrives. The other instance checks it, and
	// sees when it breaks off.
	length := got.Header.Get("Content-Length")
	forward.CleanAnswer(got.Header)
	if in.http.Method == http.MethodHead && length != "" {
		got.Header.Set("Content-Length", length)
	}
	a := &answer{status: got.Status, header: got.Header, length: got.Length}
	if in.http.Method == http.MethodHead || got.Length == 0 {
		cancel()
		_ = got.Body.Close()
		return a, relayAnswered
	}
	a.stream = &cancelling{ReadCloser: got.Body, cancel: cancel}
	return a, relayAnswered
}
