package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
)

// entriesNamed returns the log entries of an event.
func entriesNamed(logs *memory.Handler, name string) []*log.Entry {
	var found []*log.Entry
	for _, entry := range logs.Entries {
		if entry.Fields["name"] == name {
			found = append(found, entry)
		}
	}
	return found
}

// Guards against a limit of a target, or an unknown header, that leaves no trace
// in the log.
func TestLimitsAndUnknownHeadersOfTargetsAreLogged(t *testing.T) {
	var header atomic.Value
	header.Store("")
	logs := memory.New()
	s := startSite(t, siteOptions{logs: logs, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, stampedHead(200, r)+header.Load().(string)+"Content-Length: 4\r\n\r\nbody")
		return err == nil
	}}})
	for i, line := range []string{"", "X-Jacinthstall-Server-Limit: 4.5\r\n", "X-Jacinthstall-Server-Limit: 4.5\r\n", "Server-Limit: 2\r\n",
		"Server-Limit: none\r\n", "", "X-Mood: blue\r\n", "X-Mood: red\r\n"} {
		header.Store(line)
		require.Eventually(t, func() bool {
			resp := s.request("GET", "/safe/x", fmt.Sprint("r", i), "")
			return resp.StatusCode == 200 || !assert.NotEmpty(t, resp.Header.Get("Retry-After"), "the only target is at its limit")
		}, 4*time.Second, 10*time.Millisecond)
	}
	var limits []any
	for _, entry := range entriesNamed(logs, "target-limit") {
		assert.Equal(t, "script0", entry.Fields["target"])
		limits = append(limits, entry.Fields["limited"], entry.Fields["perSecond"])
	}
	assert.Equal(t, []any{true, 4.5, true, 2.0, false, 0.0}, limits)
	unknown := entriesNamed(logs, "unknown-header")
	if assert.Len(t, unknown, 1) {
		assert.Equal(t, "X-Mood", unknown[0].Fields["header"])
	}
}

// Guards against an invalid figure in the load header that leaves no trace in the
// log, and against one that hides the other figures.
func TestInvalidLoadFiguresAreLoggedAndOthersUsed(t *testing.T) {
	logs := &statementLog{}
	var load atomic.Value
	s := startSite(t, siteOptions{logs: logs, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("X-Jacinthstall-Server-Load: %s\r\nContent-Length: 4\r\n\r\nbody", load.Load()))
		return err == nil
	}}})
	var sent time.Time
	for i, text := range []string{"0,0,8,100", "0,0,8,x", "0,0,8,y,1", "7,0,8", "3,-1,8,250"} {
		load.Store(text)
		sent = time.Now()
		assert.Equal(t, 200, s.request("GET", "/safe/x", fmt.Sprint("r", i), "").StatusCode)
	}
	assert.Equal(t, "load: slowdown, load: waiting", logs.all())
	grant, refusal := s.gateway.Balancer.Pick(sent, balance.Request{Service: "s", Objective: time.Second, Remaining: time.Second})
	require.Nil(t, refusal)
	assert.Equal(t, 3, grant.Load)
}
