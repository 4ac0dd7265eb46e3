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

// getMatchingPath asks for a path and believes answers whose header names it.
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

// Guards against a head inside the body of a late answer that is longer than
// what is skipped.
func TestHeadInsideLongLateResponseIsNotParsed(t *testing.T) {
	stolen := okResponseFor("/2", "stolen")
	to := newScriptedTarget(t, func(number int, c *scriptedConn) {
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			if r.URL.Path == "/2" && number == 1 {
				c.send(okResponseFor("/1", strings.Repeat("x", maxLateBodyBytes)+stolen))
			}
			c.send(okResponseFor(r.URL.Path, "own"))
		}
	})
	f := New()
	defer f.Close()
	_, _, err := doExchange(t, f, to.destination(), getMatchingPath("/1"))
	require.NoError(t, err)
	_, _, err = doExchange(t, f, to.destination(), getMatchingPath("/2"))
	require.ErrorIs(t, err, errLateResponses)
}

// Guards against a second copy of an answer that arrives on a connection that
// is in use again, and goes to the next caller.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	for name, copied := range map[string]string{
		"named":   okResponseFor("/1", "first"),
		"unnamed": okResponse("first"),
	} {
		t.Run(name, func(t *testing.T) {
			to := newScriptedTarget(t, func(_ int, c *scriptedConn) {
				for r := c.readRequest(); r != nil; r = c.readRequest() {
					if r.URL.Path != "/1" {
						c.send(copied) // Late: the connection is in use again.
					}
					c.send(okResponseFor(r.URL.Path, "first"))
				}
			})
			f := New()
			defer f.Close()
			_, _, err := doExchange(t, f, to.destination(), getMatchingPath("/1"))
			require.NoError(t, err)
			answer, err := f.Do(context.Background(), to.destination(), getMatchingPath("/2"))
			if name == "unnamed" {
				require.ErrorIs(t, err, errNoRequestID, "it may be anyone's")
				return
			}
			require.NoError(t, err)
			assert.Equal(t, "/2", answer.Header.Get("For"))
			_ = answer.Body.Close()
		})
	}
}

// maxScriptBytes bounds what a script sends. A reader without a bound of its own
// would take all of it.
const maxScriptBytes = 64 << 20

// repeatUntilClosed sends a text again and again until the connection is closed.
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

// Guards against bytes without end that keep a request beyond its time, fill
// the memory or leave a connection open. In a head they end the exchange; in a
// body what has arrived is passed on until the time is over.
func TestUnboundedInputFromTarget(t *testing.T) {
	const drip = time.Millisecond
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		script func(*scriptedConn)
		body   bool // The head is valid.
	}{
		"head, fast":           {script: repeatUntilClosed("HTTP/1.1 200 OK\r\n", "X-F: 0123456789\r\n", 0)},
		"head, slow":           {script: repeatUntilClosed("HTTP/1.1 200 OK\r\nX: ", "x", drip)},
		"no head, fast":        {script: repeatUntilClosed("", "0123456789", 0)},
		"no head, slow":        {script: repeatUntilClosed("", "x", drip)},
		"interim, fast":        {script: repeatUntilClosed("", "HTTP/1.1 102 Processing\r\n\r\n", 0)},
		"interim, slow":        {script: repeatUntilClosed("", "HTTP/1.1 102 Processing\r\n\r\n", 100*drip)},
		"late answers, fast":   {script: repeatUntilClosed("", okResponseFor("/other", "x"), 0)},
		"late body, fast":      {script: repeatUntilClosed("HTTP/1.1 200 OK\r\nFor: /other\r\nContent-Length: 99999999\r\n\r\n", "x", 0)},
		"late body, slow":      {script: repeatUntilClosed("HTTP/1.1 200 OK\r\nFor: /other\r\nContent-Length: 99999999\r\n\r\n", "x", drip)},
		"body, fast":           {script: repeatUntilClosed("HTTP/1.1 200 OK\r\n\r\n", "0123456789", 0), body: true},
		"body, slow":           {script: repeatUntilClosed("HTTP/1.1 200 OK\r\n\r\n", "x", drip), body: true},
		"failure, fast":        {script: repeatUntilClosed("HTTP/1.1 500 Error\r\n\r\n", "0123456789", 0), body: true},
		"size of a chunk":      {script: repeatUntilClosed(chunked, "0", 0), body: true},
		"size of a chunk slow": {script: repeatUntilClosed(chunked, "0", drip), body: true},
		"chunk extension":      {script: repeatUntilClosed(chunked+"1;", "x", 0), body: true},
		"trailers, fast":       {script: repeatUntilClosed(chunked+"0\r\n", "X-F: 0123456789\r\n", 0), body: true},
		"trailers, slow":       {script: repeatUntilClosed(chunked+"0\r\nX: ", "x", drip), body: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const patience = 300 * time.Millisecond
			ended := make(chan struct{})
			to := newScriptedTarget(t, func(_ int, conn *scriptedConn) {
				defer close(ended)
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
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			started := time.Now()
			answer, err := f.Do(ctx, to.destination(), r)
			require.Equal(t, c.body, err == nil, err)
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				require.Error(t, err, "a body without end is not whole")
				require.NoError(t, answer.Body.Close())
			}
			assert.Less(t, time.Since(started), 10*patience)
			select {
			case <-ended:
			case <-time.After(hangTimeout):
				t.Fatal("the connection is still open")
			}
			assert.Empty(t, f.pool.openCount, "connections in use")
		})
	}
}

// Guards against an answer with bytes without end behind it that keeps its
// connection: nobody reads them.
func TestPruneIdleClosesConnectionsWithUnsolicitedBytes(t *testing.T) {
	more := make(chan struct{})
	ended := make(chan struct{})
	to := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		c.readRequest()
		c.send(okResponse("x"))
		<-more
		repeatUntilClosed("", "x", 0)(c)
		close(ended)
	})
	f := New()
	defer f.Close()
	_, _, err := doExchange(t, f, to.destination(), getRequest("/1"))
	require.NoError(t, err)
	f.PruneIdle()
	assert.Len(t, f.pool.idle, 1, "a quiet connection is kept")
	close(more)
	require.Eventually(t, func() bool { f.PruneIdle(); return len(f.pool.openCount) == 0 }, hangTimeout, time.Millisecond)
	<-ended
}
