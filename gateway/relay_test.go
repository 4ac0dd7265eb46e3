package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
	"github.com/jacinthstall/jacinthstall/steering"
)

var farRegions = map[string]string{"near": "r1", "d": "r2"}

// farSite is an instance in one region, and a relay and targets in another.
type farSite struct {
	*site
	relay        *gateway.Server
	relayAddress string
	gateway      *gateway.Gateway
	relayGateway *gateway.Gateway
	balancers    map[string]*balance.Balancer // By name of the instance.
}

func (f *farSite) newGateway(name, domain string, state *steering.State) *gateway.Gateway {
	now := time.Now()
	balancer := balance.New(balance.Options{Name: name, Domain: domain, Region: farRegions[domain], Regions: farRegions}, now)
	balancer.SetState(now, state)
	balancer.ObserveRoundTrip("r2", 200*time.Millisecond) // Simulates distant regions.
	f.balancers[name] = balancer
	return gateway.New(gateway.Options{State: f.state.Load, Balancer: balancer, Suspects: balance.NewSuspects(),
		Budget:    balance.NewRetryBudget(settings.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50}, now.Add(-10*time.Second)),
		Forwarder: forward.New(), RelayForwarder: forward.New(), Headers: platform.Headers{}, LiveInstances: func() int { return 1 },
		Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)})})
}

func (f *farSite) serve(newServer func(*gateway.Gateway, net.Listener) *gateway.Server, g *gateway.Gateway) (*gateway.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	s := newServer(g, listener)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() { cancel(); s.StopAccepting(); s.CloseAll() })
	go func() { _ = s.Run(ctx) }()
	return s, listener.Addr().String()
}

// startFarSite starts a relay with targets and scripts near it, and an instance in
// another region.
func startFarSite(t *testing.T, targets []wiretarget.Options, scripts ...script) *farSite {
	t.Helper()
	f := &farSite{site: &site{t: t}, balancers: map[string]*balance.Balancer{}}
	config := &steering.Config{Version: 1, Services: map[string]steering.Service{"s": {Name: "s"}}}
	for _, r := range []steering.Route{{Name: "safe", Prefix: "/safe/", Idempotent: true}, {Name: "unsafe", Prefix: "/unsafe/"}} {
		r.Host, r.Timeout, r.Objective, r.MaxAttempts, r.Split = host, 2*time.Second, 400*time.Millisecond, 2, []steering.WeightedService{{Service: "s", Weight: 1}}
		config.Routes = append(config.Routes, r)
	}
	config.Index()
	updates := []steering.Update{steering.ConfigUpdate{Config: config}}
	for i, o := range targets {
		updates = append(updates, steering.TargetUpdate{Target: f.startTarget(i, o, false)})
	}
	for i, handle := range scripts {
		updates = append(updates, steering.TargetUpdate{Target: &steering.Target{ID: fmt.Sprint("script", i), Service: "s",
			Address: f.startScript(handle), Domain: "d", Slots: 8}})
	}
	state := steering.NewState().Apply(1, updates)
	f.state.Store(state)
	f.relayGateway = f.newGateway("beside", "d", state)
	f.relay, f.relayAddress = f.serve(gateway.NewRelayServer, f.relayGateway)
	f.gateway = f.newGateway("asked", "near", state)
	f.server, f.address = f.serve(gateway.NewServer, f.gateway)
	f.useRelay(f.relayAddress)
	return f
}

// setDialTimeout changes the dial timeout of both instances. It must be called before
// the first request.
func (f *farSite) setDialTimeout(d time.Duration) {
	f.gateway.SetDialTimeout(d)
	f.relayGateway.SetDialTimeout(d)
}

// useRelay makes the instance use the relay at an address.
func (f *farSite) useRelay(address string) {
	f.gateway.UpdateRelays(steering.Instance{Name: "asked", Domain: "near", Region: "r1"},
		[]steering.Instance{{Name: "beside", Domain: "d", Region: "r2"}}, func(steering.Instance) string { return address })
}

func TestRequestsToDistantRegionUseRelay(t *testing.T) {
	var seen sync.Map
	f := startFarSite(t, nil, func(_ int, r *http.Request, c net.Conn) bool {
		seen.Store(r.Header.Get(platform.HeaderRequestID), r.Header.Clone())
		_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 4\r\n\r\nbody")
		return err == nil
	})
	resp := f.request("POST", "/unsafe/x", "r1", "hello", "Jacinth-Relay-Target: forged", "Jacinth-Relay-Once: 1")
	assert.Equal(t, 200, resp.StatusCode)
	assert.Equal(t, "body", resp.body)
	assert.Equal(t, "stamp", resp.Header.Get(platform.HeaderServerStamp))
	assert.Equal(t, 1, f.relay.Connections(), "the request went through the relay")
	header, ok := seen.Load("r1")
	require.True(t, ok)
	for _, h := range []http.Header{header.(http.Header), resp.Header} {
		for name := range h {
			assert.NotContains(t, name, "Jacinth-Relay", "is only sent between instances")
		}
	}
	assert.Equal(t, "script0", header.(http.Header).Get(platform.HeaderExpectTarget))
}

// Guards against losing a non-idempotent request, or executing it twice, when its
// relay is down.
func TestRequestGoesDirectlyWhenRelayIsDown(t *testing.T) {
	f := startFarSite(t, fastTargets(1))
	f.relay.StopAccepting()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		assert.Equal(t, 200, f.request("POST", "/unsafe/x", id, "b").StatusCode)
		assert.Equal(t, 1, f.executed(id))
	}
}

// Guards against reporting an attempt that failed at the relay as not executed,
// or retrying it, although the request may have been executed.
func TestFailureAtRelayKeepsItsOutcome(t *testing.T) {
	f := startFarSite(t, fastTargets(1))
	assert.Equal(t, 502, f.request("POST", "/unsafe/x", "once", "b", wiretarget.HeaderFault+": "+wiretarget.FaultNoResponse).StatusCode)
	assert.Equal(t, 1, f.executed("once"))
	assert.Equal(t, 502, f.request("POST", "/unsafe/x", "cut", "b", wiretarget.HeaderFault+": "+wiretarget.FaultTruncate).StatusCode)
	assert.Equal(t, 1, f.executed("cut"))
	full := startFarSite(t, []wiretarget.Options{{Slots: 1, WarmTime: 300 * time.Millisecond}})
	first := full.dial()
	first.send("POST", "/unsafe/x", "first", "b")
	require.Eventually(t, func() bool { return full.executed("first") == 1 }, time.Second, time.Millisecond)
	resp := full.request("POST", "/unsafe/x", "second", "b")
	assert.Equal(t, 503, resp.StatusCode, "the target's statement that it did not execute the request is forwarded")
	assert.Equal(t, 0, full.executed("second"))
	assert.Equal(t, 200, first.receive("POST").StatusCode)
}

// Responses without the request's ID are not accepted on a connection that was used
// before. Guards against a relay that has not sent a request, and whose word is
// discarded: the peer would have to assume that the request was executed.
func TestResponsesOfRelayCarryRequestID(t *testing.T) {
	f := startFarSite(t, fastTargets(1))
	c := (&site{t: t, address: f.relayAddress}).dial()
	for i := range 2 {
		id := fmt.Sprint("r", i)
		c.send("POST", "/unsafe/x", id, "b", "Jacinth-Relay-Target: unknown")
		resp := c.receive("POST")
		assert.Equal(t, "refused", resp.Header.Get("Jacinth-Relay-Result"))
		assert.Equal(t, id, resp.Header.Get(platform.HeaderRequestID))
	}
}

// Guards against executing a request at a target after its caller has
// disconnected from the instance in the other region.
func TestCallerDisconnectReachesTargetThroughRelay(t *testing.T) {
	f := startFarSite(t, slowTargets(1, 5*time.Second))
	c := f.dial()
	c.send("GET", "/safe/1", "r1", "")
	require.Eventually(t, func() bool { return f.executed("r1") == 1 }, time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	assert.Eventually(t, func() bool { return f.targets[0].Aborted() == 1 }, time.Second, time.Millisecond)
}

// A relay accepts requests and does not respond, like a suspended process. Guards
// against avoiding the targets behind it.
func TestSilentRelayIsNotTheTargetsFailure(t *testing.T) {
	f := startFarSite(t, fastTargets(1))
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	self := steering.Instance{Name: "asked", Domain: "near", Region: "r1"}
	f.gateway.UpdateRelays(self, []steering.Instance{{Name: "beside", Domain: "d", Region: "r2"}}, func(steering.Instance) string { return silent.Addr().String() })
	var callers sync.WaitGroup
	for i := range 3 {
		callers.Go(func() { assert.Equal(t, 504, f.request("POST", "/unsafe/x", fmt.Sprint("r", i), "b").StatusCode) })
	}
	callers.Wait()
	_, refusal := f.balancers["asked"].Pick(time.Now(), balance.Request{Service: "s", Objective: time.Second, Remaining: 3 * time.Second})
	assert.Nil(t, refusal, "the target is not avoided")
	assert.Equal(t, 200, f.request("POST", "/unsafe/x", "later", "b").StatusCode)
}

// Load pattern: graceful shutdown of a relay while peers use it. Guards against
// aborting a request or losing its outcome.
func TestGracefulShutdownOfRelayLosesNoRequest(t *testing.T) {
	f := startFarSite(t, []wiretarget.Options{{Slots: 64, WarmTime: 20 * time.Millisecond}})
	const requests = 20 // At least, in each part of the shutdown.
	var failed, answered atomic.Int32
	var callers sync.WaitGroup
	end := make(chan struct{})
	for i := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				if f.request("POST", "/unsafe/x", fmt.Sprint("r", i, "-", n), "b").StatusCode != 200 {
					failed.Add(1)
				}
				answered.Add(1)
			}
		})
	}
	awaitRequests := func() {
		t.Helper()
		before := answered.Load()
		require.Eventually(t, func() bool { return answered.Load() >= before+requests }, 10*time.Second, time.Millisecond)
	}
	awaitRequests()
	assert.Positive(t, f.relay.Connections(), "the relay is used")
	f.relay.Drain()
	f.gateway.UpdateRelays(steering.Instance{Name: "asked", Region: "r1"}, nil, nil) // Peers learn that the relay is leaving.
	awaitRequests()
	f.relay.CloseIdle()
	f.relay.StopAccepting()
	require.Eventually(t, func() bool { return f.relay.InFlight() == 0 }, time.Second, time.Millisecond)
	awaitRequests()
	close(end)
	callers.Wait()
	assert.Zero(t, failed.Load())
}
