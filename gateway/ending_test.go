package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

// logRecorder keeps the log lines of a site.
type logRecorder struct {
	mu    sync.Mutex
	lines []log.Fields
}

func (r *logRecorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, e.Fields)
	return nil
}

// of returns the lines of an event.
func (r *logRecorder) of(event events.Event) []log.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []log.Fields
	for _, line := range r.lines {
		if line["event"] == event.Number {
			found = append(found, line)
		}
	}
	return found
}

// awaitOne waits for the first line of an event.
func (r *logRecorder) awaitOne(t *testing.T, event events.Event) log.Fields {
	t.Helper()
	require.Eventually(t, func() bool { return len(r.of(event)) > 0 }, 15*time.Second, time.Millisecond, event.Name)
	return r.of(event)[0]
}

// Guards against a connection that ends with requests unanswered and a log that
// does not tell which and why.
func TestEndOfConnectionWithUnansweredRequestsIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		event events.Event
		cause string
		end   func(*site, *caller)
	}{
		"closed":      {events.CallerLeft, "input-ended", func(_ *site, c *caller) { _ = c.Close() }},
		"half-closed": {events.CallerLeft, "input-ended", func(_ *site, c *caller) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
		"reset": {events.CallerLeft, "reset", func(_ *site, c *caller) {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}},
		"end of a stop": {events.ConnectionCut, "stop-ended", func(s *site, _ *caller) {
			s.server.Drain()
			s.server.StopAccepting()
			assert.Equal(s.t, int64(2), s.server.CloseAll())
			assert.Zero(s.t, s.server.Connections(), "the line is written before the process ends")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			logs := &logRecorder{}
			s := startSite(t, siteOptions{targets: slowTargets(1, 5*time.Second), timeout: 4 * time.Second, logs: logs})
			caller := s.dial()
			caller.send("GET", "/safe/1", "r1", "")
			caller.send("GET", "/safe/2", "r2", "")
			require.Eventually(t, func() bool { return s.executed("r1") == 1 && s.executed("r2") == 1 }, 5*time.Second, time.Millisecond)
			c.end(s, caller)
			line := logs.awaitOne(t, c.event)
			assert.Equal(t, c.cause, line["cause"])
			assert.Equal(t, 2, line["unanswered"])
			assert.Equal(t, []string{"r1", "r2"}, line["requests"])
			assert.Equal(t, caller.LocalAddr().String(), line["caller"])
		})
	}
}

// Guards against a log that blames the caller for a target's truncated response,
// and against one that does not name the request.
func TestTruncatedResponseIsLoggedAsCut(t *testing.T) {
	logs := &logRecorder{}
	s := startSite(t, siteOptions{logs: logs, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<20)+strings.Repeat("x", 300<<10))
		return false
	}}})
	caller := s.dial()
	caller.send("GET", "/safe/1", "r1", "")
	_, _ = io.Copy(io.Discard, caller)
	line := logs.awaitOne(t, events.ConnectionCut)
	assert.Equal(t, "response-failed", line["cause"])
	assert.Equal(t, []string{"r1"}, line["requests"])
}

// Guards against bytes that arrive too late on a connection and leave no trace.
func TestBytesBehindTheLastResponseAreLogged(t *testing.T) {
	logs := &logRecorder{}
	s := startSite(t, siteOptions{targets: slowTargets(1, 200*time.Millisecond), logs: logs})
	caller := s.dial()
	caller.send("GET", "/safe/1", "r1", "", "Connection: close")
	const late = "GET /safe/2 HTTP/1.1\r\n"
	_, err := io.WriteString(caller, late)
	require.NoError(t, err)
	assert.Equal(t, 200, caller.receive("GET").StatusCode)
	line := logs.awaitOne(t, events.ConnectionCut)
	assert.Equal(t, "after-response", line["cause"])
	assert.Equal(t, len(late), line["unreadBytes"])
	assert.Equal(t, 0, line["unanswered"])
}

// Guards against a log line for each connection that ends in order.
func TestOrderlyEndsAreNotLogged(t *testing.T) {
	logs := &logRecorder{}
	s := startSite(t, siteOptions{targets: fastTargets(1), logs: logs, limits: steering.Limits{IdleTimeout: 100 * time.Millisecond}})
	left, idle := s.dial(), s.dial()
	for i, c := range []*caller{left, idle} {
		c.send("GET", "/safe/1", fmt.Sprint("r", i), "")
		assert.Equal(t, 200, c.receive("GET").StatusCode)
	}
	require.NoError(t, left.Close())
	_, err := idle.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Eventually(t, func() bool { return s.server.Connections() == 0 }, 5*time.Second, time.Millisecond)
	assert.Empty(t, logs.of(events.CallerLeft))
	assert.Empty(t, logs.of(events.ConnectionCut))
}

// Guards against work that goes on for a caller that has closed its connection, and
// shows its cost: a caller that shuts down only its sending side gets no response,
// for pipelined requests neither.
func TestHalfClosedCallerCountsAsLeft(t *testing.T) {
	s := startSite(t, siteOptions{targets: slowTargets(1, 5*time.Second), timeout: 4 * time.Second})
	c := s.dial()
	c.send("GET", "/safe/1", "r1", "")
	c.send("POST", "/unsafe/2", "r2", "b")
	require.Eventually(t, func() bool { return s.executed("r1") == 1 && s.executed("r2") == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	assert.Eventually(t, func() bool { return s.targets[0].Aborted() == 2 }, 500*time.Millisecond, time.Millisecond)
	content, err := io.ReadAll(c)
	assert.NoError(t, err)
	assert.Empty(t, content)
}
