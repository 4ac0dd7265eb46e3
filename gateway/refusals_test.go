package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
)

// repeatingTarget is one or several targets that refuse the first attempt of each
// request, although they report free slots, and execute later ones. They write each
// refusal once more on the same connection, when the next response is expected
// there.
type repeatingTarget struct {
	mu         sync.Mutex
	refused    map[string]bool     // By request ID.
	repeats    map[net.Conn]string // Refusals that are still to be repeated.
	executions map[string]int      // By request ID.
	repeated   int
}

func newRepeatingTarget() *repeatingTarget {
	return &repeatingTarget{refused: map[string]bool{}, repeats: map[net.Conn]string{}, executions: map[string]int{}}
}

func refusalHead(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\n%s: 0,0,4\r\n", status, platform.HeaderRequestID, id,
		platform.HeaderNotExecuted, platform.HeaderServerLoad)
}

func (target *repeatingTarget) handle(_ int, r *http.Request, c net.Conn) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	id := r.Header.Get(platform.HeaderRequestID)
	target.mu.Lock()
	answer := target.repeats[c]
	if answer != "" {
		target.repeated++
	}
	delete(target.repeats, c)
	if target.refused[id] {
		target.executions[id]++
		answer += stampedHead(200, r) + "Content-Length: 1\r\n\r\nx"
	} else {
		target.refused[id] = true
		target.repeats[c] = refusalHead(503, id) + "Content-Length: 0\r\n\r\n"
		answer += target.repeats[c]
	}
	target.mu.Unlock()
	_, err := io.WriteString(c, answer)
	return err == nil
}

func (target *repeatingTarget) executed(id string) int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.executions[id]
}

func (target *repeatingTarget) repeatCount() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.repeated
}

// falseRefusals sends non-idempotent requests and returns how many were told that
// they were not executed although a target executed them, how many were executed
// more than once, and how many succeeded.
func falseRefusals(s *site, target *repeatingTarget) (refused, twice, succeeded int) {
	for i := range refusalRequests {
		id := fmt.Sprint("r", i)
		status := s.request("POST", "/unsafe/x", id, "b", fmt.Sprint("Cookie: X-Jacinthstall-Affinity-Key=", i)).StatusCode
		executions := target.executed(id)
		if executions > 1 {
			twice++
		}
		switch {
		case status == 200:
			succeeded++
		case (status == 408 || status == 421 || status == 429 || status == 503) && executions > 0:
			refused++
		}
	}
	return refused, twice, succeeded
}

// refusalRequests is small enough for the retry budget of a site.
const refusalRequests = 20

// Guards against taking a repeated refusal of a request's first attempt for the
// response to its second attempt at the same target, which executes it.
func TestRepeatedRefusalIsNotResponseToSecondAttempt(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		target := newRepeatingTarget()
		s := startSite(t, siteOptions{attempts: attempts, scripts: []script{target.handle, target.handle}})
		refused, twice, succeeded := falseRefusals(s, target)
		assert.Zero(t, refused, "%d attempts: refused and executed", attempts)
		assert.Zero(t, twice, "%d attempts: executed more than once", attempts)
		assert.Equal(t, refusalRequests, succeeded, "%d attempts: the second attempt is made and succeeds", attempts)
		assert.Positive(t, target.repeatCount(), "no refusal was repeated")
	}
}

// Guards against the same at a relay, which gets both attempts as separate requests.
func TestRepeatedRefusalAtRelayIsNotResponseToSecondAttempt(t *testing.T) {
	target := newRepeatingTarget()
	f := startFarSite(t, nil, target.handle)
	refused, twice, succeeded := falseRefusals(f.site, target)
	assert.Zero(t, refused, "refused and executed")
	assert.Zero(t, twice, "executed more than once")
	assert.Equal(t, refusalRequests, succeeded, "the second attempt is made and succeeds")
	assert.Equal(t, 1, f.relay.Connections(), "the requests went through the relay")
	assert.Positive(t, target.repeatCount(), "no refusal was repeated")
}

// A relay of an earlier version may send both attempts of a request on one
// connection to the target. Guards against a second attempt through it.
func TestNonIdempotentRequestIsNotRepeatedThroughEarlierRelay(t *testing.T) {
	for _, distinct := range []bool{false, true} {
		var mu sync.Mutex
		arrivals := map[string]int{}
		f := startFarSite(t, fastTargets(1))
		earlier := f.startScript(func(_ int, r *http.Request, c net.Conn) bool {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return false
			}
			id := r.Header.Get(platform.HeaderRequestID)
			mu.Lock()
			arrivals[id]++
			mu.Unlock()
			head := refusalHead(503, id) + "Jacinth-Relay-Result: answered\r\n"
			if distinct {
				head += "Jacinth-Relay-Distinct: 1\r\n"
			}
			_, err := io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
			return err == nil
		})
		f.useRelay(earlier)
		assert.Equal(t, 503, f.request("POST", "/unsafe/x", "once", "b").StatusCode)
		f.request("GET", "/safe/x", "safe", "")
		mu.Lock()
		want := 1
		if distinct {
			want = 2
		}
		assert.Equal(t, want, arrivals["once"], "relay states that it keeps attempts apart: %v", distinct)
		assert.Equal(t, 2, arrivals["safe"])
		mu.Unlock()
	}
}

// Guards against believing a statement "not executed" that does not certainly
// belong to this attempt, or that the rest of the response contradicts.
func TestUncertainRefusalIsUnknownOutcome(t *testing.T) {
	id, not, empty := platform.HeaderRequestID, platform.HeaderNotExecuted+": 1\r\n", "Content-Length: 0\r\n\r\n"
	for name, answer := range map[string]string{
		"without the request's ID":      "HTTP/1.1 503 X\r\n" + not + empty,
		"421 without the request's ID":  "HTTP/1.1 421 X\r\n" + not + empty,
		"two different IDs":             "HTTP/1.1 503 X\r\n" + id + ": r1\r\n" + id + ": r2\r\n" + not + empty,
		"two different IDs, other one":  "HTTP/1.1 503 X\r\n" + id + ": r2\r\n" + id + ": r1\r\n" + not + empty,
		"with a success":                "HTTP/1.1 200 OK\r\n" + id + ": r1\r\n" + platform.HeaderServerStamp + ": s\r\n" + not + empty,
		"without the statement":         "HTTP/1.1 503 X\r\n" + id + ": r1\r\n" + empty,
		"interim response":              "HTTP/1.1 103 X\r\n" + id + ": r1\r\n" + not + "\r\nHTTP/1.1 503 X\r\n" + empty,
		"of another request, then none": refusalHead(503, "r0") + "Connection: close\r\n" + empty,
	} {
		t.Run(name, func(t *testing.T) {
			for _, relayed := range []bool{false, true} {
				var mu sync.Mutex
				arrivals := 0
				refuse := func(_ int, r *http.Request, c net.Conn) bool {
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return false
					}
					mu.Lock()
					arrivals++
					mu.Unlock()
					_, _ = io.WriteString(c, answer)
					return false
				}
				var s *site
				if relayed {
					s = startFarSite(t, nil, refuse, refuse).site
				} else {
					s = startSite(t, siteOptions{scripts: []script{refuse, refuse}})
				}
				assert.Equal(t, 502, s.request("POST", "/unsafe/x", "r1", "b").StatusCode, "relayed: %v", relayed)
				mu.Lock()
				assert.Equal(t, 1, arrivals, "relayed: %v", relayed)
				mu.Unlock()
			}
		})
	}
}

// Guards against distrusting refusals that are certain: those with a body, a
// signature, or an interim response before them.
func TestCertainRefusalIsRetried(t *testing.T) {
	for name, answer := range map[string]string{
		"body":      refusalHead(503, "r1") + "Content-Length: 4\r\n\r\nfull",
		"signature": refusalHead(429, "r1") + platform.HeaderServerStamp + ": s\r\nContent-Length: 0\r\n\r\n",
		"interim":   "HTTP/1.1 102 X\r\n\r\n" + refusalHead(503, "r1") + "Content-Length: 0\r\n\r\n",
		"late":      refusalHead(503, "r0") + "Content-Length: 0\r\n\r\n" + refusalHead(503, "r1") + "Content-Length: 0\r\n\r\n",
		"same ID":   strings.Replace(refusalHead(503, "r1"), "\r\n", "\r\n"+platform.HeaderRequestID+": r1\r\n", 1) + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			refuse := func(_ int, r *http.Request, c net.Conn) bool {
				_, err := io.Copy(io.Discard, r.Body)
				require.NoError(t, err)
				_, err = io.WriteString(c, answer)
				return err == nil
			}
			s := startSite(t, siteOptions{scripts: []script{refuse, refuse}})
			assert.Equal(t, 503, s.request("POST", "/unsafe/x", "r1", "b").StatusCode)
		})
	}
}

// Guards against taking a late response without an ID, on a connection that was
// used before, for the response to a request without an ID.
func TestLateResponseIsNotResponseToRequestWithoutID(t *testing.T) {
	respond := func(number int, r *http.Request, c net.Conn) bool {
		_, err := io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		answer := refusalHead(400, "") + "Content-Length: 0\r\n\r\n"
		if r.Header.Get(platform.HeaderRequestID) != "" {
			answer = stampedHead(200, r) + "Content-Length: 1\r\n\r\nx"
		} else {
			answer = strings.Replace(answer, platform.HeaderRequestID+": \r\n", "", 1)
		}
		if number > 1 {
			answer = "HTTP/1.1 200 OK\r\n" + platform.HeaderServerStamp + ": s\r\nContent-Length: 4\r\n\r\nlate" + answer
		}
		_, err = io.WriteString(c, answer)
		return err == nil
	}
	for _, relayed := range []bool{false, true} {
		var s *site
		if relayed {
			s = startFarSite(t, nil, respond).site
		} else {
			s = startSite(t, siteOptions{scripts: []script{respond}})
		}
		require.Equal(t, 200, s.request("POST", "/unsafe/x", "r1", "b").StatusCode)
		c := s.dial()
		_, err := io.WriteString(c.Conn, "POST /unsafe/x HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: 1\r\n\r\nb")
		require.NoError(t, err)
		resp := c.receive("POST")
		assert.Equal(t, 503, resp.StatusCode, "relayed: %v", relayed)
		assert.Empty(t, resp.body, "relayed: %v", relayed)
	}
}
