package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const idHeader = "X-Id"

// requestWithID returns a request whose responses are matched by an ID.
func requestWithID(method, id string) *Request {
	return &Request{ID: id, Method: method, URI: "/", Header: http.Header{idHeader: {id}}, MatchResponse: func(h http.Header) ResponseMatch {
		switch h.Get(idHeader) {
		case id:
			return MatchesRequest
		case "":
			return NoRequestID
		}
		return OtherRequest
	}}
}

func identifiedResponse(id, content string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(content), content)
}

// respondWithConnection responds to each request with the number of its connection.
func respondWithConnection(number int, c *scriptedConn) {
	for r := c.readRequest(); r != nil; r = c.readRequest() {
		c.send(identifiedResponse(r.Header.Get(idHeader), fmt.Sprint(number)))
	}
}

// Guards against taking a repeated response to the first of two requests with the
// same ID for the response to the second.
func TestConnectionSendsRequestIDOnce(t *testing.T) {
	target := newScriptedTarget(t, func(number int, c *scriptedConn) {
		last := ""
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			response := identifiedResponse(r.Header.Get(idHeader), fmt.Sprint(number))
			c.send(last + response)
			last = response
		}
	})
	f := New()
	defer f.Close()
	for i, connection := range []string{"1", "2", "3"} {
		_, content, err := doExchange(t, f, target.destination(), requestWithID("GET", "a"))
		require.NoError(t, err)
		assert.Equal(t, connection, content, "request %d", i)
	}
	for _, id := range []string{"b", "c", "d"} {
		_, _, err := doExchange(t, f, target.destination(), requestWithID("GET", id))
		require.NoError(t, err)
	}
	assert.Equal(t, 3, target.connectionCount(), "requests with other IDs use open connections")
}

// Guards against a new connection for each repeated request although an idle one
// has not sent its ID, and against exceeding the connection limit.
func TestRepeatedRequestUsesOtherIdleConnection(t *testing.T) {
	target := newScriptedTarget(t, respondWithConnection)
	to := target.destination()
	to.MaxConnections = 2
	f := New()
	defer f.Close()
	for _, c := range []struct{ id, connection string }{
		{"a", "1"}, {"a", "2"}, {"b", "2"}, {"b", "1"}, {"c", "1"}, {"a", "3"},
	} {
		_, content, err := doExchange(t, f, to, requestWithID("GET", c.id))
		require.NoError(t, err)
		assert.Equal(t, c.connection, content, c.id)
		assert.LessOrEqual(t, f.pool.openCount[to.Address], 2)
	}
}

// Guards against forgetting an ID that a connection has sent.
func TestConnectionIsClosedAtLimitOfRequestIDs(t *testing.T) {
	target := newScriptedTarget(t, respondWithConnection)
	f := New()
	defer f.Close()
	for i := range maxRequestIDs + 1 {
		_, _, err := doExchange(t, f, target.destination(), requestWithID("GET", fmt.Sprint(i)))
		require.NoError(t, err)
	}
	assert.Equal(t, 2, target.connectionCount())
	for range 2 * maxRequestIDs {
		_, _, err := doExchange(t, f, target.destination(), getRequest("/"))
		require.NoError(t, err)
	}
	assert.Equal(t, 2, target.connectionCount(), "requests without an ID are not counted")
}

// Guards against using a connection on which the target has written a response too
// many: another one may follow.
func TestConnectionWithSkippedResponseIsClosed(t *testing.T) {
	target := newScriptedTarget(t, func(number int, c *scriptedConn) {
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			if r.Header.Get(idHeader) == "b" {
				c.send(identifiedResponse("a", "late"))
			}
			c.send(identifiedResponse(r.Header.Get(idHeader), fmt.Sprint(number)))
		}
	})
	f := New()
	defer f.Close()
	for _, c := range []struct{ id, connection string }{{"a", "1"}, {"b", "1"}, {"c", "2"}} {
		_, content, err := doExchange(t, f, target.destination(), requestWithID("GET", c.id))
		require.NoError(t, err)
		assert.Equal(t, c.connection, content, c.id)
	}
}

// Guards against parsing the body of a late response as a response: the response to
// a HEAD request has no body, so its parser does not skip one.
func TestBodyOfLateResponseIsNotResponseToHead(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			if r.Method == http.MethodHead {
				c.send(identifiedResponse("a", identifiedResponse("b", "")))
				time.Sleep(10 * time.Millisecond)
			}
			c.send(identifiedResponse(r.Header.Get(idHeader), ""))
		}
	})
	f := New()
	defer f.Close()
	_, _, err := doExchange(t, f, target.destination(), requestWithID("GET", "a"))
	require.NoError(t, err)
	_, _, err = doExchange(t, f, target.destination(), requestWithID("HEAD", "b"))
	assert.ErrorIs(t, err, errLateResponses)
}
