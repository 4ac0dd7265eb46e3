package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/outcome"
)

// connectPeers lets instances know each other and serves their peer listeners.
func connectPeers(t *testing.T, instances ...*Instance) {
	t.Helper()
	connectPeersThrough(t, func(_ *Instance, l net.Listener) net.Listener { return l }, instances...)
}

// connectPeersThrough is connect with listeners that are wrapped.
func connectPeersThrough(t *testing.T, wrap func(*Instance, net.Listener) net.Listener, instances ...*Instance) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var list []kv.Instance
	var wait sync.WaitGroup
	for _, in := range instances {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		wait.Go(func() { _ = in.servePeers(ctx, wrap(in, l)) })
		wait.Go(func() { in.sendCrashReports(ctx) })
		in.settings.PeerAddress = l.Addr().String()
		list = append(list, kv.Instance{Name: in.settings.Name, Domain: in.settings.Domain, Region: in.settings.Region,
			PeerAddress: in.settings.PeerAddress, CallerAddress: in.settings.CallerAddress, State: kv.InstanceLive})
	}
	for _, in := range instances {
		in.members.applyList(list, time.Now())
	}
	t.Cleanup(func() {
		cancel()
		for _, in := range instances {
			_ = in.peers.Close()
		}
		wait.Wait()
	})
}

// startCountingTarget counts executions by key and answers with the body.
func startCountingTarget(t *testing.T) (string, func() map[string]int) {
	var mu sync.Mutex
	runs := map[string]int{}
	address := startScriptedTarget(t, func(r *http.Request, body []byte, c net.Conn) bool {
		mu.Lock()
		runs[r.Header.Get(outcome.HeaderIdempotencyKey)]++
		mu.Unlock()
		return write(c, httpResponse("201 Created", "Content-Type: text/plain\r\n", string(body)))
	})
	return address, func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		counted := map[string]int{}
		for key, n := range runs {
			counted[key] = n
		}
		return counted
	}
}

// Requirement R5 over sockets: guards against a second execution of a key that
// is sent through several instances, and against bodies altered by the relay.
func TestRelayToTheIssuer(t *testing.T) {
	target, runs := startCountingTarget(t)
	a, b, c := startInstance(t, "a-1", target), startInstance(t, "b-1", target), startInstance(t, "c-1", target)
	connectPeers(t, a, b, c)
	for i, size := range []int{0, 1, 3000, 64 << 10, 200 << 10} {
		key := fmt.Sprintf("%s.%d", a.keyPrefix(), i)
		content := strings.Repeat("x", size)
		for _, via := range []*Instance{b, a, c, b} {
			got := call(t, via, "POST", "/writes/x?q=1", key, strings.NewReader(content))
			require.NoError(t, got.err)
			assert.Equal(t, "201 answered yes", got.String(), "size %d via %s", size, via.settings.Name)
			assert.Equal(t, via.settings.Name, got.header.Get(outcome.HeaderInstance))
			if via == b && size <= 4096 {
				assert.Equal(t, content, got.body)
				assert.Equal(t, "text/plain", got.header.Get("Content-Type"))
			}
		}
		assert.Equal(t, 1, runs()[key])
	}
	assert.Equal(t, "422 key-reused no", call(t, b, "POST", "/writes/x", a.keyPrefix()+".0", strings.NewReader("else")).String())
}

// Guards against execution by another instance when the issuer does not answer.
func TestRelayToUnreachableIssuer(t *testing.T) {
	target, runs := startCountingTarget(t)
	a, b := startInstance(t, "a-1", target), startInstance(t, "b-1", target)
	connectPeers(t, b)
	key := a.keyPrefix() + ".k"
	assert.Equal(t, "409 issuer-gone unknown", call(t, b, "POST", "/writes/x", key, strings.NewReader("x")).String())
	b.members.applyList([]kv.Instance{{Name: "a-1", Region: "r", PeerAddress: freeAddress(t), State: kv.InstanceLive}}, time.Now())
	assert.Equal(t, "502 relay-failed unknown", call(t, b, "POST", "/writes/x", key, strings.NewReader("x")).String())
	assert.Empty(t, runs())
}

// Requirement R3 for relays: guards against an answer that is cut at the target
// and reaches the caller of another instance as whole.
func TestTruncatedRelayedResponse(t *testing.T) {
	target := startScriptedTarget(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		return false
	})
	a, b := startInstance(t, "a-1", target), startInstance(t, "b-1", target)
	connectPeers(t, a, b)
	got := call(t, b, "POST", "/writes/x", a.keyPrefix()+".k", strings.NewReader("x"))
	assert.Equal(t, "200 answered yes", got.String())
	assert.Error(t, got.err)
}

// Guards against a planned stop after which a key is executed again or its
// answer is lost.
func TestHandOverBetweenInstances(t *testing.T) {
	target, runs := startCountingTarget(t)
	a, b := startInstance(t, "a-1", target), startInstance(t, "b-1", target)
	connectPeers(t, a, b)
	prefix := a.keyPrefix()
	body := bytes.Repeat([]byte("y"), 100)
	for i := range 100 {
		got := call(t, a, "POST", "/writes/x", fmt.Sprintf("%s.%d", prefix, i), bytes.NewReader(body))
		require.Equal(t, "201 answered yes", got.String())
	}
	a.handOver(context.Background())
	assert.Empty(t, a.keyPrefix())
	for i := range 110 {
		via := []*Instance{a, b}[i%2]
		got := call(t, via, "POST", "/writes/x", fmt.Sprintf("%s.%d", prefix, i), bytes.NewReader(body))
		assert.Equal(t, "201 answered yes", got.String())
		assert.Equal(t, string(body), got.body)
	}
	for key, n := range runs() {
		assert.Equal(t, 1, n, key)
	}
	assert.Len(t, runs(), 110)
}

// Requirement R9 over sockets, three instances of a domain.
func TestCrashingRequestThroughSeveralInstances(t *testing.T) {
	var mu sync.Mutex
	crashes := map[int]int{}
	var addresses []string
	for i := range 6 {
		addresses = append(addresses, startScriptedTarget(t, func(_ *http.Request, _ []byte, _ net.Conn) bool {
			mu.Lock()
			defer mu.Unlock()
			crashes[i]++
			return false
		}))
	}
	a, b, c := startInstance(t, "a-1", addresses...), startInstance(t, "b-1", addresses...), startInstance(t, "c-1", addresses...)
	connectPeers(t, a, b, c)
	var wait sync.WaitGroup
	for _, in := range []*Instance{a, b, c} {
		for range 3 {
			wait.Go(func() {
				for range 10 {
					call(t, in, "GET", "/reads/poison", "", nil)
				}
			})
		}
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	assert.NotEmpty(t, crashes)
	assert.LessOrEqual(t, len(crashes), 2, "targets crashed: %v", crashes)
}

// Guards against "not executed" for a key that an earlier send may have
// executed, when a later send is refused before the records are asked.
func TestRefusalBeforeKeyCheck(t *testing.T) {
	target, _ := startCountingTarget(t)
	in := startInstance(t, "a-1", target)
	key := in.keyPrefix() + ".k"
	require.Equal(t, "201 answered yes", call(t, in, "POST", "/writes/x", key, strings.NewReader("x")).String())
	in.inFlight.Add(maxInFlight)
	assert.Equal(t, "503 overloaded unknown", call(t, in, "POST", "/writes/x", key, strings.NewReader("x")).String())
	assert.Equal(t, "503 overloaded no", call(t, in, "POST", "/writes/x", "", strings.NewReader("x")).String())
	in.inFlight.Add(-maxInFlight)
}
