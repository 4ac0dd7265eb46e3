package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
)

// invalidStatuses are status codes that no HTTP response may have.
var invalidStatuses = []string{"000", "001", "099", "600", "999", "20", "2000", "+20", "-20", "+00", "2x0", "abc"}

// invalidResponse is a complete response with an invalid status, which also states
// that the request was not executed.
func invalidResponse(status string, r *http.Request) string {
	return strings.Replace(stampedHead(200, r), "200", status, 1) + platform.HeaderNotExecuted + ": 1\r\nContent-Length: 5\r\n\r\nwrong"
}

// respondInvalid returns a target whose responses have an invalid status.
func respondInvalid(status string) script {
	return func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, invalidResponse(status, r))
		return err == nil
	}
}

// Guards against passing on an invalid status, also through a relay, against a lost
// retry of an idempotent request, and against stating that a request was not executed
// that a target may have executed.
func TestInvalidStatusOfTarget(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			var arrivals atomic.Int32
			firstInvalid := func(number int, r *http.Request, c net.Conn) bool {
				if arrivals.Add(1) == 1 {
					return respondInvalid(status)(number, r, c)
				}
				_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
				return err == nil
			}
			for name, start := range map[string]func(...script) *site{
				"direct":          func(scripts ...script) *site { return startSite(t, siteOptions{scripts: scripts}) },
				"through a relay": func(scripts ...script) *site { return startFarSite(t, nil, scripts...).site },
			} {
				s := start(respondInvalid(status))
				assert.Equal(t, 502, s.request("POST", "/unsafe/x", "r1", "b").StatusCode, name)
				arrivals.Store(0)
				s = start(firstInvalid, firstInvalid)
				assert.Equal(t, 200, s.request("GET", "/safe/x", "r2", "").StatusCode, name)
				assert.EqualValues(t, 2, arrivals.Load(), name)
				arrivals.Store(0)
				s = start(firstInvalid, firstInvalid)
				assert.Equal(t, 502, s.request("POST", "/unsafe/x", "r3", "b").StatusCode, name)
				assert.EqualValues(t, 1, arrivals.Load(), name)
			}
		})
	}
}

// Guards against passing on an invalid status of the relay itself.
func TestInvalidStatusOfRelay(t *testing.T) {
	for _, status := range invalidStatuses {
		f := startFarSite(t, fastTargets(1))
		f.useRelay(f.startScript(func(_ int, r *http.Request, c net.Conn) bool {
			_, err := io.WriteString(c, strings.Replace(invalidResponse(status, r), "\r\n", "\r\nJacinth-Relay-Result: answered\r\n", 1))
			return err == nil
		}))
		assert.Equal(t, 502, f.request("POST", "/unsafe/x", "r1", "b").StatusCode, status)
		assert.Zero(t, f.executed("r1"))
	}
}

// Guards against an invalid status of a retry that replaces the failure response that
// is held meanwhile.
func TestHeldResponseIsDeliveredWhenRetryHasAnInvalidStatus(t *testing.T) {
	for _, status := range invalidStatuses {
		var arrivals atomic.Int32
		failing := func(number int, r *http.Request, c net.Conn) bool {
			if arrivals.Add(1) > 1 {
				return respondInvalid(status)(number, r, c)
			}
			_, err := io.WriteString(c, stampedHead(500, r)+"Content-Length: 5\r\n\r\nsorry")
			return err == nil
		}
		s := startSite(t, siteOptions{scripts: []script{failing, failing}})
		resp := s.request("GET", "/safe/x", "r1", "")
		assert.Equal(t, 500, resp.StatusCode, status)
		assert.Equal(t, "sorry", resp.body)
		assert.EqualValues(t, 2, arrivals.Load(), status)
	}
}

// Guards against passing on an invalid status that arrives before the target has read
// a long body, and against stating that the request was not executed.
func TestInvalidEarlyStatus(t *testing.T) {
	for _, status := range invalidStatuses {
		s := startSite(t, siteOptions{scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, invalidResponse(status, r))
			_, _ = io.Copy(io.Discard, r.Body)
			return false
		}}})
		c := s.dial()
		_, err := io.WriteString(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\nContent-Length: %d\r\n\r\n", host, platform.HeaderRequestID, 1<<20)+countingText(100<<10))
		require.NoError(t, err)
		assert.Equal(t, 502, c.receive("POST").StatusCode, status)
	}
}
