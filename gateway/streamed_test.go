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
)

const (
	streamedBytes = 400 << 10 // Length of a response that is passed on while it arrives.
	firstBytes    = 200 << 10 // Sent before a target stops or breaks off.
)

// startStream sends the first part of a long response.
func startStream(r *http.Request, c net.Conn) error {
	_, err := io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n", streamedBytes)+strings.Repeat("x", firstBytes))
	return err
}

// Guards against breaking off a response that its target is sending because other
// connections to the target could not be opened in time.
func TestStreamedResponseContinuesWhenItsTargetIsConsideredLost(t *testing.T) {
	resume := make(chan struct{})
	s := startSite(t, siteOptions{scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		if startStream(r, c) != nil {
			return false
		}
		<-resume
		_, err := io.WriteString(c, strings.Repeat("x", streamedBytes-firstBytes))
		return err == nil
	}}})
	c := s.dial()
	c.send("GET", "/safe/x", "r1", "")
	_, err := c.reader.Peek(1)
	require.NoError(t, err)
	s.gateway.CancelAttempts("script0")
	time.Sleep(50 * time.Millisecond)
	close(resume)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: "GET"})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NoError(t, err)
	assert.Equal(t, streamedBytes, len(body)) // Len would print the body.
}

// Guards against passing on a request and closing its connection without a response
// because the target of an earlier request on the connection broke off.
func TestRequestBehindABrokenResponseIsAnsweredOrNotPassedOn(t *testing.T) {
	passedOn, responded := make(chan struct{}), make(chan struct{})
	s := startSite(t, siteOptions{scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		if strings.HasSuffix(r.URL.Path, "/sound") {
			close(passedOn)
			<-responded
			_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
			return err == nil
		}
		_ = startStream(r, c)
		select {
		case <-passedOn:
		case <-time.After(500 * time.Millisecond):
		}
		return false
	}}})
	c := s.dial()
	c.send("GET", "/safe/broken", "r1", "")
	c.send("GET", "/safe/sound", "r2", "")
	response, err := http.ReadResponse(c.reader, &http.Request{Method: "GET"})
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	close(responded)
	if err == nil {
		assert.Equal(t, 200, c.receive("GET").StatusCode)
		return
	}
	select {
	case <-passedOn:
		assert.Fail(t, "the request behind was passed on and its connection closed without a response")
	default:
	}
}

// Guards against a target that works on for a caller that has left, because a request
// behind the response that is being passed on holds up the reader of the connection.
func TestCallerThatLeavesWithARequestBehindAStreamIsNoticed(t *testing.T) {
	for _, behind := range []bool{false, true} {
		left := make(chan struct{})
		s := startSite(t, siteOptions{timeout: 10 * time.Second, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
			if startStream(r, c) == nil {
				_, _ = c.Read(make([]byte, 1)) // Returns when the instance ends the attempt.
			}
			if r.URL.Path == "/safe/x" {
				close(left)
			}
			return false
		}}})
		c := s.dial()
		c.send("GET", "/safe/x", "r1", "")
		_, err := io.ReadFull(c.reader, make([]byte, firstBytes))
		require.NoError(t, err)
		if behind {
			c.send("GET", "/safe/behind", "r2", "")
			time.Sleep(50 * time.Millisecond)
		}
		require.NoError(t, c.Close())
		select {
		case <-left:
		case <-time.After(2 * time.Second):
			assert.Fail(t, "the target works on", "request behind: %v", behind)
		}
	}
}
