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

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// respondOnce returns a target that responds to its first request with the given
// head lines, then to all others with a success, and the number of requests that it
// has received.
func respondOnce(first func(r *http.Request) string) (script, *atomic.Int32) {
	var requests atomic.Int32
	return func(_ int, r *http.Request, c net.Conn) bool {
		response := stampedHead(200, r) + "Content-Length: 2\r\n\r\nok"
		if requests.Add(1) == 1 {
			response = first(r)
		}
		_, err := io.WriteString(c, response)
		return err == nil
	}, &requests
}

// A target states once that it is leaving. Guards against statements that are
// missed in some kinds of responses, and against believing those that are not the
// target's or cannot be read.
func TestStatementOfLeavingInEachKindOfResponse(t *testing.T) {
	const leaving = platform.HeaderServerLeaving + ": 1\r\n"
	long := strings.Repeat("x", 300_000)
	for name, c := range map[string]struct {
		response func(r *http.Request) string
		believed bool
		invalid  string // Statement of the expected log line.
	}{
		"success": {func(r *http.Request) string { return stampedHead(200, r) + leaving + "Content-Length: 2\r\n\r\nok" }, true, ""},
		"short name": {func(r *http.Request) string {
			return stampedHead(200, r) + "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"
		}, true, ""},
		"failure": {func(r *http.Request) string { return stampedHead(500, r) + leaving + "Content-Length: 0\r\n\r\n" }, true, ""},
		"refusal": {func(r *http.Request) string {
			return stampedHead(503, r) + platform.HeaderNotExecuted + ": 1\r\n" + leaving + "Content-Length: 0\r\n\r\n"
		}, true, ""},
		"long": {func(r *http.Request) string {
			return stampedHead(200, r) + leaving + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long
		}, true, ""},
		"not leaving": {func(r *http.Request) string {
			return stampedHead(200, r) + "Server-Leaving: 0\r\nContent-Length: 2\r\n\r\nok"
		}, false, ""},
		"unreadable": {func(r *http.Request) string {
			return stampedHead(200, r) + "Server-Leaving: soon\r\nContent-Length: 2\r\n\r\nok"
		}, false, "leaving"},
		"two values": {func(r *http.Request) string {
			return stampedHead(200, r) + "Server-Leaving: 0\r\n" + leaving + "Content-Length: 2\r\n\r\nok"
		}, false, "leaving"},
		"without ID": {func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + platform.HeaderServerStamp + ": s\r\n" + leaving + "Content-Length: 2\r\n\r\nok"
		}, false, "response without the request's ID"},
		"other target": {func(r *http.Request) string { return stampedHead(421, r) + leaving + "Content-Length: 0\r\n\r\n" }, false, ""},
		"late response": {func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": earlier\r\n" + leaving + "Content-Length: 2\r\n\r\nok" + stampedHead(200, r) + "Content-Length: 2\r\n\r\nok"
		}, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			logs := &statementLog{}
			target, requests := respondOnce(c.response)
			s := startSite(t, siteOptions{scripts: []script{target}, logs: logs})
			s.request("GET", "/safe/x", "r0", "")
			before := requests.Load()
			status := s.request("GET", "/safe/x", "r1", "").StatusCode
			if c.believed {
				assert.Equal(t, 503, status, "no other target is there")
				assert.Equal(t, before, requests.Load())
			} else if name != "other target" { // Which is avoided for another reason.
				assert.Equal(t, 200, status)
			}
			assert.Equal(t, c.invalid, logs.all())
		})
	}
}

// statementLog keeps the statements of the lines invalid-statement.
type statementLog struct {
	mu         sync.Mutex
	statements []string
}

func (l *statementLog) HandleLog(entry *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry.Fields["name"] == "invalid-statement" {
		l.statements = append(l.statements, fmt.Sprint(entry.Fields["statement"]))
	}
	return nil
}

func (l *statementLog) all() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.statements, ", ")
}

// A target rejects a request and asks for a pause. Guards against further requests
// on kept connections, from pipelined requests and as repeats.
func TestPausedTargetGetsNoRequestsOnKeptConnections(t *testing.T) {
	s := startSite(t, siteOptions{targets: []wiretarget.Options{{Slots: 8, WarmTime: time.Millisecond}}})
	c := s.dial()
	c.send("GET", "/safe/x", "r0", "")
	assert.Equal(t, 200, c.receive("GET").StatusCode)
	s.targets[0].Pause(2 * time.Second)
	end := time.Now().Add(2 * time.Second)
	for i := 1; time.Now().Before(end.Add(-100 * time.Millisecond)); i++ {
		for k := range 3 {
			c.send("POST", "/unsafe/x", fmt.Sprintf("r%d-%d", i, k), "b")
		}
		for range 3 {
			resp := c.receive("POST")
			assert.Equal(t, 503, resp.StatusCode)
			assert.NotEmpty(t, resp.Header.Get("Retry-After"))
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.LessOrEqual(t, len(s.targets[0].Arrivals()), 1+3, "the first three were sent at once")
	assert.Eventually(t, func() bool {
		return s.request("GET", "/safe/x", fmt.Sprint("again", time.Now().UnixNano()), "").StatusCode == 200
	}, 3*time.Second, 20*time.Millisecond)
}

// A relay knows that a target is leaving, or has been asked for a pause. Guards
// against requests of peers that reach the target through it, and against a peer
// that asks the relay again and again.
func TestRelayDoesNotUseUnavailableTarget(t *testing.T) {
	for name, observe := range map[string]func(f *farSite){
		"leaving": func(f *farSite) {
			f.balancers["beside"].ObserveLeaving(time.Now(), f.records[0], balance.StatementFromResponse)
		},
		"paused": func(f *farSite) {
			f.balancers["beside"].ObservePause(time.Now(), f.records[0], 5*time.Second, balance.StatementFromResponse)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFarSite(t, []wiretarget.Options{{Slots: 4, WarmTime: time.Millisecond}})
			assert.Equal(t, 200, f.request("POST", "/unsafe/x", "r0", "b").StatusCode)
			observe(f)
			for i := range 5 {
				resp := f.request("POST", "/unsafe/x", fmt.Sprint("refused", i), "b")
				assert.Equal(t, 503, resp.StatusCode)
				assert.Zero(t, f.executed(fmt.Sprint("refused", i)))
			}
			leaving, paused := f.balancers["asked"].UnavailableTargets()
			assert.Equal(t, 1, leaving+paused, "the peer has learned of it")
			assert.Len(t, f.targets[0].Arrivals(), 1)
		})
	}
}

// A target beside a relay rejects a relayed request and asks for a pause. Guards
// against requests that reach it directly or through another relay meanwhile.
func TestPauseOfRelayedRequestIsKeptByBothInstances(t *testing.T) {
	f := startFarSite(t, []wiretarget.Options{{Slots: 4, WarmTime: time.Millisecond}})
	f.targets[0].Pause(3 * time.Second)
	assert.Equal(t, 503, f.request("POST", "/unsafe/x", "r0", "b").StatusCode)
	for name, balancer := range f.balancers {
		_, paused := balancer.UnavailableTargets()
		assert.Equal(t, 1, paused, name)
	}
	arrived := len(f.targets[0].Arrivals())
	for i := range 5 {
		assert.Equal(t, 503, f.request("GET", "/safe/x", fmt.Sprint("s", i), "").StatusCode)
	}
	assert.Len(t, f.targets[0].Arrivals(), arrived)
}
