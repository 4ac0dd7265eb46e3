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

// farSite is an instance in one region and a relay beside the targets in another.
type farSite struct {
	*site
	relay   *gateway.Server
	gateway *gateway.Gateway
}

func (f *farSite) newGateway(name, domain string, world *steering.State) *gateway.Gateway {
	now := time.Now()
	b := balance.New(balance.Options{Name: name, Domain: domain, Region: farRegions[domain], Regions: farRegions}, now)
	b.SetState(now, world)
	b.ObserveRoundTrip("r2", 200*time.Millisecond) // As if the regions were far apart.
	return gateway.New(gateway.Options{State: func() *steering.State { return world }, Balancer: b, Suspects: balance.NewSuspects(),
		Budget:    balance.NewRetryBudget(settings.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50}, now),
		Forwarder: forward.New(), RelayForwarder: forward.New(), Headers: platform.Headers{}, LiveInstances: func() int { return 1 },
		Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)})})
}

func (f *farSite) serve(make func(*gateway.Gateway, net.Listener) *gateway.Server, g *gateway.Gateway) (*gateway.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	s := make(g, listener)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() { cancel(); s.StopAccepting(); s.CloseAll() })
	go func() { _ = s.Run(ctx) }()
	return s, listener.Addr().String()
}

// startFarSite starts targets and scripts beside a relay, and an instance far away.
func startFarSite(t *testing.T, targets []wiretarget.Options, scripts ...script) *farSite {
	t.Helper()
	f := &farSite{site: &site{t: t}}
	config := &steering.Config{Version: 1, Services: map[string]steering.Service{"s": {Name: "s"}}}
	for _, r := range []steering.Route{{Name: "safe", Prefix: "/safe/", Idempotent: true}, {Name: "unsafe", Prefix: "/unsafe/"}} {
		r.Host, r.Timeout, r.Objective, r.MaxAttempts, r.Split = host, 2*time.Second, 400*time.Millisecond, 2, []steering.WeightedService{{Service: "s", Weight: 1}}
		config.Routes = append(config.Routes, r)
	}
	config.Index()
	facts := []steering.Update{steering.ConfigUpdate{Config: config}}
	for i, o := range targets {
		facts = append(facts, steering.TargetUpdate{Target: f.startTarget(i, o, false)})
	}
	for i, play := range scripts {
		facts = append(facts, steering.TargetUpdate{Target: &steering.Target{ID: fmt.Sprint("script", i), Service: "s",
			Address: f.startScript(play), Domain: "d", Slots: 8}})
	}
	world := steering.NewState().Apply(1, facts)
	var address string
	f.relay, address = f.serve(gateway.NewRelayServer, f.newGateway("beside", "d", world))
	f.gateway = f.newGateway("asked", "near", world)
	f.server, f.address = f.serve(gateway.NewServer, f.gateway)
	f.gateway.UpdateRelays(steering.Instance{Name: "asked", Domain: "near", Region: "r1"},
		[]steering.Instance{{Name: "beside", Domain: "d", Region: "r2"}}, func(steering.Instance) string { return address })
	return f
}

func TestRequestsToDistantRegionUseRelay(t *testing.T) {
	var seen sync.Map
	f := startFarSite(t, nil, func(_ int, r *http.Request, c net.Conn) bool {
		seen.Store(r.Header.Get(platform.HeaderRequestID), r.Header.Clone())
		_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 4\r\n\r\nbody")
		return err == nil
	})
	a := f.request("POST", "/unsafe/x", "r1", "hello", "Jacinth-Relay-Target: forged", "Jacinth-Relay-Once: 1")
	assert.Equal(t, 200, a.StatusCode)
	assert.Equal(t, "body", a.body)
	assert.Equal(t, "stamp", a.Header.Get(platform.HeaderServerStamp))
	assert.Equal(t, 1, f.relay.Connections(), "the relay carried it")
	header, ok := seen.Load("r1")
	require.True(t, ok)
	for _, h := range []http.Header{header.(http.Header), a.Header} {
		for name := range h {
			assert.NotContains(t, name, "Jacinth-Relay", "is between instances only")
		}
	}
	assert.Equal(t, "script0", header.(http.Header).Get(platform.HeaderExpectTarget))
}

// Guards against a request that must run once and is lost, or run twice, when
// its relay has gone.
func TestRequestGoesDirectlyWhenRelayIsDown(t *testing.T) {
	f := startFarSite(t, fastTargets(1))
	f.relay.StopAccepting()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		assert.Equal(t, 200, f.request("POST", "/unsafe/x", id, "b").StatusCode)
		assert.Equal(t, 1, f.executed(id))
	}
}

// Guards against a failure at the relay that counts as "not run", or that is
// repeated though it may have run.
func TestFailureAtRelayKeepsItsOutcome(t *testing.T) {
	f := startFarSite(t, fastTargets(1))
	assert.Equal(t, 502, f.request("POST", "/unsafe/x", "once", "b", wiretarget.HeaderFault+": "+wiretarget.FaultReset).StatusCode)
	assert.Equal(t, 1, f.executed("once"))
	assert.Equal(t, 502, f.request("POST", "/unsafe/x", "cut", "b", wiretarget.HeaderFault+": "+wiretarget.FaultCut).StatusCode)
	assert.Equal(t, 1, f.executed("cut"))
	full := startFarSite(t, []wiretarget.Options{{Slots: 1, Warm: 300 * time.Millisecond}})
	first := full.dial()
	first.send("POST", "/unsafe/x", "first", "b")
	require.Eventually(t, func() bool { return full.executed("first") == 1 }, time.Second, time.Millisecond)
	a := full.request("POST", "/unsafe/x", "second", "b")
	assert.Equal(t, 503, a.StatusCode, "the target's word that it did not run the request passes through")
	assert.Equal(t, 0, full.executed("second"))
	assert.Equal(t, 200, first.receive("POST").StatusCode)
}

// Guards against work at a target for a caller that has left the instance far
// away.
func TestCallerDisconnectReachesTargetThroughRelay(t *testing.T) {
	f := startFarSite(t, slowTargets(1, 5*time.Second))
	c := f.dial()
	c.send("GET", "/safe/1", "r1", "")
	require.Eventually(t, func() bool { return f.executed("r1") == 1 }, time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	assert.Eventually(t, func() bool { return f.targets[0].Aborted() == 1 }, time.Second, time.Millisecond)
}

// Pattern: a planned stop of a relay while others use it. Guards against a
// request that is cut, or whose outcome is lost.
func TestGracefulShutdownOfRelayLosesNoRequest(t *testing.T) {
	f := startFarSite(t, []wiretarget.Options{{Slots: 64, Warm: 20 * time.Millisecond}})
	var failed, asked atomic.Int32
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
				asked.Add(1)
				if f.request("POST", "/unsafe/x", fmt.Sprint("r", i, "-", n), "b").StatusCode != 200 {
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	f.relay.Drain()
	f.gateway.UpdateRelays(steering.Instance{Name: "asked", Region: "r1"}, nil, nil) // Others hear that it leaves.
	time.Sleep(200 * time.Millisecond)
	f.relay.CloseIdle()
	f.relay.StopAccepting()
	require.Eventually(t, func() bool { return f.relay.InFlight() == 0 }, time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	close(end)
	callers.Wait()
	assert.Zero(t, failed.Load())
	assert.Greater(t, asked.Load(), int32(50))
}
