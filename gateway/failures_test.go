package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/platform"
)

// Load pattern: a target flaps. It resets idle connections when they are reused,
// and resets new ones. Guards against using up all attempts of an idempotent
// request at this target while another one works.
func TestStaleConnectionIsNotCountedAsAttempt(t *testing.T) {
	var down atomic.Bool
	var flapped sync.Map
	s := startSite(t, siteOptions{targets: fastTargets(1), scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		if down.Load() {
			flapped.Store(r.Header.Get(platform.HeaderRequestID), true)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 1\r\n\r\nx")
		return err == nil
	}}})
	send := func(round string, i int) callerResponse {
		return s.request("GET", "/safe/x", fmt.Sprint(round, i), "", fmt.Sprint("Cookie: X-Jacinthstall-Affinity-Key=", i))
	}
	for i := range 8 {
		require.Equal(t, 200, send("a", i).StatusCode)
	}
	down.Store(true)
	for i := range 8 {
		assert.Equal(t, 200, send("b", i).StatusCode)
	}
	n := 0
	flapped.Range(func(any, any) bool { n++; return true })
	assert.Positive(t, n, "no request reached the flapping target")
}

// losingTarget is a target that executes requests and, while losing is set, resets the
// connection in place of the response, sooner than a stale connection is told from it.
type losingTarget struct {
	name    string
	losing  *atomic.Bool
	mu      *sync.Mutex
	targets map[string][]string // Names of the targets that executed a request, by its ID.
}

func (target losingTarget) handle(_ int, r *http.Request, c net.Conn) bool {
	id := r.Header.Get(platform.HeaderRequestID)
	target.mu.Lock()
	target.targets[id] = append(target.targets[id], target.name)
	target.mu.Unlock()
	if target.losing.Load() {
		time.Sleep(5 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 1\r\n\r\nx")
	return err == nil
}

// Load pattern: targets reset kept connections in place of responses. Guards against
// executing an idempotent request at more targets than its route allows.
func TestLostResponsesDoNotExceedTargetsOfRoute(t *testing.T) {
	for _, c := range []struct {
		attempts int
		relayed  bool
	}{{1, false}, {2, false}, {3, false}, {2, true}} {
		t.Run(fmt.Sprintf("attempts %d relayed %v", c.attempts, c.relayed), func(t *testing.T) {
			t.Parallel()
			var losing atomic.Bool
			var mu sync.Mutex
			executed := map[string][]string{}
			var scripts []script
			for i := range 6 {
				scripts = append(scripts, losingTarget{fmt.Sprint(i), &losing, &mu, executed}.handle)
			}
			var s *site
			if c.relayed {
				s = startFarSite(t, nil, scripts...).site
			} else {
				s = startSite(t, siteOptions{scripts: scripts, attempts: c.attempts})
			}
			mostTargets, repeated := 0, 0
			for round := range 4 {
				losing.Store(false)
				for i := range 30 { // Opens connections to the targets.
					s.request("GET", "/safe/x", fmt.Sprint("sound", round, "-", i), "")
				}
				losing.Store(true)
				for i := range 2 {
					id := fmt.Sprint("lost", round, "-", i)
					assert.Equal(t, 502, s.request("GET", "/safe/x", id, "").StatusCode)
					mu.Lock()
					ran := executed[id]
					mu.Unlock()
					distinct := map[string]bool{}
					for _, name := range ran {
						distinct[name] = true
					}
					mostTargets = max(mostTargets, len(distinct))
					repeated += len(ran) - len(distinct)
					assert.LessOrEqual(t, len(distinct), c.attempts, "request %s was executed by targets %v", id, ran)
					assert.LessOrEqual(t, len(ran), c.attempts+1, "one attempt on a stale connection is not counted")
				}
			}
			assert.Equal(t, c.attempts, mostTargets, "attempts are not used")
			assert.Positive(t, repeated, "no request was sent to the same target again")
		})
	}
}

// Guards against discarding a target's error response although the retry that was
// to replace it gets no response before the deadline.
func TestFailureResponseIsDeliveredWhenRetryGetsNone(t *testing.T) {
	retried := 0
	for i := range 8 { // The failing target is the home target of some of these objects.
		var failed, silent atomic.Bool
		s := startSite(t, siteOptions{timeout: 400 * time.Millisecond, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
			failed.Store(true)
			_, err := io.WriteString(c, stampedHead(500, r)+"Content-Length: 5\r\n\r\nsorry")
			return err == nil
		}, func(int, *http.Request, net.Conn) bool {
			silent.Store(true)
			return true
		}}})
		resp := s.request("GET", "/safe/x", "r1", "", fmt.Sprint("Cookie: X-Jacinthstall-Affinity-Key=", i))
		if failed.Load() && silent.Load() {
			retried++
			assert.Equal(t, 500, resp.StatusCode)
			assert.Equal(t, "sorry", resp.body)
		}
	}
	assert.Positive(t, retried, "no request was retried")
}

// Guards against leaving the connection to a target open after its long error
// response was replaced by the response to a retry.
func TestStreamedFailureIsClosedWhenReplaced(t *testing.T) {
	var open atomic.Int32
	var started atomic.Int32
	s := startSite(t, siteOptions{targets: fastTargets(1), scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		open.Add(1)
		defer open.Add(-1)
		started.Add(1)
		if _, err := io.WriteString(c, stampedHead(500, r)+"\r\n"); err != nil {
			return false
		}
		text := strings.Repeat("x", 16<<10)
		for range 4096 { // 64 MB
			if _, err := io.WriteString(c, text); err != nil {
				break
			}
		}
		return false
	}}})
	for i := range 8 {
		resp := s.request("GET", "/safe/x", fmt.Sprint("r", i), "", fmt.Sprint("Cookie: X-Jacinthstall-Affinity-Key=", i))
		assert.Equal(t, 200, resp.StatusCode)
	}
	require.Positive(t, started.Load(), "no request reached the failing target")
	assert.Eventually(t, func() bool { return open.Load() == 0 }, time.Second, time.Millisecond)
}

// Guards against an endless response body that looks complete to the caller, and
// against streaming it beyond the route's timeout.
func TestUnboundedBodyIsVisiblyTruncated(t *testing.T) {
	s := startSite(t, siteOptions{timeout: 400 * time.Millisecond, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, stampedHead(200, r)+"\r\n")
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat("x", 1<<10))
			time.Sleep(time.Millisecond)
		}
		return false
	}}})
	c := s.dial()
	c.send("GET", "/safe/x", "r1", "")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	started := time.Now()
	r, err := http.ReadResponse(c.reader, &http.Request{Method: "GET"})
	if err == nil && r.StatusCode == 200 {
		_, err = io.Copy(io.Discard, r.Body)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	} else {
		assert.Equal(t, 504, r.StatusCode)
	}
	assert.Less(t, time.Since(started), 2*time.Second)
}

// lateAcceptListener returns one more connection after it was closed, like an
// accept call that was already in progress.
type lateAcceptListener struct {
	net.Listener
	late   net.Conn
	closed chan struct{}
	sent   bool
}

func (l *lateAcceptListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.sent {
		return nil, net.ErrClosed
	}
	l.sent = true
	time.Sleep(50 * time.Millisecond)
	return l.late, nil
}

func (l *lateAcceptListener) Close() error {
	close(l.closed)
	return nil
}

// Guards against missing a connection that is accepted while the listener closes:
// its request would be aborted when the process ends.
func TestConnectionAcceptedDuringShutdownIsCounted(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1)})
	here, there := net.Pipe()
	defer func() { _ = here.Close() }()
	server := gateway.NewServer(s.gateway, &lateAcceptListener{late: there, closed: make(chan struct{})})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(t.Context())
	}()
	time.Sleep(20 * time.Millisecond)
	server.Drain()
	server.StopAccepting()
	assert.Equal(t, 1, server.Connections())
	<-done
	server.CloseAll()
}

// Guards against cancelling a non-idempotent request, which cannot be retried,
// because its target was slow to accept other connections.
func TestNonIdempotentRequestIsNotCancelledAtLostTarget(t *testing.T) {
	s := startSite(t, siteOptions{targets: slowTargets(1, 400*time.Millisecond)})
	c := s.dial()
	c.send("POST", "/unsafe/x", "r1", "b")
	require.Eventually(t, func() bool { return s.executed("r1") == 1 }, time.Second, time.Millisecond)
	s.gateway.CancelAttempts("t0")
	assert.Equal(t, 200, c.receive("POST").StatusCode)
}

// Guards against refusing a method that contains a digit, and against avoiding the
// targets for it.
func TestMethodWithDigitIsForwarded(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(2)})
	for i := range 6 {
		id := fmt.Sprint("r", i)
		assert.Equal(t, 200, s.request("M2", "/unsafe/x", id, "b").StatusCode)
		assert.Equal(t, 1, s.executed(id))
	}
	assert.Equal(t, 200, s.request("POST", "/unsafe/x", "usual", "b").StatusCode)
}
