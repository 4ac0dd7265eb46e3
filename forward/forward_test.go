package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// hangTimeout only ends a test that hangs.
const hangTimeout = time.Minute

func getRequest(uri string) *Request { return &Request{Method: "GET", URI: uri, Header: http.Header{}} }

func doExchange(t *testing.T, f *Forwarder, to Target, r *Request) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	answer, err := f.Do(ctx, to, r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return answer.Status, string(content), err
}

func okResponse(content string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
}

// Guards against an answer that is given as whole, or an outcome that claims
// less than what may have happened, when a target fails at each point.
func TestFailurePoints(t *testing.T) {
	for _, c := range []struct {
		name    string
		script  func(c *scriptedConn)
		status  int
		content string
		stage   Stage
		crashed bool
		fails   bool
	}{
		{name: "whole, length", script: func(c *scriptedConn) { c.send(okResponse("whole")) }, status: 200, content: "whole"},
		{name: "whole, chunks", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		}, status: 200, content: "whole"},
		{name: "whole, no body", script: func(c *scriptedConn) { c.send("HTTP/1.1 204 No Content\r\n\r\n") }, status: 204},
		{name: "interim answers", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okResponse("whole"))
		}, status: 200, content: "whole"},
		{name: "closed before the head", script: func(*scriptedConn) {}, stage: StageRequestSent, crashed: true, fails: true},
		{name: "reset before the head", script: func(c *scriptedConn) { c.reset() }, stage: StageRequestSent, crashed: true, fails: true},
		{name: "closed within the head", script: func(c *scriptedConn) { c.send("HTTP/1.1 200 OK\r\nContent-Le") },
			stage: StageRequestSent, crashed: true, fails: true},
		{name: "closed after interim", script: func(c *scriptedConn) { c.send("HTTP/1.1 100 Continue\r\n\r\n") },
			stage: StageRequestSent, crashed: true, fails: true},
		{name: "not HTTP", script: func(c *scriptedConn) { c.send("SSH-2.0-server\r\n\r\n") }, stage: StageRequestSent, fails: true},
		{name: "endless interim", script: func(c *scriptedConn) {
			c.send(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100))
			c.waitUntilClosed()
		}, stage: StageRequestSent, fails: true},
		{name: "endless head", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Filler: 0123456789\r\n", 10000))
			c.waitUntilClosed()
		}, stage: StageRequestSent, fails: true},
		{name: "switches protocols", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
			c.waitUntilClosed()
		}, stage: StageRequestSent, fails: true},
		{name: "two lengths", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nwhole")
			c.waitUntilClosed()
		}, stage: StageRequestSent, fails: true},
		{name: "closed after the head", script: func(c *scriptedConn) { c.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n") },
			status: 200, stage: StageBody, crashed: true, fails: true},
		{name: "closed within the length", script: func(c *scriptedConn) { c.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart") },
			status: 200, content: "part", stage: StageBody, crashed: true, fails: true},
		{name: "closed within a chunk", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart")
		}, status: 200, content: "part", stage: StageBody, crashed: true, fails: true},
		{name: "closed between chunks", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		}, status: 200, content: "part", stage: StageBody, crashed: true, fails: true},
		{name: "closed before the last line end", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n")
		}, status: 200, content: "part", stage: StageBody, crashed: true, fails: true},
		{name: "bad chunk", script: func(c *scriptedConn) {
			c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\nxyz\r\n")
			c.waitUntilClosed()
		}, status: 200, content: "part", stage: StageBody, fails: true},
		{name: "closed without a declared length", script: func(c *scriptedConn) { c.send("HTTP/1.1 200 OK\r\n\r\npart") },
			status: 200, content: "part", stage: StageBody, crashed: true, fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			to := newScriptedTarget(t, func(_ int, conn *scriptedConn) {
				conn.readRequest()
				c.script(conn)
			})
			f := New()
			defer f.Close()
			status, content, err := doExchange(t, f, to.destination(), getRequest("/x"))
			assert.Equal(t, c.status, status)
			assert.Equal(t, c.content, content)
			if !c.fails {
				require.NoError(t, err)
				return
			}
			var failure *Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, c.stage, failure.Stage, err)
			assert.Equal(t, c.crashed, failure.TargetClosed, err)
			assert.Empty(t, f.pool.idle, "a connection is closed after a failure")
			assert.Empty(t, f.pool.openCount)
		})
	}
}

// Guards against "nothing written" for a request of which a byte was written,
// and the reverse.
func TestStageConnectMeansNothingWritten(t *testing.T) {
	f := New()
	defer f.Close()
	closed := newScriptedTarget(t, func(int, *scriptedConn) {})
	closed.close()
	asked := make(chan struct{}, 1)
	full := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		if c.readRequest() != nil {
			asked <- struct{}{}
		}
		c.waitUntilClosed()
	})
	limited := full.destination()
	limited.MaxConnections = 1
	ctx, cancel := context.WithCancel(context.Background())
	held := make(chan error)
	go func() {
		_, err := f.Do(ctx, limited, getRequest("/held"))
		held <- err
	}()
	<-asked // A connection is accepted before its first byte is written.
	broken := &Request{Method: "POST", URI: "/x", Body: iotest.ErrReader(errors.New("caller gone")), Length: 10}
	ended, end := context.WithCancel(context.Background())
	end()
	for _, c := range []struct {
		name string
		ctx  context.Context
		to   Target
		r    *Request
		want error
	}{
		{"refused", context.Background(), closed.destination(), getRequest("/x"), nil},
		{"connection limit", context.Background(), limited, getRequest("/x"), ErrConnectionLimit},
		{"context ended", ended, full.destination(), getRequest("/x"), context.Canceled},
		{"body fails at once", context.Background(), full.destination(), broken, ErrRequestBody},
		{"blank in the path", context.Background(), full.destination(), getRequest("/x HTTP/1.1\r\nHost: y"), ErrInvalidRequest},
		{"line end in the method", context.Background(), full.destination(), &Request{Method: "GET\r\n", URI: "/"}, ErrInvalidRequest},
	} {
		_, err := f.Do(c.ctx, c.to, c.r)
		var failure *Error
		require.ErrorAs(t, err, &failure, c.name)
		assert.Equal(t, StageConnect, failure.Stage, c.name)
		assert.False(t, failure.TargetClosed, c.name)
		if c.want != nil {
			assert.ErrorIs(t, err, c.want, c.name)
		}
	}
	cancel()
	var failure *Error
	require.ErrorAs(t, <-held, &failure)
	assert.Equal(t, StageRequestSent, failure.Stage)
	assert.False(t, failure.TargetClosed, "a cancelled request does not accuse the target")
}

// Guards against a late answer that reaches the next request.
func TestLateResponseIsNotGivenToNextRequest(t *testing.T) {
	asked, timedOut := make(chan struct{}), make(chan struct{})
	to := newScriptedTarget(t, func(number int, c *scriptedConn) {
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			if number == 1 {
				close(asked)
				<-timedOut
			}
			c.send(okResponse(r.URL.Path))
		}
	})
	f := New()
	defer f.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-asked
		cancel()
	}()
	_, err := f.Do(ctx, to.destination(), getRequest("/first"))
	require.ErrorIs(t, err, context.Canceled)
	close(timedOut)
	for range 10 {
		_, content, err := doExchange(t, f, to.destination(), getRequest("/second"))
		require.NoError(t, err)
		assert.Equal(t, "/second", content)
	}
}

// Guards against bytes that belong to no request and are read as the next
// answer.
func TestUnsolicitedBytesAfterResponse(t *testing.T) {
	for name, extra := range map[string]string{
		"second answer":      okResponse("stolen"),
		"one byte":           "x",
		"body of an empty":   "stolen",
		"interim answer":     "HTTP/1.1 100 Continue\r\n\r\n",
		"head of an answer":  "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n",
		"line ends, no more": "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			to := newScriptedTarget(t, func(_ int, c *scriptedConn) {
				for r := c.readRequest(); r != nil; r = c.readRequest() {
					c.send(okResponse(r.URL.Path) + extra)
				}
			})
			f := New()
			defer f.Close()
			for i := range 10 {
				uri := fmt.Sprintf("/%d", i)
				_, content, err := doExchange(t, f, to.destination(), getRequest(uri))
				require.NoError(t, err)
				assert.Equal(t, uri, content)
			}
			assert.Equal(t, 10, to.connectionCount(), "each connection must be closed")
		})
	}
}

// Guards against bytes that arrive while the connection is idle.
func TestUnsolicitedBytesOnIdleConnection(t *testing.T) {
	more, sent := make(chan struct{}), make(chan struct{})
	to := newScriptedTarget(t, func(number int, c *scriptedConn) {
		r := c.readRequest()
		c.send(okResponse(r.URL.Path))
		if number == 1 {
			<-more
			c.send(okResponse("stolen"))
			close(sent)
		}
		c.waitUntilClosed()
	})
	f := New()
	defer f.Close()
	_, _, err := doExchange(t, f, to.destination(), getRequest("/1"))
	require.NoError(t, err)
	idle := f.pool.idle[to.destination().Address][0].conn
	close(more)
	<-sent
	require.Eventually(t, func() bool { return !idle.isReusable() }, hangTimeout, time.Millisecond)
	_, content, err := doExchange(t, f, to.destination(), getRequest("/2"))
	require.NoError(t, err)
	assert.Equal(t, "/2", content)
}

func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		reused bool
	}{
		{"length", okResponse("x"), true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", true},
		{"empty", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"asked to close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			to := newScriptedTarget(t, func(_ int, conn *scriptedConn) {
				for conn.readRequest() != nil {
					conn.send(c.answer)
				}
			})
			f := New()
			defer f.Close()
			for range 3 {
				_, _, err := doExchange(t, f, to.destination(), getRequest("/"))
				require.NoError(t, err)
			}
			want := 3
			if c.reused {
				want = 1
			}
			assert.Equal(t, want, to.connectionCount())
		})
	}
}

// Guards against a body that is held as a whole before it is passed on, in
// either direction, and against one that is cut.
func TestBodiesAreStreamed(t *testing.T) {
	const size = 3 << 20
	for _, length := range []int64{size, -1} {
		to := newScriptedTarget(t, func(_ int, c *scriptedConn) {
			r, err := http.ReadRequest(c.reader)
			if err != nil {
				return
			}
			c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			buffer := make([]byte, 1000)
			for {
				n, err := r.Body.Read(buffer)
				if n > 0 {
					c.send(fmt.Sprintf("%x\r\n%s\r\n", n, buffer[:n]))
				}
				if err != nil {
					break
				}
			}
			c.send("0\r\n\r\n")
		})
		f := New()
		source, sink := io.Pipe()
		piece := bytes.Repeat([]byte("0123456789abcdef"), 1024)
		echoed := make([]byte, len(piece))
		next := make(chan struct{}, 1)
		go func() {
			for range next {
				_, _ = sink.Write(piece)
			}
			_ = sink.Close()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
		next <- struct{}{}
		answer, err := f.Do(ctx, to.destination(), &Request{Method: "POST", URI: "/echo", Body: source, Length: length})
		require.NoError(t, err, "the head arrives while the body is sent")
		for i := range size / len(piece) {
			_, err = io.ReadFull(answer.Body, echoed)
			require.NoError(t, err)
			require.True(t, bytes.Equal(piece, echoed))
			if i+1 < size/len(piece) {
				next <- struct{}{}
			}
		}
		close(next)
		rest, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		assert.Empty(t, rest)
		require.NoError(t, answer.Body.Close())
		cancel()
		f.Close()
	}
}

// Guards against a target that takes a request whose caller has gone for a
// whole one.
func TestTruncatedRequestBody(t *testing.T) {
	for name, r := range map[string]*Request{
		"length": {Method: "POST", URI: "/x", Body: strings.NewReader(strings.Repeat("x", 50000)), Length: 60000},
		"chunks": {Method: "POST", URI: "/x", Length: -1,
			Body: io.MultiReader(strings.NewReader(strings.Repeat("x", 50000)), iotest.ErrReader(errors.New("caller gone")))},
	} {
		t.Run(name, func(t *testing.T) {
			whole := make(chan bool, 1)
			to := newScriptedTarget(t, func(_ int, c *scriptedConn) { whole <- c.readRequest() != nil })
			f := New()
			defer f.Close()
			_, _, err := doExchange(t, f, to.destination(), r)
			var failure *Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, StageRequestSent, failure.Stage)
			assert.ErrorIs(t, err, ErrRequestBody)
			assert.False(t, failure.TargetClosed)
			assert.False(t, <-whole)
		})
	}
}

// Guards against cancellation that does not reach the target while the answer
// is awaited or read.
func TestCancellationClosesTheConnection(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		closed := make(chan struct{})
		started := make(chan struct{})
		to := newScriptedTarget(t, func(_ int, c *scriptedConn) {
			c.readRequest()
			c.send(head)
			close(started)
			c.waitUntilClosed()
			close(closed)
		})
		f := New()
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		answer, err := f.Do(ctx, to.destination(), getRequest("/x"))
		if err == nil {
			_, err = io.ReadAll(answer.Body)
			require.NoError(t, answer.Body.Close())
		}
		require.ErrorIs(t, err, context.Canceled)
		<-closed
		f.Close()
	}
}

// Guards against more connections than the target's bound, and against a
// bound that leaks with failed exchanges.
func TestConnectionLimit(t *testing.T) {
	to := newScriptedTarget(t, func(number int, c *scriptedConn) {
		for c.readRequest() != nil {
			if number%2 == 0 {
				return
			}
			c.send(okResponse("x"))
		}
	})
	target := to.destination()
	target.MaxConnections = 2
	f := New()
	defer f.Close()
	for range 50 {
		_, _, err := doExchange(t, f, target, getRequest("/"))
		require.NotErrorIs(t, err, ErrConnectionLimit)
	}
	assert.LessOrEqual(t, f.pool.openCount[target.Address], 2)
}

// Guards against headers of one connection, or of the system itself, that are
// passed on.
func TestHeadersAreFiltered(t *testing.T) {
	header := func() http.Header {
		return http.Header{
			"Connection": {"close, X-Private", "X-Second"}, "X-Private": {"1"}, "X-Second": {"1"}, "Keep-Alive": {"1"},
			"Proxy-Connection": {"1"}, "Proxy-Authorization": {"1"}, "Te": {"trailers"}, "Trailer": {"X"},
			"Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Content-Length": {"99"}, "Expect": {"100-continue"},
			"Host": {"elsewhere"}, "Accept": {"text/plain"}, "Set-Cookie": {"a=1", "b=2"},
			outcome.HeaderExecuted: {"no"}, outcome.HeaderReason: {"forged"}, outcome.HeaderIdempotencyKeyPrefix: {"forged"},
			outcome.HeaderTargetState: {"leaving"}, outcome.HeaderTarget: {"forged"}, outcome.HeaderInstance: {"forged"},
			outcome.HeaderIdempotencyKey: {"a.1.2.3"}, outcome.HeaderDeadline: {"100"},
		}
	}
	request := header()
	CleanRequestHeaders(request)
	assert.Equal(t, http.Header{"Accept": {"text/plain"}, "Set-Cookie": {"a=1", "b=2"},
		outcome.HeaderIdempotencyKey: {"a.1.2.3"}, outcome.HeaderDeadline: {"100"}}, request)
	answer := header()
	CleanResponseHeaders(answer)
	assert.Equal(t, http.Header{"Accept": {"text/plain"}, "Set-Cookie": {"a=1", "b=2"},
		"Expect": {"100-continue"}, "Host": {"elsewhere"}}, answer)
}

// Guards against a request that a target reads as two.
func TestRequestSerialization(t *testing.T) {
	for _, c := range []struct {
		r    *Request
		want string
	}{
		{&Request{Method: "GET", URI: "/a%20b?c=d", Header: http.Header{"Accept": {"x\r\nInjected: y"}}},
			"GET /a%20b?c=d HTTP/1.1\r\nHost: h\r\nAccept: x  Injected: y\r\n\r\n"},
		{&Request{Method: "POST", URI: "/", Header: http.Header{"Content-Length": {"1"}, "Transfer-Encoding": {"chunked"}}},
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		{&Request{Method: "PUT", URI: "/", Body: strings.NewReader("abcdef"), Length: 3},
			"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"},
		{&Request{Method: "PUT", URI: "/", Body: strings.NewReader("abc"), Length: -1},
			"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
	} {
		var out bytes.Buffer
		require.NoError(t, c.r.write(&out, "h"))
		assert.Equal(t, c.want, out.String())
	}
}
