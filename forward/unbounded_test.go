package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// getMatchingPath returns a GET request that accepts only responses whose For
// header contains its path.
func getMatchingPath(uri string) *Request {
	r := getRequest(uri)
	r.MatchResponse = func(h http.Header) ResponseMatch {
		switch h.Get("For") {
		case uri:
			return MatchesRequest
		case "":
			return NoRequestID
		}
		return OtherRequest
	}
	return r
}

func okResponseFor(uri, content string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nFor: %s\r\nContent-Length: %d\r\n\r\n%s", uri, len(content), content)
}

// Guards against parsing bytes in the body of a late response as a response head
// when the body is longer than the limit for skipped bodies.
func TestHeadInsideLongLateResponseIsNotParsed(t *testing.T) {
	stolen := okResponseFor("/2", "stolen")
	target := newScriptedTarget(t, func(number int, c *scriptedConn) {
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			if r.URL.Path == "/2" && number == 1 {
				c.send(okResponseFor("/1", strings.Repeat("x", maxLateBodyBytes)+stolen))
			}
			c.send(okResponseFor(r.URL.Path, "own"))
		}
	})
	f := New()
	defer f.Close()
	_, _, err := doExchange(t, f, target.destination(), getMatchingPath("/1"))
	require.NoError(t, err)
	_, _, err = doExchange(t, f, target.destination(), getMatchingPath("/2"))
	require.ErrorIs(t, err, errLateResponses)
}

// Guards against delivering a duplicate response to the next caller. The
// duplicate arrives after the connection was reused.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	for name, duplicate := range map[string]string{
		"named":   okResponseFor("/1", "first"),
		"unnamed": okResponse("first"),
	} {
		t.Run(name, func(t *testing.T) {
			target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
				for r := c.readRequest(); r != nil; r = c.readRequest() {
					if r.URL.Path != "/1" {
						c.send(duplicate) // Arrives after the connection was reused.
					}
					c.send(okResponseFor(r.URL.Path, "first"))
				}
			})
			f := New()
			defer f.Close()
			_, _, err := doExchange(t, f, target.destination(), getMatchingPath("/1"))
			require.NoError(t, err)
			response, err := f.Do(context.Background(), target.destination(), getMatchingPath("/2"))
			if name == "unnamed" {
				require.ErrorIs(t, err, errNoRequestID, "it may belong to any request")
				return
			}
			require.NoError(t, err)
			assert.Equal(t, "/2", response.Header.Get("For"))
			_ = response.Body.Close()
		})
	}
}

// maxScriptBytes is the number of bytes that a script sends at most. A reader
// without a limit of its own would read all of them.
const maxScriptBytes = 64 << 20

// repeatUntilClosed sends start once, then text repeatedly until the connection
// is closed.
func repeatUntilClosed(start, text string, pause time.Duration) func(*scriptedConn) {
	return func(c *scriptedConn) {
		c.send(start)
		if pause == 0 {
			text = strings.Repeat(text, 1+(16<<10)/len(text))
		}
		for sent := 0; sent < maxScriptBytes; sent += len(text) {
			if _, err := io.WriteString(c.Conn, text); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// Guards against endless input from a target that keeps a request beyond its
// deadline, fills the memory or leaves a connection open. Endless input in a head
// ends the exchange; in a body it is streamed until the deadline.
func TestUnboundedInputFromTarget(t *testing.T) {
	const slowInterval = time.Millisecond
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		script func(*scriptedConn)
		body   bool // The head is valid.
	}{
		"head, fast":           {script: repeatUntilClosed("HTTP/1.1 200 OK\r\n", "X-F: 0123456789\r\n", 0)},
		"head, slow":           {script: repeatUntilClosed("HTTP/1.1 200 OK\r\nX: ", "x", slowInterval)},
		"no head, fast":        {script: repeatUntilClosed("", "0123456789", 0)},
		"no head, slow":        {script: repeatUntilClosed("", "x", slowInterval)},
		"interim, fast":        {script: repeatUntilClosed("", "HTTP/1.1 102 Processing\r\n\r\n", 0)},
		"interim, slow":        {script: repeatUntilClosed("", "HTTP/1.1 102 Processing\r\n\r\n", 100*slowInterval)},
		"late responses, fast": {script: repeatUntilClosed("", okResponseFor("/other", "x"), 0)},
		"late body, fast":      {script: repeatUntilClosed("HTTP/1.1 200 OK\r\nFor: /other\r\nContent-Length: 99999999\r\n\r\n", "x", 0)},
		"late body, slow":      {script: repeatUntilClosed("HTTP/1.1 200 OK\r\nFor: /other\r\nContent-Length: 99999999\r\n\r\n", "x", slowInterval)},
		"body, fast":           {script: repeatUntilClosed("HTTP/1.1 200 OK\r\n\r\n", "0123456789", 0), body: true},
		"body, slow":           {script: repeatUntilClosed("HTTP/1.1 200 OK\r\n\r\n", "x", slowInterval), body: true},
		"failure, fast":        {script: repeatUntilClosed("HTTP/1.1 500 Error\r\n\r\n", "0123456789", 0), body: true},
		"size of a chunk":      {script: repeatUntilClosed(chunked, "0", 0), body: true},
		"size of a chunk slow": {script: repeatUntilClosed(chunked, "0", slowInterval), body: true},
		"chunk extension":      {script: repeatUntilClosed(chunked+"1;", "x", 0), body: true},
		"trailers, fast":       {script: repeatUntilClosed(chunked+"0\r\n", "X-F: 0123456789\r\n", 0), body: true},
		"trailers, slow":       {script: repeatUntilClosed(chunked+"0\r\nX: ", "x", slowInterval), body: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const requestTimeout = 300 * time.Millisecond
			scriptDone := make(chan struct{})
			target := newScriptedTarget(t, func(_ int, conn *scriptedConn) {
				defer close(scriptDone)
				if conn.readRequest() != nil {
					c.script(conn)
					conn.waitUntilClosed()
				}
			})
			f := New()
			defer f.Close()
			r := getMatchingPath("/x")
			r.MatchResponse = func(h http.Header) ResponseMatch {
				if h.Get("For") != "" {
					return OtherRequest
				}
				return MatchesRequest
			}
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			started := time.Now()
			response, err := f.Do(ctx, target.destination(), r)
			require.Equal(t, c.body, err == nil, err)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				require.Error(t, err, "an endless body is never complete")
				require.NoError(t, response.Body.Close())
			}
			assert.Less(t, time.Since(started), 10*requestTimeout)
			select {
			case <-scriptDone:
			case <-time.After(hangTimeout):
				t.Fatal("the connection is still open")
			}
			assert.Empty(t, f.pool.openCount, "no connections are open")
		})
	}
}

// Guards against keeping a connection open on which endless bytes follow a
// response: nothing reads them while the connection is idle.
func TestPruneIdleClosesConnectionsWithUnsolicitedBytes(t *testing.T) {
	sendMore := make(chan struct{})
	scriptDone := make(chan struct{})
	target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		c.readRequest()
		c.send(okResponse("x"))
		<-sendMore
		repeatUntilClosed("", "x", 0)(c)
		close(scriptDone)
	})
	f := New()
	defer f.Close()
	_, _, err := doExchange(t, f, target.destination(), getRequest("/1"))
	require.NoError(t, err)
	f.PruneIdle()
	assert.Len(t, f.pool.idle, 1, "a connection without unsolicited bytes is kept")
	close(sendMore)
	require.Eventually(t, func() bool { f.PruneIdle(); return len(f.pool.openCount) == 0 }, hangTimeout, time.Millisecond)
	<-scriptDone
}
