package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/once"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/settings"
)

// waitTimeout ends a test that hangs.
const waitTimeout = time.Minute

func TestMain(m *testing.M) {
	hlog.SetOutput(io.Discard)
	hlog.SetLevel(hlog.LevelFatal)
	m.Run()
}

// startInstance runs the callers' server of an instance with two services,
// "reads" (idempotent) and "writes", on the given targets.
func startInstance(t *testing.T, name string, targets ...string) *Instance {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.DebugLevel}
	s := settings.Settings{Name: name, Region: "r", Domain: "d", CallerAddress: freeAddress(t), Platform: "127.0.0.1:1"}
	inst, err := New(s, logger)
	require.NoError(t, err)
	d := &policy.Document{Version: 1,
		Timing:   policy.Timing{LookupTTLMs: 1000, DefaultDeadlineMs: 20000, MaxDeadlineMs: 60000},
		Regions:  []policy.Region{{Name: "r", Domains: []string{"d"}}},
		Services: []policy.Service{{Name: "reads", PathPrefix: "/reads", Idempotent: true}, {Name: "writes", PathPrefix: "/writes"}}}
	for i, address := range targets {
		for _, service := range []string{"reads", "writes"} {
			d.Targets = append(d.Targets, policy.Target{Name: fmt.Sprintf("%s-%d", service, i), Service: service, Domain: "d", Address: address})
		}
	}
	inst.document.Store(d)
	inst.chooser = randomChooser{domain: s.Domain, region: s.Region}
	listener, err := listenCallers(s.CallerAddress)
	require.NoError(t, err)
	server := inst.callerServer(listener)
	go func() { _ = server.Run() }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, waitTimeout, time.Millisecond)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
		inst.forwarder.Close()
	})
	return inst
}

// freeAddress returns an address to listen on. Each address has its own
// loopback host: on a shared host, an outgoing connection of another instance
// could take the port before the listener does.
func freeAddress(t *testing.T) string {
	t.Helper()
	return loopback.Host() + ":7100"
}

// startScriptedTarget starts a target that responds to each request by a script.
// The connection is closed when the script returns false.
func startScriptedTarget(t *testing.T, script func(r *http.Request, body []byte, c net.Conn) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			wait.Go(func() { serveConnByScript(c, script) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		wait.Wait()
	})
	return l.Addr().String()
}

func serveConnByScript(c net.Conn, script func(r *http.Request, body []byte, c net.Conn) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !script(r, body, c) {
			return
		}
	}
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func httpResponse(status, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
}

type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // Error while reading the body.
}

func (response callerResponse) String() string {
	return fmt.Sprintf("%d %s %s", response.status, response.header.Get(outcome.HeaderReason), response.header.Get(outcome.HeaderExecuted))
}

func call(t *testing.T, inst *Instance, method, path, key string, body io.Reader) callerResponse {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+inst.settings.CallerAddress+path, body)
	require.NoError(t, err)
	if key != "" {
		r.Header.Set(outcome.HeaderIdempotencyKey, key)
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// Requirement R3: a truncated response must not look complete to the caller,
// and a target must not be able to set the system's own headers.
func TestCallerDetectsTruncatedResponse(t *testing.T) {
	forged := outcome.HeaderInstance + ": forged\r\n" + outcome.HeaderReason + ": forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
	for _, c := range []struct {
		name, response string
		status         int
		body           string
		complete       bool
	}{
		{"length", httpResponse("201 Created", forged+"X-Kept: 1\r\n", "whole"), 201, "whole", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, "whole", true},
		{"empty", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", true},
		{"length, truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", 200, "part", false},
		{"length, truncated before the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 200, "", false},
		{"chunks, truncated between", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", 200, "part", false},
		{"chunks, truncated before the first", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, "", false},
		{"neither, connection closed", "HTTP/1.1 200 OK\r\n\r\npart", 200, "part", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inst := startInstance(t, "a-1", startScriptedTarget(t, func(_ *http.Request, _ []byte, conn net.Conn) bool {
				write(conn, c.response)
				return false
			}))
			got := call(t, inst, "GET", "/reads/x", "", nil)
			assert.Equal(t, c.status, got.status)
			assert.Equal(t, c.complete, got.err == nil, "transfer: %v", got.err)
			if c.complete {
				assert.Equal(t, c.body, got.body)
			} else {
				assert.True(t, strings.HasPrefix(c.body, got.body), got.body)
			}
			assert.Equal(t, []string{"a-1"}, got.header.Values(outcome.HeaderInstance))
			assert.Equal(t, []string{"answered"}, got.header.Values(outcome.HeaderReason))
			assert.Empty(t, got.header.Get("X-Hop"))
			require.Eventually(t, func() bool { return inst.inFlight.Load() == 0 }, waitTimeout, time.Millisecond)
		})
	}
}

// Requirement R4: for a failure at each point of the path, the reported outcome
// is compared with what targets executed.
func TestOutcomeAtEachFailurePoint(t *testing.T) {
	for _, c := range []struct {
		name   string
		script string // Response of the target; the connection is closed after it.
		write  string
		read   string
		runs   int // Executions of a write.
	}{
		{"answered", httpResponse("200 OK", "", "x"), "200 answered yes", "200 answered yes", 1},
		{"shed with proof", httpResponse("503 Busy", "Request-Executed: no\r\n", ""), "503 target-shed no", "503 target-shed no", 0},
		{"shed without proof", httpResponse("503 Busy", "", ""), "503 answered yes", "503 answered yes", 1},
		{"closed before the response", "", "502 target-failed unknown", "502 target-failed unknown", 1},
		{"closed within the head", "HTTP/1.1 200", "502 target-failed unknown", "502 target-failed unknown", 1},
		{"not HTTP", "hello\r\n\r\n", "502 target-failed unknown", "502 target-failed unknown", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			closed := make(chan struct{}, maxAttempts)
			target := startScriptedTarget(t, func(_ *http.Request, _ []byte, conn net.Conn) bool {
				if c.runs > 0 {
					runs.Add(1)
				}
				write(conn, c.script)
				_ = conn.Close()
				closed <- struct{}{}
				return false
			})
			inst := startInstance(t, "a-1", target)
			assert.Equal(t, c.write, call(t, inst, "POST", "/writes/x", "", strings.NewReader("body")).String())
			assert.EqualValues(t, c.runs, runs.Load())
			// The next request must not meet the end of this connection; see
			// TestOutcomeOnAConnectionThatTheTargetCloses.
			<-closed
			assert.Equal(t, c.read, call(t, inst, "GET", "/reads/x", "", nil).String())
		})
	}
	inst := startInstance(t, "a-1", freeAddress(t))
	assert.Equal(t, "502 target-failed no", call(t, inst, "POST", "/writes/x", "", strings.NewReader("body")).String())
	assert.Equal(t, "404 no-service no", call(t, inst, "GET", "/other", "", nil).String())
	none := startInstance(t, "a-1")
	assert.Equal(t, "503 no-target no", call(t, none, "GET", "/reads/x", "", nil).String())
	none.document.Store(nil)
	assert.Equal(t, "503 no-configuration no", call(t, none, "GET", "/reads/x", "", nil).String())
}

// A target that closes a kept connection as a request arrives on it may have
// executed that request: a write must not be sent again, and a read must be sent to
// another target.
func TestOutcomeOnAConnectionThatTheTargetCloses(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		targets            int
		want               string
		runs               int64 // Executions of the request.
	}{
		{"write", "POST", "/writes/second", 2, "502 target-failed unknown", 1},
		{"read with another target", "GET", "/reads/second", 2, "200 answered yes", 2},
		{"read without another target", "GET", "/reads/second", 1, "502 target-failed unknown", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			var kept sync.Map // Connections that carried a request before.
			var closedOne atomic.Bool
			respond := func(r *http.Request, _ []byte, conn net.Conn) bool {
				if strings.HasSuffix(r.URL.Path, "/second") {
					runs.Add(1)
					if closedOne.CompareAndSwap(false, true) {
						_, reused := kept.Load(conn)
						assert.True(t, reused, "the request arrived on a new connection")
						return false
					}
				}
				kept.Store(conn, true)
				return write(conn, httpResponse("200 OK", "", "x"))
			}
			var targets []string
			for range c.targets {
				targets = append(targets, startScriptedTarget(t, respond))
			}
			inst := startInstance(t, "a-1", targets...)
			for i := range 8 * c.targets { // Until each target has a kept connection.
				require.Equal(t, "200 answered yes", call(t, inst, "GET", fmt.Sprintf("/reads/%d", i), "", nil).String())
			}
			assert.Equal(t, c.want, call(t, inst, c.method, c.path, "", nil).String())
			assert.Equal(t, c.runs, runs.Load())
		})
	}
}

// A request that may have been executed must not be retried, and one that was
// not executed must be retried.
func TestRetries(t *testing.T) {
	var runs atomic.Int64
	respond := func(_ *http.Request, body []byte, c net.Conn) bool {
		runs.Add(1)
		return write(c, httpResponse("200 OK", "", string(body)))
	}
	down := freeAddress(t)
	inst := startInstance(t, "a-1", down, startScriptedTarget(t, respond))
	for i := range 20 {
		body := fmt.Sprint(i)
		got := call(t, inst, "POST", "/writes/x", "", strings.NewReader(body))
		assert.Equal(t, "200 answered yes", got.String(), "a refused connection is retried")
		assert.Equal(t, body, got.body)
	}
	assert.EqualValues(t, 20, runs.Load())

	shed := startScriptedTarget(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
		return write(c, httpResponse("503 Busy", "Request-Executed: no\r\n", ""))
	})
	inst = startInstance(t, "a-1", shed, startScriptedTarget(t, respond))
	for i := range 20 {
		got := call(t, inst, "POST", "/writes/x", "", strings.NewReader(fmt.Sprint(i)))
		assert.Equal(t, "200 answered yes", got.String(), "a provable refusal is retried")
	}
}

// Requirement R5 over sockets: a key must be executed only once, and only by
// the instance that issued it.
func TestKeyIsExecutedOnce(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	target := startScriptedTarget(t, func(r *http.Request, body []byte, c net.Conn) bool {
		mu.Lock()
		runs[r.Header.Get(outcome.HeaderIdempotencyKey)]++
		mu.Unlock()
		if strings.HasPrefix(string(body), "crash") {
			return false
		}
		return write(c, httpResponse("201 Created", "Content-Type: text/plain\r\n", "seat "+string(body)))
	})
	issuer, other := startInstance(t, "a-1", target), startInstance(t, "b-1", target)
	prefix := issuer.keyPrefix()
	for i := range 50 {
		key := fmt.Sprintf("%s.%d", prefix, i)
		body := fmt.Sprint(i)
		first := call(t, issuer, "POST", "/writes/x", key, strings.NewReader(body))
		assert.Equal(t, "201 answered yes", first.String())
		again := call(t, issuer, "POST", "/writes/x", key, strings.NewReader(body))
		assert.Equal(t, first.String(), again.String())
		assert.Equal(t, first.body, again.body)
		assert.Equal(t, first.header.Get("Content-Type"), again.header.Get("Content-Type"))
		assert.Equal(t, "422 key-reused no", call(t, issuer, "POST", "/writes/x", key, strings.NewReader("else")).String())
		viaOther := call(t, other, "POST", "/writes/x", key, strings.NewReader(body))
		assert.Equal(t, string(outcome.Unknown), viaOther.header.Get(outcome.HeaderExecuted))
	}
	lost := prefix + ".lost"
	assert.Equal(t, "502 target-failed unknown", call(t, issuer, "POST", "/writes/x", lost, strings.NewReader("crash")).String())
	assert.Equal(t, "502 target-failed unknown", call(t, issuer, "POST", "/writes/x", lost, strings.NewReader("crash")).String())
	for _, c := range []struct{ key, want string }{
		{"nonsense", "409 key-unknown no"},
		{"a-1.0.0.x", "409 issuer-gone unknown"},
	} {
		got := call(t, issuer, "POST", "/writes/x", c.key, strings.NewReader("x"))
		assert.Equal(t, c.want, got.String())
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Len(t, runs, 51)
	for key, n := range runs {
		assert.Equal(t, 1, n, key)
	}
}

// When a key is sent several times concurrently, only one send may be executed.
func TestConcurrentSendsOfAKey(t *testing.T) {
	var runs atomic.Int64
	release := make(chan struct{})
	target := startScriptedTarget(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
		runs.Add(1)
		<-release
		return write(c, httpResponse("200 OK", "", "x"))
	})
	inst := startInstance(t, "a-1", target)
	key := inst.keyPrefix() + ".k"
	parsed, err := once.ParseKey(key)
	require.NoError(t, err)
	require.Equal(t, inst.incarnation, parsed.Incarnation)
	responses := make(chan string, 20)
	for range 20 {
		go func() { responses <- call(t, inst, "POST", "/writes/x", key, strings.NewReader("b")).String() }()
	}
	require.Eventually(t, func() bool { return inst.inFlight.Load() == 20 }, waitTimeout, time.Millisecond)
	close(release)
	for range 20 {
		assert.Equal(t, "200 answered yes", <-responses)
	}
	assert.EqualValues(t, 1, runs.Load())
}

// Requirement R9 over sockets with one instance: a request that crashes targets
// must not crash a third one.
func TestCrashingRequestIsContained(t *testing.T) {
	var crashed [6]atomic.Int64
	var addresses []string
	for i := range crashed {
		addresses = append(addresses, startScriptedTarget(t, func(r *http.Request, _ []byte, c net.Conn) bool {
			if r.URL.Path == "/reads/poison" {
				crashed[i].Add(1)
				return false
			}
			return write(c, httpResponse("200 OK", "", "x"))
		}))
	}
	inst := startInstance(t, "a-1", addresses...)
	last := ""
	for range 30 {
		last = call(t, inst, "GET", "/reads/poison", "", nil).String()
		assert.Equal(t, "200 answered yes", call(t, inst, "GET", "/reads/good", "", nil).String())
	}
	assert.Equal(t, "422 quarantined no", last)
	targets, crashes := 0, int64(0)
	for i := range crashed {
		if n := crashed[i].Load(); n > 0 {
			targets++
			crashes += n
		}
	}
	assert.LessOrEqual(t, targets, 2)
	assert.EqualValues(t, 2, crashes)
}

// When a caller disconnects, its request must be cancelled at the target.
func TestDisconnectCancelsTheTarget(t *testing.T) {
	for _, request := range []string{
		"GET /reads/x HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /writes/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
		"POST /writes/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		started, cancelled := make(chan struct{}, 8), make(chan struct{}, 8)
		target := startScriptedTarget(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
			started <- struct{}{}
			_, _ = c.Read(make([]byte, 1))
			cancelled <- struct{}{}
			return false
		})
		inst := startInstance(t, "a-1", target)
		c, err := net.Dial("tcp", inst.settings.CallerAddress)
		require.NoError(t, err)
		write(c, request)
		<-started
		require.NoError(t, c.Close())
		<-cancelled
		require.Eventually(t, func() bool { return inst.inFlight.Load() == 0 }, waitTimeout, time.Millisecond)
	}
}

// Request and response bodies must be transferred unchanged, both buffered and
// streamed ones.
func TestBodiesArriveUnchanged(t *testing.T) {
	target := startScriptedTarget(t, func(_ *http.Request, body []byte, c net.Conn) bool {
		return write(c, httpResponse("200 OK", "", string(body)))
	})
	inst := startInstance(t, "a-1", target)
	for _, size := range []int{0, 1, prefetchBytes, 64<<10 - 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		content := bytes.Repeat([]byte("x1"), size/2+1)[:size]
		for _, chunked := range []bool{false, true} {
			body := io.Reader(bytes.NewReader(content))
			if chunked {
				body = io.MultiReader(body)
			}
			got := call(t, inst, "POST", "/writes/x", "", body)
			require.NoError(t, got.err)
			assert.Equal(t, "200 answered yes", got.String(), "%d bytes, chunked %v", size, chunked)
			assert.True(t, string(content) == got.body, "%d bytes, chunked %v", size, chunked)
		}
	}
	tooMuch := bytes.Repeat([]byte("x"), maxRequestBytes+1)
	assert.Equal(t, "413 body-too-large no", call(t, inst, "POST", "/writes/x", "", bytes.NewReader(tooMuch)).String())
}

// Requests with slow bodies must not occupy targets: other requests are served
// meanwhile.
func TestSlowBodiesOccupyNoTarget(t *testing.T) {
	var running atomic.Int64
	target := startScriptedTarget(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
		running.Add(1)
		return write(c, httpResponse("200 OK", "", "x"))
	})
	inst := startInstance(t, "a-1", target)
	for range 200 {
		c, err := net.Dial("tcp", inst.settings.CallerAddress)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		write(c, "POST /writes/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n"+strings.Repeat("x", 5000))
	}
	require.Eventually(t, func() bool { return inst.inFlight.Load() == 200 }, waitTimeout, time.Millisecond)
	for range 20 {
		assert.Equal(t, "200 answered yes", call(t, inst, "POST", "/writes/x", "", strings.NewReader("b")).String())
	}
	assert.EqualValues(t, 20, running.Load())
}
