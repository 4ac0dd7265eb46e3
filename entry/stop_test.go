package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/policy"
)

// lookupCachingCaller uses a look-up response for its lifetime, as callers do.
type lookupCachingCaller struct {
	http          *http.Client
	callerAddress string // Address of the caller in look-ups.
	neverLooksUp  bool   // Always uses the initial addresses.
	addresses     []string
	expiresAt     time.Time
	served        map[string]int
	failures      []string
}

func newLookupCachingCaller(from string, known ...string) *lookupCachingCaller {
	return &lookupCachingCaller{callerAddress: from, http: &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}},
		addresses: known, served: map[string]int{}}
}

func (caller *lookupCachingCaller) lookUp() {
	for _, address := range caller.addresses {
		response, err := caller.http.Get("http://" + address + pathLookup + "?" + lookup.ParameterCaller + "=" + caller.callerAddress)
		if err != nil {
			continue
		}
		var list LookupResponse
		err = json.NewDecoder(response.Body).Decode(&list)
		_ = response.Body.Close()
		if err != nil || len(list.Instances) == 0 {
			continue
		}
		caller.addresses = nil
		for _, instance := range list.Instances {
			caller.addresses = append(caller.addresses, instance.Address)
		}
		caller.expiresAt = time.Now().Add(time.Duration(list.TTLMs) * time.Millisecond)
		return
	}
}

// send records a failure unless an instance returns the complete response. A
// refused connection is not a failure, since the request was not sent.
func (caller *lookupCachingCaller) send() {
	if !caller.neverLooksUp && !time.Now().Before(caller.expiresAt) {
		caller.lookUp()
	}
	for _, address := range caller.addresses {
		response, err := caller.http.Post("http://"+address+"/writes/x", "text/plain", strings.NewReader("body"))
		var dialError *net.OpError
		if errors.As(err, &dialError) && dialError.Op == "dial" {
			continue
		}
		if err != nil {
			caller.failures = append(caller.failures, err.Error())
			return
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(content) != "body" {
			caller.failures = append(caller.failures, fmt.Sprint(response.StatusCode, response.Header.Get(outcome.HeaderReason), err))
			return
		}
		caller.served[response.Header.Get(outcome.HeaderInstance)]++
		return
	}
	caller.failures = append(caller.failures, "no instance")
}

// stopUnderLoad stops one of two instances while callers send requests through
// it, and returns what the callers observed. ignoring is the number of callers
// that ignore the lifetime of look-up responses.
func stopUnderLoad(t *testing.T, skipDrain bool, ignoring int) (served map[string]int, failures []string) {
	var requests atomic.Int64
	target := startScriptedTarget(t, func(_ *http.Request, body []byte, c net.Conn) bool {
		wait := 5 * time.Millisecond
		if requests.Add(1)%10 == 0 {
			wait = 300 * time.Millisecond
		}
		time.Sleep(wait)
		return write(c, httpResponse("200 OK", "", string(body)))
	})
	a, b := startInstance(t, "a-1", target), startInstance(t, "b-1", target)
	serveLookups(t, b)
	connectPeers(t, b)
	// The stopping instance runs completely, on its own addresses.
	stopping := startStoppingInstance(t, a, skipDrain)
	applyMutualList(stopping.instance, b)
	var wait sync.WaitGroup
	var mu sync.Mutex
	served = map[string]int{}
	stopped := make(chan struct{})
	for i := range 8 {
		wait.Go(func() {
			c := newLookupCachingCaller(fmt.Sprintf("10.0.0.%d", i+1), stopping.instance.settings.CallerAddress, b.settings.CallerAddress)
			c.neverLooksUp = i < ignoring
			for remaining := 5; remaining > 0; {
				c.send()
				select {
				case <-stopped:
					remaining--
				default:
				}
			}
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, c.failures...)
			for name, n := range c.served {
				served[name] += n
			}
		})
	}
	require.Eventually(t, func() bool { return requests.Load() > 100 }, waitTimeout, time.Millisecond)
	stopping.cancel()
	require.NoError(t, <-stopping.ended)
	if !skipDrain {
		assert.Equal(t, "stopped", stopping.instance.stateMachine.State())
	}
	stopping.exit()
	close(stopped)
	wait.Wait()
	return served, failures
}

// stoppingInstance is an instance whose connections can be reset when it ends,
// as those of an ended process are.
type stoppingInstance struct {
	instance *Instance
	cancel   context.CancelFunc
	ended    chan error

	mu    sync.Mutex
	conns []net.Conn
}

func (stopping *stoppingInstance) accept(c net.Conn) {
	stopping.mu.Lock()
	defer stopping.mu.Unlock()
	stopping.conns = append(stopping.conns, c)
}

// exit resets all connections.
func (stopping *stoppingInstance) exit() {
	stopping.mu.Lock()
	defer stopping.mu.Unlock()
	for _, c := range stopping.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// setShortLookupTTL applies a document with a short lifetime of look-up
// responses.
func setShortLookupTTL(t *testing.T, inst *Instance, from *policy.Document) {
	document := *from
	document.Timing.LookupTTLMs = 200
	inst.document.Store(&document)
	require.NoError(t, applyTestDocument(inst.lookupService, &document))
}

// serveLookups makes an instance that does not run completely respond to look-ups.
func serveLookups(t *testing.T, inst *Instance) {
	setShortLookupTTL(t, inst, inst.document.Load())
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { runEvery(ctx, lookupRefreshInterval, inst.refreshLookups) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
}

// applyMutualList makes instances known to each other, as the platform's list
// does.
func applyMutualList(instances ...*Instance) {
	var list []kv.Instance
	for _, inst := range instances {
		s := inst.settings
		list = append(list, kv.Instance{Name: s.Name, Domain: s.Domain, Region: s.Region,
			PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, State: kv.InstanceLive})
	}
	for _, inst := range instances {
		inst.members.applyList(list, time.Now())
	}
}

// startStoppingInstance starts a copy of an instance with Run, without a
// platform.
func startStoppingInstance(t *testing.T, original *Instance, skipDrain bool) *stoppingInstance {
	s := original.settings
	s.Name = "s-1"
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	inst, err := New(s, original.log)
	require.NoError(t, err)
	inst.chooser = original.chooser
	inst.skipDrain = skipDrain
	setShortLookupTTL(t, inst, original.document.Load())
	ctx, cancel := context.WithCancel(context.Background())
	stopping := &stoppingInstance{instance: inst, cancel: cancel, ended: make(chan error, 1)}
	inst.onAccept = stopping.accept
	go func() { stopping.ended <- inst.Run(ctx) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, waitTimeout, time.Millisecond)
	return stopping
}

// Requirement R7: a planned stop must not interrupt a request. Without the
// drain, the same load must see interrupted requests.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	_, failures := stopUnderLoad(t, true, 0)
	require.NotEmpty(t, failures, "the test must see interrupted requests without the drain")
	served, failures := stopUnderLoad(t, false, 0)
	assert.Empty(t, failures)
	assert.NotZero(t, served["s-1"])
	assert.NotZero(t, served["b-1"])
	t.Log(served)
}

// Refusing new connections must not interrupt a request while callers continue
// to connect to the instance.
func TestRefusingConnectionsInterruptsNoRequest(t *testing.T) {
	served, failures := stopUnderLoad(t, false, 4)
	assert.Empty(t, failures)
	assert.NotZero(t, served["s-1"])
	assert.NotZero(t, served["b-1"])
}

// Callers that ignore the lifetime of look-up responses must not be able to
// prolong the drain up to its time limit by opening new connections.
func TestDrainRefusesNewConnections(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	target := startScriptedTarget(t, func(r *http.Request, body []byte, c net.Conn) bool {
		if string(body) == "long" {
			arrived <- struct{}{}
			<-release
		}
		return write(c, httpResponse("200 OK", "", string(body)))
	})
	stopping := startStoppingInstance(t, startInstance(t, "a-1", target), false)
	address := stopping.instance.settings.CallerAddress
	long := make(chan string, 1)
	go func() { long <- postOn(dialCaller(t, address), "long").body }()
	<-arrived
	early := dialCaller(t, address)
	stopping.cancel()
	refused := func() bool {
		c, err := net.DialTimeout("tcp", address, waitTimeout)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	ended := assert.Eventually(t, refused, waitTimeout, drainPollInterval)
	if ended {
		assert.Equal(t, "draining", stopping.instance.stateMachine.State())
		response := postOn(early, "short")
		assert.Equal(t, "short", response.body)
		assert.Equal(t, "close", response.header.Get("Connection"))
	}
	close(release)
	assert.Equal(t, "long", <-long)
	require.NoError(t, <-stopping.ended)
	assert.Equal(t, "stopped", stopping.instance.stateMachine.State())
}

// A request arrives on an open connection after the instance has found none in
// flight. Guards against ending while a target executes it.
func TestRequestAfterDrainIsCompleted(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	target := startScriptedTarget(t, func(_ *http.Request, body []byte, c net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return write(c, httpResponse("200 OK", "", string(body)))
	})
	stopping := startStoppingInstance(t, startInstance(t, "a-1", target), false)
	open := dialCaller(t, stopping.instance.settings.CallerAddress)
	stopping.cancel()
	assert.Eventually(t, func() bool {
		c, err := net.DialTimeout("tcp", stopping.instance.settings.CallerAddress, waitTimeout)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}, waitTimeout, time.Millisecond)
	response := make(chan string, 1)
	go func() { response <- postOn(open, "late").body }()
	<-arrived
	select {
	case <-stopping.ended:
		assert.Fail(t, "the instance has ended with a request in flight")
		stopping.ended <- nil
	case <-time.After(4 * closeGrace):
	}
	close(release)
	assert.Equal(t, "late", <-response)
	require.NoError(t, <-stopping.ended)
}

func dialCaller(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if !assert.NoError(t, err) {
		return nil
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// postOn sends a request on a connection. The result is empty when there is no
// response.
func postOn(c net.Conn, body string) callerResponse {
	text := fmt.Sprintf("POST /writes/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if c == nil || !write(c, text) {
		return callerResponse{}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callerResponse{}
	}
	defer func() { _ = r.Body.Close() }()
	content, _ := io.ReadAll(r.Body)
	header := r.Header.Clone()
	if r.Close {
		header.Set("Connection", "close")
	}
	return callerResponse{status: r.StatusCode, header: header, body: string(content)}
}

// Guards against an instance whose Run has failed and that still accepts requests
// or operators, or keeps their addresses from being used again.
func TestFailedRunClosesAllListeners(t *testing.T) {
	for _, failing := range []string{"callers, at the start", "operators, at the start", "peers", "callers"} {
		t.Run(failing, func(t *testing.T) {
			original := startInstance(t, "o-1")
			s := original.settings
			s.CallerAddress, s.PeerAddress, s.OperatorAddress = freeAddress(t), freeAddress(t), freeAddress(t)
			inst, err := New(s, original.log)
			require.NoError(t, err)
			addresses := []string{s.CallerAddress, s.PeerAddress, s.OperatorAddress}
			occupied := map[string]string{"callers, at the start": s.CallerAddress, "operators, at the start": s.OperatorAddress}[failing]
			if occupied != "" {
				other, err := net.Listen("tcp", occupied)
				require.NoError(t, err)
				defer func() { _ = other.Close() }()
			}
			opened := make(chan *listeners, 1)
			inst.onListen = func(l *listeners) { opened <- l }
			ended := make(chan error, 1)
			go func() { ended <- inst.Run(t.Context()) }()
			if occupied == "" {
				l := <-opened
				for _, address := range addresses {
					c, err := net.Dial("tcp", address)
					require.NoError(t, err)
					require.NoError(t, c.Close())
				}
				require.NoError(t, map[string]net.Listener{"peers": l.peers, "callers": l.callers}[failing].Close())
			}
			select {
			case err := <-ended:
				require.Error(t, err)
				assert.NotContains(t, err.Error(), "%!")
			case <-time.After(waitTimeout):
				require.Fail(t, "Run has not ended")
			}
			for _, address := range addresses {
				if address == occupied {
					continue
				}
				assert.Eventually(t, func() bool {
					l, err := net.Listen("tcp", address)
					if err == nil {
						_ = l.Close()
					}
					return err == nil
				}, 2*time.Second, 10*time.Millisecond, address)
			}
		})
	}
}

// silentConfigPeers never respond to a fetch.
type silentConfigPeers struct {
	configsync.Peers
	fetching atomic.Int64
	started  chan struct{}
}

func (peers *silentConfigPeers) Members() []configsync.Member { return nil }

func (peers *silentConfigPeers) Fetch(ctx context.Context, _ string, _ *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	peers.fetching.Add(1)
	defer peers.fetching.Add(-1)
	peers.started <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a fetch of a configuration, begun by a heartbeat, that goes on
// after Run has returned, or begins then.
func TestConfigFetchEndsWithRun(t *testing.T) {
	original := startInstance(t, "o-1")
	s := original.settings
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	inst, err := New(s, original.log)
	require.NoError(t, err)
	inst.skipDrain = true
	peers := &silentConfigPeers{started: make(chan struct{}, 2)}
	inst.config.relay = configsync.NewRelay(configsync.Member{Name: s.Name, Domain: s.Domain}, inst.config.store, peers, nil, inst.events, nil)
	ctx, cancel := context.WithCancel(t.Context())
	listening, ended := make(chan struct{}), make(chan error, 1)
	inst.onListen = func(*listeners) { close(listening) }
	go func() { ended <- inst.Run(ctx) }()
	<-listening
	heartbeat := &peerpb.HeartbeatRequest{From: &peerpb.MemberUpdate{Name: "p-1", Domain: s.Domain}, ConfigVersion: 7}
	_, err = (&peerServer{instance: inst}).Heartbeat(ctx, heartbeat)
	require.NoError(t, err)
	<-peers.started
	cancel()
	require.NoError(t, <-ended)
	assert.Zero(t, peers.fetching.Load())
	_, err = (&peerServer{instance: inst}).Heartbeat(t.Context(), heartbeat)
	require.NoError(t, err)
	assert.Empty(t, peers.started)
}

// exhaustedListener fails its first accept call, as when the process has used up its
// file descriptors.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against servers that end, and with them the instance, because one accept
// call has failed.
func TestServersOutlastFailedAccept(t *testing.T) {
	inst := startInstance(t, "a-1")
	for name, newServer := range map[string]func(net.Listener) (*server.Hertz, error){
		"callers":   func(l net.Listener) (*server.Hertz, error) { return inst.callerServer(l), nil },
		"operators": inst.operatorServer,
	} {
		inner, err := net.Listen("tcp", freeAddress(t))
		require.NoError(t, err)
		h, err := newServer(&exhaustedListener{Listener: inner})
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- h.Run() }()
		served := make(chan string, 1)
		go func() { served <- postOn(dialCaller(t, inner.Addr().String()), "x").header.Get("Content-Type") }()
		select {
		case err := <-ended:
			assert.Fail(t, "the server has ended", "%s: %v", name, err)
		case contentType := <-served:
			assert.NotEmpty(t, contentType, name)
		}
		_ = h.Close()
		_ = inner.Close()
	}
}
