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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
)

// lookupCachingCaller keeps to a look-up answer for its lifetime, as callers do.
type lookupCachingCaller struct {
	http          *http.Client
	callerAddress string // Address of the caller for look-ups.
	neverLooksUp  bool   // Never looks up and keeps to the instances known.
	addresses     []string
	expiresAt     time.Time
	served        map[string]int
	failures      []string
}

func newLookupCachingCaller(from string, known ...string) *lookupCachingCaller {
	return &lookupCachingCaller{callerAddress: from, http: &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}, addresses: known, served: map[string]int{}}
}

func (c *lookupCachingCaller) lookUp() {
	for _, address := range c.addresses {
		answer, err := c.http.Get("http://" + address + pathLookup + "?" + lookup.ParameterCaller + "=" + c.callerAddress)
		if err != nil {
			continue
		}
		var list LookupResponse
		err = json.NewDecoder(answer.Body).Decode(&list)
		_ = answer.Body.Close()
		if err != nil || len(list.Instances) == 0 {
			continue
		}
		c.addresses = nil
		for _, instance := range list.Instances {
			c.addresses = append(c.addresses, instance.Address)
		}
		c.expiresAt = time.Now().Add(time.Duration(list.TTLMs) * time.Millisecond)
		return
	}
}

// send counts a fault unless some instance gives the whole answer. A refused
// connection is none: the request was not sent.
func (c *lookupCachingCaller) send() {
	if !c.neverLooksUp && !time.Now().Before(c.expiresAt) {
		c.lookUp()
	}
	for _, address := range c.addresses {
		answer, err := c.http.Post("http://"+address+"/writes/x", "text/plain", strings.NewReader("body"))
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			continue
		}
		if err != nil {
			c.failures = append(c.failures, err.Error())
			return
		}
		content, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil || string(content) != "body" {
			c.failures = append(c.failures, fmt.Sprint(answer.StatusCode, answer.Header.Get(outcome.HeaderReason), err))
			return
		}
		c.served[answer.Header.Get(outcome.HeaderInstance)]++
		return
	}
	c.failures = append(c.failures, "no instance")
}

// stopUnderLoad stops one of two instances while callers send through it, and
// returns what callers saw. Some of the callers ignore the lifetime of look-up
// answers.
func stopUnderLoad(t *testing.T, atOnce bool, ignoring int) (served map[string]int, faults []string) {
	var slow atomic.Int64
	target := startScriptedTarget(t, func(_ *http.Request, body []byte, c net.Conn) bool {
		wait := 5 * time.Millisecond
		if slow.Add(1)%10 == 0 {
			wait = 300 * time.Millisecond
		}
		time.Sleep(wait)
		return write(c, httpResponse("200 OK", "", string(body)))
	})
	a, b := startInstance(t, "a-1", target), startInstance(t, "b-1", target)
	serveLookups(t, b)
	connectPeers(t, b)
	// The stopping instance runs as a whole, on addresses of its own.
	whole := startStoppingInstance(t, a, atOnce)
	applyMutualList(whole.instance, b)
	var wait sync.WaitGroup
	var mu sync.Mutex
	served = map[string]int{}
	stopped := make(chan struct{})
	for i := range 8 {
		wait.Go(func() {
			c := newLookupCachingCaller(fmt.Sprintf("10.0.0.%d", i+1), whole.instance.settings.CallerAddress, b.settings.CallerAddress)
			c.neverLooksUp = i < ignoring
			for more := 5; more > 0; {
				c.send()
				select {
				case <-stopped:
					more--
				default:
				}
			}
			mu.Lock()
			defer mu.Unlock()
			faults = append(faults, c.failures...)
			for name, n := range c.served {
				served[name] += n
			}
		})
	}
	require.Eventually(t, func() bool { return slow.Load() > 100 }, waitTimeout, time.Millisecond)
	whole.cancel()
	require.NoError(t, <-whole.ended)
	if !atOnce {
		assert.Equal(t, "stopped", whole.instance.stateMachine.State())
	}
	whole.exit()
	close(stopped)
	wait.Wait()
	return served, faults
}

// stoppingInstance is an instance whose connections end with it, as those of a process
// do.
type stoppingInstance struct {
	instance *Instance
	cancel   context.CancelFunc
	ended    chan error

	mu    sync.Mutex
	conns []net.Conn
}

func (s *stoppingInstance) accept(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// exit resets all connections.
func (s *stoppingInstance) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// setShortLookupTTL puts a document with a short look-up lifetime in force.
func setShortLookupTTL(t *testing.T, in *Instance, from *policy.Document) {
	document := *from
	document.Timing.LookupTTLMs = 200
	in.document.Store(&document)
	require.NoError(t, applyTestDocument(in.lookupService, &document))
}

// serveLookups makes an instance that is not run as a whole answer look-ups.
func serveLookups(t *testing.T, in *Instance) {
	setShortLookupTTL(t, in, in.document.Load())
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { runEvery(ctx, lookupRefreshInterval, in.refreshLookups) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
}

// applyMutualList tells instances of each other, as the platform's list does.
func applyMutualList(instances ...*Instance) {
	var list []kv.Instance
	for _, in := range instances {
		s := in.settings
		list = append(list, kv.Instance{Name: s.Name, Domain: s.Domain, Region: s.Region,
			PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, State: kv.InstanceLive})
	}
	for _, in := range instances {
		in.members.applyList(list, time.Now())
	}
}

// startStoppingInstance runs a copy of an instance by Run, without a platform.
func startStoppingInstance(t *testing.T, like *Instance, atOnce bool) *stoppingInstance {
	s := like.settings
	s.Name = "s-1"
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	in, err := New(s, like.log)
	require.NoError(t, err)
	in.chooser = like.chooser
	in.skipDrain = atOnce
	setShortLookupTTL(t, in, like.document.Load())
	ctx, cancel := context.WithCancel(context.Background())
	running := &stoppingInstance{instance: in, cancel: cancel, ended: make(chan error, 1)}
	in.onAccept = running.accept
	go func() { running.ended <- in.Run(ctx) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, waitTimeout, time.Millisecond)
	return running
}

// Requirement R7: guards against requests that a planned stop cuts. Without
// the drain, the same load sees cut requests.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	_, faults := stopUnderLoad(t, true, 0)
	require.NotEmpty(t, faults, "the test must see cut requests without the drain")
	served, faults := stopUnderLoad(t, false, 0)
	assert.Empty(t, faults)
	assert.NotZero(t, served["s-1"])
	assert.NotZero(t, served["b-1"])
	t.Log(served)
}

// Guards against requests that are cut when new connections are refused: the
// callers keep connecting to the instance.
func TestRefusingConnectionsInterruptsNoRequest(t *testing.T) {
	served, faults := stopUnderLoad(t, false, 4)
	assert.Empty(t, faults)
	assert.NotZero(t, served["s-1"])
	assert.NotZero(t, served["b-1"])
}

// Guards against callers that ignore the lifetime of look-up answers: their new
// connections would keep the drain from ending until its limit.
func TestDrainRefusesNewConnections(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	target := startScriptedTarget(t, func(r *http.Request, body []byte, c net.Conn) bool {
		if string(body) == "long" {
			arrived <- struct{}{}
			<-release
		}
		return write(c, httpResponse("200 OK", "", string(body)))
	})
	running := startStoppingInstance(t, startInstance(t, "a-1", target), false)
	address := running.instance.settings.CallerAddress
	long := make(chan string, 1)
	go func() { long <- postOn(dialCaller(t, address), "long").body }()
	<-arrived
	early := dialCaller(t, address)
	running.cancel()
	refused := func() bool {
		c, err := net.DialTimeout("tcp", address, waitTimeout)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	ended := assert.Eventually(t, refused, waitTimeout, drainPollInterval)
	if ended {
		assert.Equal(t, "draining", running.instance.stateMachine.State())
		answer := postOn(early, "short")
		assert.Equal(t, "short", answer.body)
		assert.Equal(t, "close", answer.header.Get("Connection"))
	}
	close(release)
	assert.Equal(t, "long", <-long)
	require.NoError(t, <-running.ended)
	assert.Equal(t, "stopped", running.instance.stateMachine.State())
}

func dialCaller(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if !assert.NoError(t, err) {
		return nil
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// postOn sends a request on a connection. The answer is empty when there is
// none.
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
