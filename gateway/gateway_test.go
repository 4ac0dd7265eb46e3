package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
	"github.com/jacinthstall/jacinthstall/steering"
)

func fastTargets(n int) []wiretarget.Options {
	list := make([]wiretarget.Options, n)
	for i := range list {
		list[i] = wiretarget.Options{Slots: 4, MaxQueued: 8, WarmTime: 5 * time.Millisecond}
	}
	return list
}

func slowTargets(n int, work time.Duration) []wiretarget.Options {
	list := fastTargets(n)
	for i := range list {
		list[i].WarmTime = work
	}
	return list
}

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1)})
	resp := s.request("POST", "/unsafe/x?q=1%20", "r1", "hello", "Cookie: X-Jacinthstall-Affinity-Key=17", "Connection: close")
	assert.Equal(t, 200, resp.StatusCode)
	assert.Contains(t, resp.body, "POST")
	assert.Equal(t, "stamp-t0", resp.Header.Get(platform.HeaderServerStamp))
	assert.Equal(t, "r1", resp.Header.Get(platform.HeaderRequestID))
	assert.Equal(t, "hello", s.targets[0].Body("r1"))
	assert.True(t, resp.Close)
}

func TestChunkedBodyPassesUnchanged(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1)})
	c := s.dial()
	_, err := io.WriteString(c.Conn, "POST /unsafe/x HTTP/1.1\r\nHost: "+host+"\r\n"+platform.HeaderRequestID+
		": r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	require.NoError(t, err)
	assert.Equal(t, 200, c.receive("POST").StatusCode)
	assert.Equal(t, "abcde", s.targets[0].Body("r1"))
	long := strings.Repeat("x", 300<<10)
	c.send("POST", "/unsafe/x", "r2", long)
	assert.Equal(t, 200, c.receive("POST").StatusCode)
	assert.Equal(t, long, s.targets[0].Body("r2"), "a body that is streamed, not buffered")
	c.send("GET", "/safe/x", "r3", "")
	assert.Equal(t, 200, c.receive("GET").StatusCode, "the connection is kept open")
}

// Load pattern: callers send further requests before the first response. Guards
// against pipelined requests that wait for each other, and against responses in
// the wrong order.
func TestPipelinedRequestsRunConcurrentlyInOrder(t *testing.T) {
	s := startSite(t, siteOptions{targets: slowTargets(2, 200*time.Millisecond)})
	c := s.dial()
	started := time.Now()
	for i := range 6 {
		c.send("GET", fmt.Sprintf("/safe/%d", i), fmt.Sprint("r", i), "")
	}
	for i := range 6 {
		resp := c.receive("GET")
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, fmt.Sprint("r", i), resp.Header.Get(platform.HeaderRequestID))
		assert.Contains(t, resp.body, fmt.Sprintf("/safe/%d", i))
	}
	assert.Less(t, time.Since(started), 600*time.Millisecond, "sequential execution would take 1.2 s")
}

// Guards against executing requests for callers that have disconnected, including
// requests that were pipelined.
func TestRequestsOfDisconnectedCallerAreCancelled(t *testing.T) {
	s := startSite(t, siteOptions{targets: slowTargets(1, 5*time.Second), timeout: 4 * time.Second})
	c := s.dial()
	c.send("GET", "/safe/1", "r1", "")
	c.send("GET", "/safe/2", "r2", "")
	require.Eventually(t, func() bool { return s.executed("r1") == 1 && s.executed("r2") == 1 }, time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	assert.Eventually(t, func() bool { return s.targets[0].Aborted() == 2 }, 500*time.Millisecond, time.Millisecond)
	assert.Equal(t, 1, s.executed("r1"), "cancelled requests are not retried")
}

// Guards against handling a request beyond the timeout of its route.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	s := startSite(t, siteOptions{targets: slowTargets(1, 5*time.Second), timeout: 150 * time.Millisecond})
	started := time.Now()
	assert.Equal(t, 504, s.request("POST", "/unsafe/x", "r1", "b").StatusCode)
	assert.Less(t, time.Since(started), 400*time.Millisecond)
	assert.Eventually(t, func() bool { return s.targets[0].Aborted() == 1 }, 500*time.Millisecond, time.Millisecond)
}

// Guards against a retry that no target could complete: the first attempt fails
// shortly before the route's timeout.
func TestNoRetryWithTooLittleTimeLeft(t *testing.T) {
	s := startSite(t, siteOptions{targets: slowTargets(2, 250*time.Millisecond), timeout: 300 * time.Millisecond})
	resp := s.request("GET", "/safe/x", "r1", "", wiretarget.HeaderFault+": "+wiretarget.FaultStatus500)
	assert.Equal(t, 500, resp.StatusCode)
	assert.Equal(t, 1, s.executed("r1"))
}

// Guards against reporting an executed request as not executed, and against
// executing a non-idempotent request twice.
func TestNonIdempotentRequestIsNotRetriedAfterReset(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(3)})
	resp := s.request("POST", "/unsafe/x", "r1", "b", wiretarget.HeaderFault+": "+wiretarget.FaultNoResponse)
	assert.Equal(t, 502, resp.StatusCode)
	assert.Equal(t, 1, s.executed("r1"))
	s.request("GET", "/safe/x", "r2", "", wiretarget.HeaderFault+": "+wiretarget.FaultNoResponse)
	assert.Equal(t, 2, s.executed("r2"), "an idempotent request is retried within the route's attempts")
}

// Guards against a request that crashes every target it reaches and that its
// caller sends repeatedly.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	target := &crashingTarget{bytes: 100, sent: -1}
	s := startSite(t, siteOptions{scripts: slices.Repeat([]script{target.handle}, 6)})
	for i := range 8 {
		before := target.executed.Load()
		resp := s.request("POST", "/unsafe/poison", fmt.Sprint("r", i), "b")
		if target.executed.Load() == before {
			assert.Equal(t, 503, resp.StatusCode)
		}
		awaitCrashChecks()
	}
	assert.Equal(t, int32(3), target.executed.Load())
	assert.Equal(t, 200, s.request("POST", "/unsafe/other", "good", "b").StatusCode)
}

// Guards against mistaking crashes on reused connections for stale connections.
func TestCrashesOnReusedConnectionsAreCounted(t *testing.T) {
	target := &crashingTarget{bytes: 100, sent: -1}
	s := startSite(t, siteOptions{scripts: slices.Repeat([]script{target.handle}, 6)})
	for i := range 8 {
		for j := range 12 { // Leaves an idle connection to each target.
			s.request("POST", fmt.Sprint("/unsafe/w", j), fmt.Sprintf("w%d-%d", i, j), "b")
		}
		s.request("POST", "/unsafe/poison", fmt.Sprint("r", i), "b")
		awaitCrashChecks()
	}
	assert.Equal(t, int32(3), target.executed.Load())
}

// Guards against failing a shed request although another target has capacity. A
// shed request was not executed, so it may be sent again.
func TestShedRequestIsSentToAnotherTarget(t *testing.T) {
	targets := fastTargets(2)
	targets[0].Slots, targets[0].MaxQueued, targets[0].WarmTime = 1, 0, 400*time.Millisecond
	targets[1].Slots, targets[1].MaxQueued, targets[1].WarmTime = 1, 0, 400*time.Millisecond
	s := startSite(t, siteOptions{targets: targets})
	for _, r := range s.records {
		r.Slots = 4 // More than the target has, as after a change that has not arrived yet.
	}
	first, second := s.dial(), s.dial()
	first.send("POST", "/unsafe/x", "r1", "b")
	require.Eventually(t, func() bool { return s.executed("r1") == 1 }, time.Second, time.Millisecond)
	second.send("POST", "/unsafe/x", "r2", "b")
	assert.Equal(t, 200, first.receive("POST").StatusCode)
	assert.Equal(t, 200, second.receive("POST").StatusCode)
	assert.Equal(t, 1, s.executed("r1"))
	assert.Equal(t, 1, s.executed("r2"))
}

// Guards against executing a request at a different target that has taken over
// the address.
func TestTargetWithOtherIDDoesNotExecuteRequest(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1), wrongID: true})
	resp := s.request("POST", "/unsafe/x", "r1", "b")
	assert.Equal(t, 503, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Zero(t, s.executed("r1"))
}

// Guards against taking a late response on a reused connection for the response
// to the next request.
func TestLateResponseToOtherRequestIsSkipped(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1)})
	c := s.dial()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		c.send("GET", "/safe/"+id, id, "", wiretarget.HeaderFault+": "+wiretarget.FaultExtraResponse)
		resp := c.receive("GET")
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, id, resp.Header.Get(platform.HeaderRequestID))
		assert.Contains(t, resp.body, "/safe/"+id)
	}
}

func TestUnusableResponses(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(2)})
	for fault, status := range map[string]int{
		wiretarget.FaultUnframed:  200, // Complete when the connection closes.
		wiretarget.FaultTruncate:  502,
		wiretarget.FaultNoStamp:   502,
		wiretarget.FaultStatus500: 500,
	} {
		resp := s.request("POST", "/unsafe/x", "r-"+fault, "b", wiretarget.HeaderFault+": "+fault)
		assert.Equal(t, status, resp.StatusCode, fault)
		assert.Equal(t, 1, s.executed("r-"+fault), fault)
		if status == 502 {
			assert.Empty(t, resp.Header.Get(platform.HeaderServerStamp), fault)
		}
	}
}

// Guards against system responses that leave a caller without guidance: the
// status shows whether the request was executed, Retry-After when to retry.
func TestSystemResponses(t *testing.T) {
	s := startSite(t, siteOptions{limits: steering.Limits{MaxHeadBytes: 2048, MaxBodyBytes: 64, HeadTimeout: 200 * time.Millisecond}})
	assert.Equal(t, 404, s.request("GET", "/other/x", "r1", "").StatusCode)
	resp := s.request("GET", "/safe/x", "r2", "")
	assert.Equal(t, 503, resp.StatusCode, "no target")
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Equal(t, "r2", resp.Header.Get(platform.HeaderRequestID))
	assert.Equal(t, 431, s.request("GET", "/safe/x", "r3", "", "X-Long: "+strings.Repeat("x", 4096)).StatusCode)
	assert.Equal(t, 413, s.request("POST", "/unsafe/x", "r4", strings.Repeat("x", 65)).StatusCode)
	c := s.dial()
	_, err := io.WriteString(c.Conn, "GET /safe/x HTTP/1.1\r\nHost:")
	require.NoError(t, err)
	assert.Equal(t, 408, c.receive("GET").StatusCode)
	c = s.dial()
	_, err = io.WriteString(c.Conn, "no request at all\r\n\r\n")
	require.NoError(t, err)
	assert.Equal(t, 400, c.receive("GET").StatusCode)
}

// Guards against closing a connection before its idle timeout, while callers may
// still reuse it, and against never closing it.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1), limits: steering.Limits{IdleTimeout: 300 * time.Millisecond}})
	c := s.dial()
	c.send("GET", "/safe/1", "r1", "")
	assert.Equal(t, 200, c.receive("GET").StatusCode)
	time.Sleep(240 * time.Millisecond)
	c.send("GET", "/safe/2", "r2", "")
	assert.Equal(t, 200, c.receive("GET").StatusCode)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err := c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against closing a connection by the idle limit of an older configuration,
// while callers may reuse it by the newer one.
func TestIdleConnectionFollowsNewerLimit(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1), limits: steering.Limits{IdleTimeout: 200 * time.Millisecond}})
	used, fresh := s.dial(), s.dial()
	used.send("GET", "/safe/1", "r1", "")
	assert.Equal(t, 200, used.receive("GET").StatusCode)
	s.setLimits(steering.Limits{IdleTimeout: time.Second})
	time.Sleep(700 * time.Millisecond)
	for i, c := range []*caller{used, fresh} {
		c.send("GET", "/safe/2", fmt.Sprint("again", i), "")
		assert.Equal(t, 200, c.receive("GET").StatusCode)
	}
	require.NoError(t, used.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := used.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a graceful shutdown that aborts requests or leaves connections
// open.
func TestDrainCompletesRequestsAndCloses(t *testing.T) {
	s := startSite(t, siteOptions{targets: slowTargets(2, 200*time.Millisecond)})
	busy, idle := s.dial(), s.dial()
	idle.send("GET", "/safe/0", "r0", "")
	assert.False(t, idle.receive("GET").Close)
	for i := range 3 {
		busy.send("GET", fmt.Sprintf("/safe/%d", i), fmt.Sprint("p", i), "")
	}
	require.Eventually(t, func() bool { return s.executed("p2") == 1 }, time.Second, time.Millisecond)
	s.server.Drain()
	for i := range 3 {
		resp := busy.receive("GET")
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, i == 2, resp.Close, "only the last response closes the connection")
	}
	_, err := busy.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, 200, s.request("GET", "/safe/9", "r9", "").StatusCode, "new connections are still served")
	s.server.CloseIdle()
	_, err = idle.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Eventually(t, func() bool { return s.server.Connections() == 0 }, 2*time.Second, 10*time.Millisecond)
	assert.Zero(t, s.server.CloseAll())
}

func TestHeadResponseHasNoBody(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1)})
	c := s.dial()
	c.send("HEAD", "/safe/x", "r1", "")
	assert.Equal(t, http.StatusOK, c.receive("HEAD").StatusCode)
	c.send("GET", "/safe/x", "r2", "")
	assert.Equal(t, "r2", c.receive("GET").Header.Get(platform.HeaderRequestID))
}

// gatedListener accepts connections that are read only while its gate is open, as
// if the process got no processor time.
type gatedListener struct {
	net.Listener
	gate      *gate
	writeGate *gate
}

type gate struct {
	mu     sync.Mutex
	closed chan struct{} // Nil while the gate is open.
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gate) await() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

type gatedConn struct {
	*net.TCPConn
	gate      *gate
	writeGate *gate
	deadline  atomic.Pointer[time.Time]
}

func (c *gatedConn) SetReadDeadline(deadline time.Time) error {
	c.deadline.Store(&deadline)
	return c.TCPConn.SetReadDeadline(deadline)
}

// Read waits like a goroutine that is woken by input or by its deadline, and that
// continues when the gate is open.
func (c *gatedConn) Read(p []byte) (int, error) {
	for {
		c.gate.await()
		if deadline := c.deadline.Load(); c.hasInput() || deadline != nil && !deadline.IsZero() && time.Now().After(*deadline) {
			return c.TCPConn.Read(p)
		}
		time.Sleep(time.Millisecond)
	}
}

// Write returns when the write gate is open. The caller has the bytes before.
func (c *gatedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.writeGate.await()
	return n, err
}

func (c *gatedConn) hasInput() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	peekErr := error(nil)
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || peekErr != syscall.EAGAIN
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: conn.(*net.TCPConn), gate: l.gate, writeGate: l.writeGate}, nil
}

// startGated serves the site at a second address, whose connections are read only
// while the first gate is open, and whose writes return while the second is open.
func (s *site) startGated() (server *gateway.Server, reads, writes *gate) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	reads, writes = &gate{}, &gate{}
	server = gateway.NewServer(s.gateway, gatedListener{listener, reads, writes})
	s.address = listener.Addr().String()
	go func() { _ = server.Run(context.Background()) }()
	s.t.Cleanup(func() { server.StopAccepting(); server.CloseAll() })
	return server, reads, writes
}

// Guards against discarding a request that had arrived before an idle connection
// is closed, by the idle limit or by a stop, and was not read yet for want of
// processor time.
func TestRequestThatArrivedBeforeIdleCloseIsServed(t *testing.T) {
	const limit = 300 * time.Millisecond
	for _, stop := range []bool{false, true} {
		logs := &logRecorder{}
		s := startSite(t, siteOptions{targets: fastTargets(1), limits: steering.Limits{IdleTimeout: limit}, logs: logs})
		server, gate, _ := s.startGated()
		var callers []*caller
		for i := range 4 {
			c := s.dial()
			c.send("POST", "/unsafe/x", fmt.Sprint("first", i), "b")
			assert.False(t, c.receive("POST").Close)
			callers = append(callers, c)
		}
		gate.close()
		for i, c := range callers {
			c.send("POST", "/unsafe/x", fmt.Sprint("second", i), "b")
		}
		if stop {
			server.Drain()
			server.CloseIdle()
		} else {
			time.Sleep(limit + 100*time.Millisecond)
		}
		gate.open()
		for i, c := range callers {
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			r, err := http.ReadResponse(c.reader, nil)
			if assert.NoError(t, err, "stop %v, caller %d", stop, i) {
				assert.Equal(t, 200, r.StatusCode)
				assert.True(t, r.Close)
			}
		}
		assert.Empty(t, logs.of(events.ConnectionCut))
	}
}

// Guards against closing a connection whose last response has reached its caller
// without notice, and is not counted as written yet, without serving the next
// request.
func TestIdleCloseBesideTheEndOfAResponse(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1)})
	server, _, writes := s.startGated()
	c := s.dial()
	writes.close()
	c.send("POST", "/unsafe/x", "first", "b")
	assert.False(t, c.receive("POST").Close)
	server.Drain()
	server.CloseIdle()
	c.send("POST", "/unsafe/x", "second", "b")
	time.Sleep(50 * time.Millisecond)
	writes.open()
	resp := c.receive("POST")
	assert.Equal(t, 200, resp.StatusCode)
	assert.True(t, resp.Close)
}
