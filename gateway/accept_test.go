package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/steering"
)

// memoryFor is a memory limit at which a number of requests is accepted at a time.
func memoryFor(requests int64) int64 { return requests * 192 << 10 }

// uploadHead returns the head of a request with a body.
func uploadHead(id string, length int, headers string) string {
	return fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\nContent-Length: %d\r\n%s\r\n", host,
		platform.HeaderRequestID, id, platform.HeaderDeadline, length, headers)
}

// Guards against reading, or asking for, the body of a request that is refused.
func TestRequestIsRefusedBeforeItsBody(t *testing.T) {
	noTargets := startSite(t, siteOptions{})
	accounts := startSite(t, siteOptions{targets: fastTargets(1)})
	accounts.state.Store(accountsState(t, accounts.state.Load(), 2, `{"a":{"apiKeys":["k"]}}`))
	noConfig := startSite(t, siteOptions{})
	noConfig.state.Store(steering.NewState())
	full := startSite(t, siteOptions{targets: fastTargets(1), memory: memoryFor(2)})
	for name, c := range map[string]struct {
		site   *site
		status int
	}{"no target": {noTargets, 503}, "no key": {accounts, 401}, "no configuration": {noConfig, 503}, "no memory": {full, 503}} {
		for _, length := range []int{100, 1 << 20} {
			for _, headers := range []string{"", "Expect: 100-continue\r\n"} {
				if name == "no memory" && length == 100 {
					continue
				}
				conn := c.site.dial()
				_, err := io.WriteString(conn, uploadHead("r1", length, headers))
				require.NoError(t, err)
				started := time.Now()
				resp := conn.receive("POST")
				assert.Equal(t, c.status, resp.StatusCode, name)
				assert.Equal(t, c.status == 503, resp.Header.Get("Retry-After") != "", name)
				assert.Equal(t, "r1", resp.Header.Get(platform.HeaderRequestID), name)
				assert.True(t, resp.Close, name)
				assert.Less(t, time.Since(started), time.Second, name)
				assert.Zero(t, c.site.executed("r1"), name)
			}
		}
	}
}

// Guards against closing the connection of a caller whose short body has arrived, and
// against taking the body for the next request.
func TestConnectionIsUsedAfterARefusal(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1)})
	s.state.Store(accountsState(t, s.state.Load(), 2, `{"a":{"apiKeys":["k"]}}`))
	c := s.dial()
	for i := range 3 {
		c.send("POST", "/unsafe/x", "r1", "GET /safe/x HTTP/1.1\r\n\r\n")
		assert.Equal(t, 401, c.receive("POST").StatusCode)
		c.send("HEAD", "/safe/x", "h", "")
		assert.Equal(t, 401, c.receive("HEAD").StatusCode)
		id := fmt.Sprint("served", i)
		c.send("POST", "/unsafe/x", id, "b", platform.HeaderKey+": k")
		assert.Equal(t, 200, c.receive("POST").StatusCode)
		assert.Equal(t, 1, s.executed(id))
	}
}

// Guards against more requests at a time than there is memory for, against a refused
// request that is executed, and against memory that is not released at the end of
// requests, whether they were answered, cut off or refused.
func TestRequestsAtATimeAreLimited(t *testing.T) {
	const limit, callers = 4, 12
	release := make(chan struct{})
	var arrived atomic.Int32
	s := startSite(t, siteOptions{memory: memoryFor(limit), timeout: 10 * time.Second, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived.Add(1)
		<-release
		_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
		return err == nil
	}}})
	cut := s.dial()
	_, err := io.WriteString(cut, uploadHead("cut", 100, "")+"part")
	require.NoError(t, err)
	require.Eventually(t, func() bool { requests, _, _, _ := s.gateway.MemoryUse(); return requests == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, cut.Close())
	require.Eventually(t, func() bool { requests, _, _, _ := s.gateway.MemoryUse(); return requests == 0 }, 5*time.Second, time.Millisecond)
	var refused, served atomic.Int32
	var callersDone sync.WaitGroup
	for i := range callers {
		c := s.dial()
		c.send("POST", "/unsafe/x", fmt.Sprint("r", i), "b")
		callersDone.Go(func() {
			resp := c.receive("POST")
			if resp.StatusCode == 200 {
				served.Add(1)
				return
			}
			assert.Equal(t, 503, resp.StatusCode)
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			assert.NoError(t, err)
			assert.Positive(t, after)
			refused.Add(1)
		})
	}
	assert.Eventually(t, func() bool { return refused.Load() == callers-limit }, 5*time.Second, time.Millisecond)
	close(release)
	callersDone.Wait()
	assert.EqualValues(t, limit, served.Load())
	assert.EqualValues(t, limit, arrived.Load(), "refused requests are not executed")
	assert.Eventually(t, func() bool { requests, bytes, _, _ := s.gateway.MemoryUse(); return requests == 0 && bytes == 0 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, 200, s.request("POST", "/unsafe/x", "later", "b").StatusCode)
}

// Guards against a request that is lost because its relay has no memory for it, and
// against avoiding the target.
func TestRequestGoesDirectlyWhenRelayHasNoMemory(t *testing.T) {
	f := startFarSite(t, fastTargets(1))
	f.relayGateway.UseMemory(1)
	for i := range 3 {
		id := fmt.Sprint("r", i)
		assert.Equal(t, 200, f.request("POST", "/unsafe/x", id, "b").StatusCode)
		assert.Equal(t, 1, f.executed(id))
	}
}

// Guards against a Retry-After that becomes shorter with each refused request, although
// the requests in progress take as long as before.
func TestRefusalsDoNotShortenRetryAfter(t *testing.T) {
	s := startSite(t, siteOptions{memory: memoryFor(2)})
	for i := range 60 {
		for _, length := range []int{100, 1 << 20} { // Without a target, and without memory.
			c := s.dial()
			_, err := io.WriteString(c, uploadHead(fmt.Sprintf("r%d-%d", i, length), length, ""))
			require.NoError(t, err)
			resp := c.receive("POST")
			require.NoError(t, c.Close())
			require.Equal(t, 503, resp.StatusCode)
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.GreaterOrEqual(t, after, 0.25, "half of the time that a request is assumed to take")
		}
	}
}

// Guards against many refused requests on a connection whose long IDs are kept until
// their responses are written.
func TestRefusedRequestWithLongIDIsTheLastOne(t *testing.T) {
	s := startSite(t, siteOptions{})
	for _, length := range []int{100, 20 << 10} {
		c := s.dial()
		id := strings.Repeat("i", length)
		c.send("GET", "/unknown/x", id, "")
		resp := c.receive("GET")
		assert.Equal(t, 404, resp.StatusCode)
		assert.Equal(t, id, resp.Header.Get(platform.HeaderRequestID))
		assert.Equal(t, length > 1<<10, resp.Close)
	}
}
