package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// respondOK responds to a request completely.
func respondOK(r *http.Request, c net.Conn) bool {
	_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
	return err == nil
}

// unsoundResponses write a response that is never completed.
var unsoundResponses = []struct {
	name  string
	write func(r *http.Request, c net.Conn)
}{
	{"without length or end", func(r *http.Request, c net.Conn) {
		if _, err := io.WriteString(c, stampedHead(200, r)+"\r\n"); err != nil {
			return
		}
		for part := strings.Repeat("x", 48<<10); ; time.Sleep(time.Millisecond) {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}},
	{"in chunks without end", func(r *http.Request, c net.Conn) {
		if _, err := io.WriteString(c, stampedHead(200, r)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		for part := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"; ; time.Sleep(time.Millisecond) {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}},
	{"3 MB, broken off", func(r *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n", 3<<20)+strings.Repeat("x", 2<<20))
	}},
	{"chunks of 2 MB, broken off", func(r *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, stampedHead(200, r)+"Transfer-Encoding: chunked\r\n\r\n200000\r\n"+strings.Repeat("x", 2<<20)+"\r\n")
	}},
	{"400 KB, slower than the timeout", func(r *http.Request, c net.Conn) {
		if startStream(r, c) == nil {
			time.Sleep(3 * time.Second)
		}
	}},
}

// Guards against a response that cannot be completed and ends the connection although
// a request behind it was passed on: its sound response was lost (review/1).
func TestUnsoundResponseDoesNotEndTheRequestsBehind(t *testing.T) {
	for _, route := range []string{"safe", "unsafe"} {
		for _, unsound := range unsoundResponses {
			t.Run(route+" "+unsound.name, func(t *testing.T) {
				t.Parallel()
				passedOn := make(chan struct{})
				s := startSite(t, siteOptions{timeout: 1500 * time.Millisecond, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
					if strings.HasSuffix(r.URL.Path, "/sound") {
						close(passedOn)
						return respondOK(r, c)
					}
					<-passedOn
					unsound.write(r, c)
					return false
				}}})
				c := s.dial()
				c.send("GET", "/"+route+"/unsound", "r1", "")
				c.send("GET", "/safe/sound", "r2", "")
				first := c.receive("GET")
				assert.Contains(t, []int{502, 504}, first.StatusCode)
				assert.Equal(t, 200, c.receive("GET").StatusCode)
			})
		}
	}
}

// Guards against a long response that is refused because requests behind it were passed
// on, although there is memory to hold it.
func TestLongSoundResponseWithARequestBehindIsHeld(t *testing.T) {
	const length = 3 << 20
	passedOn := make(chan struct{})
	s := startSite(t, siteOptions{timeout: 5 * time.Second, memory: 256 << 20, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		if strings.HasSuffix(r.URL.Path, "/behind") {
			close(passedOn)
			return respondOK(r, c)
		}
		<-passedOn
		_, err := io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n", length)+strings.Repeat("x", length))
		return err == nil
	}}})
	c := s.dial()
	c.send("GET", "/safe/long", "r1", "")
	c.send("GET", "/safe/behind", "r2", "")
	long := c.receive("GET")
	assert.Equal(t, 200, long.StatusCode)
	assert.Equal(t, length, len(long.body)) // Len would print the body.
	assert.Equal(t, 200, c.receive("GET").StatusCode)
	require.Eventually(t, func() bool {
		requests, bytes, _, _ := s.gateway.MemoryUse()
		return requests == 0 && bytes == 0
	}, time.Second, time.Millisecond)
}

// Guards against a retry that is not made after a response without end, which another
// target may complete.
func TestResponseWithoutEndIsReplacedByARetry(t *testing.T) {
	passedOn := make(chan struct{})
	var attempts atomic.Int32
	handle := func(_ int, r *http.Request, c net.Conn) bool {
		switch {
		case strings.HasSuffix(r.URL.Path, "/sound"):
			close(passedOn)
		case attempts.Add(1) == 1:
			<-passedOn
			unsoundResponses[0].write(r, c)
			return false
		}
		return respondOK(r, c)
	}
	s := startSite(t, siteOptions{timeout: 5 * time.Second, scripts: []script{handle, handle}})
	c := s.dial()
	c.send("GET", "/safe/unsound", "r1", "")
	c.send("GET", "/safe/sound", "r2", "")
	assert.Equal(t, 200, c.receive("GET").StatusCode)
	assert.Equal(t, 200, c.receive("GET").StatusCode)
	assert.EqualValues(t, 2, attempts.Load())
}

// Guards against responses that are passed on while they arrive once many others are
// held: of 100 connections, each with a response that breaks off before a sound one,
// all but those held lost the sound response.
func TestUnsoundResponsesOfManyConnectionsDoNotEndTheRequestsBehind(t *testing.T) {
	const connections = 100
	var passedOn atomic.Int32
	allPassedOn := make(chan struct{})
	s := startSite(t, siteOptions{timeout: 20 * time.Second, attempts: 1, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		if strings.Contains(r.URL.Path, "/sound") {
			if passedOn.Add(1) == connections {
				close(allPassedOn)
			}
			return respondOK(r, c)
		}
		<-allPassedOn
		if startStream(r, c) == nil {
			time.Sleep(500 * time.Millisecond) // All are held at the same time.
		}
		return false
	}}, scriptSlots: 2 * connections})
	var group errgroup.Group
	for i := range connections {
		group.Go(func() error {
			c := s.dial()
			c.send("GET", fmt.Sprint("/unsafe/", i), fmt.Sprint("a", i), "")
			c.send("GET", fmt.Sprint("/safe/sound", i), fmt.Sprint("b", i), "")
			for _, want := range []int{502, 200} {
				response, err := http.ReadResponse(c.reader, &http.Request{Method: "GET"})
				if err != nil {
					return err
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					return err
				}
				if response.StatusCode != want {
					return fmt.Errorf("connection %d: status %d in place of %d", i, response.StatusCode, want)
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

// Guards against a long response that is ready in time, but is cut off because its own
// time ends while an earlier request on the connection is awaited.
func TestLongResponseIsNotCutOffBehindASlowOne(t *testing.T) {
	for _, c := range []struct {
		name   string
		sent   int // Bytes that the target sends of the response.
		status int
	}{{"complete", streamedBytes, 200}, {"stalled", firstBytes, 504}} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, siteOptions{timeout: 900 * time.Millisecond, attempts: 1, scripts: []script{func(_ int, r *http.Request, conn net.Conn) bool {
				switch {
				case strings.HasSuffix(r.URL.Path, "/slow"):
					time.Sleep(3 * time.Second)
				case strings.HasSuffix(r.URL.Path, "/long"):
					if startStream(r, conn) == nil && c.sent == streamedBytes {
						_, err := io.WriteString(conn, strings.Repeat("x", streamedBytes-firstBytes))
						return err == nil
					}
					time.Sleep(3 * time.Second)
				default:
					return respondOK(r, conn)
				}
				return false
			}}})
			caller := s.dial()
			caller.send("GET", "/safe/slow", "r1", "")
			caller.sendWithin(400*time.Millisecond, "GET", "/safe/long", "r2", "")
			assert.Equal(t, 504, caller.receive("GET").StatusCode)
			long := caller.receive("GET")
			assert.Equal(t, c.status, long.StatusCode)
			if c.status == 200 {
				assert.Equal(t, streamedBytes, len(long.body)) // Len would print the body.
			}
			caller.send("GET", "/safe/next", "r3", "")
			assert.Equal(t, 200, caller.receive("GET").StatusCode)
		})
	}
}
