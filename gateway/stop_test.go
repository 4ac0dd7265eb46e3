package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// lateListener accepts connections only while its gate is open, as if the process
// got no processor time.
type lateListener struct {
	*net.TCPListener
	gate *gate
}

func (l lateListener) Accept() (net.Conn, error) {
	l.gate.await()
	return l.TCPListener.Accept()
}

// Guards against resetting the connections that wait in the listener's queue when
// it is closed.
func TestQueuedConnectionsAreServedWhenTheListenerCloses(t *testing.T) {
	s := startSite(t, siteOptions{targets: []wiretarget.Options{{Slots: 32, MaxQueued: 32, WarmTime: 5 * time.Millisecond}}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := &gate{}
	g.close()
	s.address = listener.Addr().String()
	server := gateway.NewServer(s.gateway, lateListener{listener.(*net.TCPListener), g})
	server.SetFirstRequestTime(10 * time.Second) // Longer than this test may be held up.
	go func() { _ = server.Run(context.Background()) }()
	t.Cleanup(func() { server.CloseAll() })
	var callers []*caller
	for i := range 10 {
		c := s.dial()
		if i%2 == 0 {
			c.send("POST", "/unsafe/x", fmt.Sprint("r", i), "b")
		}
		callers = append(callers, c)
	}
	server.Drain()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.StopAccepting()
		server.CloseIdle()
	}()
	time.Sleep(50 * time.Millisecond)
	g.open()
	<-stopped
	for i, c := range callers { // Half of the requests arrive after their connection was accepted.
		if i%2 != 0 {
			c.send("POST", "/unsafe/x", fmt.Sprint("r", i), "b")
		}
	}
	for i, c := range callers {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		r, err := http.ReadResponse(c.reader, nil)
		if assert.NoError(t, err, "caller %d", i) {
			assert.Equal(t, 200, r.StatusCode)
			assert.True(t, r.Close)
		}
	}
	_, err = net.Dial("tcp", s.address)
	assert.Error(t, err, "the listener is closed")
	assert.Eventually(t, func() bool { return server.Connections() == 0 }, 2*time.Second, time.Millisecond, "nothing holds up the stop")
}

// pausedListener has no processor time for a while after each accepted connection.
type pausedListener struct {
	*net.TCPListener
	pause time.Duration
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		time.Sleep(l.pause)
	}
	return c, err
}

// Guards against closing a listener with connections in its queue because the
// deadline of an accept call had passed before the call.
func TestQueuedConnectionsAreServedWhenAcceptIsSlow(t *testing.T) {
	s := startSite(t, siteOptions{targets: []wiretarget.Options{{Slots: 32, MaxQueued: 32, WarmTime: 5 * time.Millisecond}}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = listener.Addr().String()
	server := gateway.NewServer(s.gateway, pausedListener{listener.(*net.TCPListener), 15 * time.Millisecond})
	t.Cleanup(func() { server.CloseAll() })
	var callers []*caller
	for i := range 10 {
		c := s.dial()
		c.send("POST", "/unsafe/x", fmt.Sprint("r", i), "b")
		callers = append(callers, c)
	}
	go func() { _ = server.Run(context.Background()) }()
	assert.Eventually(t, func() bool { return server.Connections() > 0 }, time.Second, time.Millisecond)
	server.Drain()
	server.StopAccepting()
	server.CloseIdle()
	for i, c := range callers {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		r, err := http.ReadResponse(c.reader, nil)
		if assert.NoError(t, err, "caller %d", i) {
			assert.Equal(t, 200, r.StatusCode)
		}
	}
}

// Load pattern: a caller always has a request pending. Guards against reading its
// requests until the end of a stop, which cuts them.
func TestBusyPipelineEndsInAStop(t *testing.T) {
	s := startSite(t, siteOptions{targets: slowTargets(2, 200*time.Millisecond)})
	c := s.dial()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			_, err := fmt.Fprintf(c.Conn, "GET /safe/%d HTTP/1.1\r\nHost: %s\r\nX-Jacinthstall-Request-Id: r%d\r\n\r\n", i, host, i)
			if err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	assert.False(t, c.receive("GET").Close)
	s.server.Drain()
	assert.False(t, c.receive("GET").Close, "another request is pending")
	s.server.StopAccepting()
	s.server.CloseIdle()
	closedAfter := time.Now()
	for {
		resp := c.receive("GET")
		assert.Equal(t, 200, resp.StatusCode)
		require.Less(t, time.Since(closedAfter), 5*time.Second)
		if resp.Close {
			break
		}
	}
	assert.Less(t, time.Since(closedAfter), 600*time.Millisecond)
	_, err := c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against passing on a request that a planned stop will cut: one that comes
// too late for its deadline, or one that takes longer than the rest of the stop. Its
// caller can turn to another instance.
func TestRequestsThatWouldOutlastAStopAreRefused(t *testing.T) {
	const work = 150 * time.Millisecond
	for name, c := range map[string]struct {
		lateFrom, end time.Duration // From now.
		status        int
	}{
		"late, may outlast the stop":     {-time.Millisecond, time.Second, 503},
		"late, ends in time":             {-time.Millisecond, 10 * time.Second, 200},
		"early, expected to outlast it":  {time.Hour, work, 503},
		"early, expected to end in time": {time.Hour, time.Second, 200},
		"early, no time left":            {time.Hour, 0, 503},
		"no stop":                        {0, 0, 200},
	} {
		for _, path := range []string{"direct", "relayed"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				targets := []wiretarget.Options{{Slots: 4, WarmTime: work}}
				var s *site
				var stopping *gateway.Gateway
				if path == "relayed" {
					f := startFarSite(t, targets)
					s, stopping = f.site, f.relayGateway
				} else {
					s = startSite(t, siteOptions{targets: targets})
					stopping = s.gateway
				}
				for i := range 10 {
					require.Equal(t, 200, s.request("POST", "/unsafe/x", fmt.Sprint("w", i), "b").StatusCode)
				}
				if name != "no stop" {
					stopping.BeginStop(time.Now().Add(c.lateFrom), time.Now().Add(c.end))
				}
				want := c.status
				if path == "relayed" && c.lateFrom > 0 && c.end > 0 {
					want = 200 // Peers know how long their requests take, and leave a relay that stops.
				}
				resp := s.request("POST", "/unsafe/x", "r1", "b")
				assert.Equal(t, want, resp.StatusCode)
				executions := 0
				if want == 200 {
					executions = 1
				} else {
					assert.NotEmpty(t, resp.Header.Get("Retry-After"))
				}
				assert.Equal(t, executions, s.executed("r1"))
			})
		}
	}
}
