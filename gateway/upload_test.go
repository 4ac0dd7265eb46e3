package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/steering"
)

// countingText returns text whose position can be told from its content.
func countingText(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%07d,", i)
	}
	return b.String()[:n]
}

// Load pattern: a target answers before it has read a long body, and reads on.
// Guards against a body of which parts are missing at the target because the
// connection was read elsewhere, and against ending it in a planned stop.
func TestUploadContinuesBesideEarlyResponse(t *testing.T) {
	const half = 200 << 10
	upload, download := countingText(2*half), strings.Repeat("y", 300<<10)
	for _, stop := range []bool{false, true} {
		received := make(chan string, 1)
		s := startSite(t, siteOptions{timeout: 5 * time.Second, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(download))+download[:len(download)/2])
			body, _ := io.ReadAll(r.Body)
			received <- string(body)
			_, _ = io.WriteString(c, download[len(download)/2:])
			return true
		}}})
		c := s.dial()
		_, err := io.WriteString(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\nContent-Length: %d\r\n\r\n", host, platform.HeaderRequestID, len(upload))+upload[:half])
		require.NoError(t, err)
		if stop {
			s.server.Drain()
		}
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		r, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err)
		if stop {
			s.server.CloseIdle()
		}
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(c, upload[half:])
		require.NoError(t, err)
		select {
		case body := <-received:
			assert.Equal(t, len(upload), len(body))
			assert.True(t, body == upload, "the target receives the body as it was sent")
		case <-time.After(5 * time.Second):
			t.Error("the target does not receive the body")
		}
		content, err := io.ReadAll(r.Body)
		assert.NoError(t, err)
		assert.Len(t, content, len(download))
		assert.True(t, r.Close, "the end of the body was not known when the response began")
	}
}

// Guards against a response without notice on a connection that is closed because
// the rest of a long body is not read: the next request on it would get no response.
func TestResponseBeforeEndOfBodyAnnouncesClose(t *testing.T) {
	for i := range 20 {
		s := startSite(t, siteOptions{})
		c := s.dial()
		_, err := io.WriteString(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: r%d\r\nContent-Length: %d\r\n\r\n", host, platform.HeaderRequestID, i, 1<<20)+countingText(100<<10))
		require.NoError(t, err)
		resp := c.receive("POST")
		assert.Equal(t, 503, resp.StatusCode, "no target")
		assert.True(t, resp.Close)
	}
}

// Guards against holding a request beyond the timeout of its route because its
// caller does not send the rest of a long body, and against a connection that is
// not closed for the same reason.
func TestStalledUploadEndsAtTimeout(t *testing.T) {
	s := startSite(t, siteOptions{timeout: 300 * time.Millisecond, scripts: []script{func(_ int, r *http.Request, _ net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	}}})
	c := s.dial()
	_, err := io.WriteString(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\nContent-Length: %d\r\n\r\n", host, platform.HeaderRequestID, 1<<20)+countingText(100<<10))
	require.NoError(t, err)
	started := time.Now()
	resp := c.receive("POST")
	assert.Equal(t, 504, resp.StatusCode)
	assert.True(t, resp.Close)
	assert.Less(t, time.Since(started), 800*time.Millisecond)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Eventually(t, func() bool { return s.server.Connections() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a connection that is held without limit by a caller that does not
// send the rest of a short body, in a stop until its end.
func TestStalledBodyEndsAtCallersDeadline(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1)})
	c := s.dial()
	_, err := io.WriteString(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: 300\r\nContent-Length: 10\r\n\r\nabc", host, platform.HeaderRequestID, platform.HeaderDeadline))
	require.NoError(t, err)
	started := time.Now()
	resp := c.receive("POST")
	assert.Equal(t, 408, resp.StatusCode)
	assert.True(t, resp.Close)
	assert.Less(t, time.Since(started), 2*time.Second)
	assert.Zero(t, s.executed("r1"), "408 promises that")
}

// Guards against a time limit of the body that applies to later requests.
func TestSlowBodyWithinDeadlineIsServed(t *testing.T) {
	s := startSite(t, siteOptions{targets: fastTargets(1), limits: steering.Limits{HeadTimeout: 100 * time.Millisecond}})
	c := s.dial()
	for i := range 2 {
		_, err := io.WriteString(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: r%d\r\n%s: 1000\r\nContent-Length: 10\r\n\r\nabc", host, platform.HeaderRequestID, i, platform.HeaderDeadline))
		require.NoError(t, err)
		time.Sleep(400 * time.Millisecond)
		_, err = io.WriteString(c, "defghij")
		require.NoError(t, err)
		assert.Equal(t, 200, c.receive("POST").StatusCode)
		time.Sleep(700 * time.Millisecond)
	}
}

// Load pattern: a caller sends a request that expects an interim response behind
// another one. Guards against writing it into the earlier response.
func TestInterimResponseFollowsEarlierResponse(t *testing.T) {
	const half = 200 << 10
	s := startSite(t, siteOptions{scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		if r.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body)
			_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
			return err == nil
		}
		_, _ = io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*half)+strings.Repeat("y", half))
		time.Sleep(300 * time.Millisecond)
		_, err := io.WriteString(c, strings.Repeat("y", half))
		return err == nil
	}}})
	c := s.dial()
	c.send("GET", "/safe/x", "r1", "")
	c.send("POST", "/unsafe/x", "r2", "", "Expect: 100-continue", "Content-Length: 4")
	first := c.receive("GET")
	assert.Equal(t, 200, first.StatusCode)
	assert.Equal(t, strings.Repeat("y", 2*half), first.body)
	assert.Equal(t, 100, c.receive("POST").StatusCode)
	_, err := io.WriteString(c, "body")
	require.NoError(t, err)
	assert.Equal(t, 200, c.receive("POST").StatusCode)
}

// Guards against holding a response that its target has sent before the end of a
// long request body until the caller sends more of the body.
func TestEarlyResponseIsNotHeldByAStalledUpload(t *testing.T) {
	s := startSite(t, siteOptions{timeout: 2 * time.Second, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, stampedHead(413, r)+"Content-Length: 5\r\n\r\nlarge")
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	}}})
	s.gateway.SetDialTimeout(longDialTimeout)
	c := s.dial()
	_, err := io.WriteString(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\nContent-Length: %d\r\n\r\n", host, platform.HeaderRequestID, 1<<20)+countingText(100<<10))
	require.NoError(t, err)
	started := time.Now()
	resp := c.receive("POST")
	assert.Equal(t, 413, resp.StatusCode)
	assert.Equal(t, "large", resp.body)
	assert.True(t, resp.Close)
	assert.Less(t, time.Since(started), time.Second)
	_, err = c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
