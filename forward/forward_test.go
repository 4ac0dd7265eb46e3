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

// hangTimeout ends a test that hangs. No test waits this long otherwise.
const hangTimeout = time.Minute

func getRequest(uri string) *Request { return &Request{Method: "GET", URI: uri, Header: http.Header{}} }

func doExchange(t *testing.T, f *Forwarder, to Target, r *Request) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	response, err := f.Do(ctx, to, r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.Status, string(content), err
}

func okResponse(content string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
}

// Guards against truncated responses that look complete, and against outcomes
// that exclude an execution which may have happened. The target fails at each
// point of the exchange.
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
		{name: "interim responses", script: func(c *scriptedConn) {
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
			target := newScriptedTarget(t, func(_ int, conn *scriptedConn) {
				conn.readRequest()
				c.script(conn)
			})
			f := New()
			defer f.Close()
			status, content, err := doExchange(t, f, target.destination(), getRequest("/x"))
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
			assert.Empty(t, f.pool.idle, "no connection is pooled after a failure")
			assert.Empty(t, f.pool.openCount)
		})
	}
}

// Guards against reporting StageConnect for a request of which a byte was
// written, and a later stage for one of which nothing was written.
func TestStageConnectMeansNothingWritten(t *testing.T) {
	f := New()
	defer f.Close()
	closed := newScriptedTarget(t, func(int, *scriptedConn) {})
	closed.close()
	received := make(chan struct{}, 1)
	full := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		if c.readRequest() != nil {
			received <- struct{}{}
		}
		c.waitUntilClosed()
	})
	limited := full.destination()
	limited.MaxConnections = 1
	ctx, cancel := context.WithCancel(context.Background())
	blockedErr := make(chan error)
	go func() {
		_, err := f.Do(ctx, limited, getRequest("/held"))
		blockedErr <- err
	}()
	<-received // A connection is accepted before its first byte is written.
	failingBody := &Request{Method: "POST", URI: "/x", Body: iotest.ErrReader(errors.New("caller disconnected")), Length: 10}
	cancelled, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	for _, c := range []struct {
		name string
		ctx  context.Context
		to   Target
		r    *Request
		want error
	}{
		{"refused", context.Background(), closed.destination(), getRequest("/x"), nil},
		{"connection limit", context.Background(), limited, getRequest("/x"), ErrConnectionLimit},
		{"context ended", cancelled, full.destination(), getRequest("/x"), context.Canceled},
		{"body fails at once", context.Background(), full.destination(), failingBody, ErrRequestBody},
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
	require.ErrorAs(t, <-blockedErr, &failure)
	assert.Equal(t, StageRequestSent, failure.Stage)
	assert.False(t, failure.TargetClosed, "cancellation is not a failure of the target")
}

// Guards against delivering the late response to a cancelled request as the
// response to the next one.
func TestLateResponseIsNotGivenToNextRequest(t *testing.T) {
	received, timedOut := make(chan struct{}), make(chan struct{})
	target := newScriptedTarget(t, func(number int, c *scriptedConn) {
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			if number == 1 {
				close(received)
				<-timedOut
			}
			c.send(okResponse(r.URL.Path))
		}
	})
	f := New()
	defer f.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	_, err := f.Do(ctx, target.destination(), getRequest("/first"))
	require.ErrorIs(t, err, context.Canceled)
	close(timedOut)
	for range 10 {
		_, content, err := doExchange(t, f, target.destination(), getRequest("/second"))
		require.NoError(t, err)
		assert.Equal(t, "/second", content)
	}
}

// Guards against reading unsolicited bytes after a response as the next response.
func TestUnsolicitedBytesAfterResponse(t *testing.T) {
	for name, extra := range map[string]string{
		"second response":  okResponse("stolen"),
		"one byte":         "x",
		"bare body":        "stolen",
		"interim response": "HTTP/1.1 100 Continue\r\n\r\n",
		"response head":    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n",
		"line ends only":   "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
				for r := c.readRequest(); r != nil; r = c.readRequest() {
					c.send(okResponse(r.URL.Path) + extra)
				}
			})
			f := New()
			defer f.Close()
			for i := range 10 {
				uri := fmt.Sprintf("/%d", i)
				_, content, err := doExchange(t, f, target.destination(), getRequest(uri))
				require.NoError(t, err)
				assert.Equal(t, uri, content)
			}
			assert.Equal(t, 10, target.connectionCount(), "each connection is closed after its response")
		})
	}
}

// Guards against reading unsolicited bytes that arrive on an idle connection as
// the next response.
func TestUnsolicitedBytesOnIdleConnection(t *testing.T) {
	sendMore, sent := make(chan struct{}), make(chan struct{})
	target := newScriptedTarget(t, func(number int, c *scriptedConn) {
		r := c.readRequest()
		c.send(okResponse(r.URL.Path))
		if number == 1 {
			<-sendMore
			c.send(okResponse("stolen"))
			close(sent)
		}
		c.waitUntilClosed()
	})
	f := New()
	defer f.Close()
	_, _, err := doExchange(t, f, target.destination(), getRequest("/1"))
	require.NoError(t, err)
	idle := f.pool.idle[target.destination().Address][0].conn
	close(sendMore)
	<-sent
	require.Eventually(t, func() bool { return !idle.isReusable() }, hangTimeout, time.Millisecond)
	_, content, err := doExchange(t, f, target.destination(), getRequest("/2"))
	require.NoError(t, err)
	assert.Equal(t, "/2", content)
}

func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		reused   bool
	}{
		{"length", okResponse("x"), true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", true},
		{"empty", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"asked to close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := newScriptedTarget(t, func(_ int, conn *scriptedConn) {
				for conn.readRequest() != nil {
					conn.send(c.response)
				}
			})
			f := New()
			defer f.Close()
			for range 3 {
				_, _, err := doExchange(t, f, target.destination(), getRequest("/"))
				require.NoError(t, err)
			}
			want := 3
			if c.reused {
				want = 1
			}
			assert.Equal(t, want, target.connectionCount())
		})
	}
}

// Guards against buffering a whole body before it is forwarded, in either
// direction, and against truncating it.
func TestBodiesAreStreamed(t *testing.T) {
	const size = 3 << 20
	for _, length := range []int64{size, -1} {
		target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
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
		response, err := f.Do(ctx, target.destination(), &Request{Method: "POST", URI: "/echo", Body: source, Length: length})
		require.NoError(t, err, "the response head arrives while the request body is sent")
		for i := range size / len(piece) {
			_, err = io.ReadFull(response.Body, echoed)
			require.NoError(t, err)
			require.True(t, bytes.Equal(piece, echoed))
			if i+1 < size/len(piece) {
				next <- struct{}{}
			}
		}
		close(next)
		remaining, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		assert.Empty(t, remaining)
		require.NoError(t, response.Body.Close())
		cancel()
		f.Close()
	}
}

// Guards against a truncated request, whose caller has disconnected, that looks
// complete to the target.
func TestTruncatedRequestBody(t *testing.T) {
	for name, r := range map[string]*Request{
		"length": {Method: "POST", URI: "/x", Body: strings.NewReader(strings.Repeat("x", 50000)), Length: 60000},
		"chunks": {Method: "POST", URI: "/x", Length: -1,
			Body: io.MultiReader(strings.NewReader(strings.Repeat("x", 50000)), iotest.ErrReader(errors.New("caller disconnected")))},
	} {
		t.Run(name, func(t *testing.T) {
			complete := make(chan bool, 1)
			target := newScriptedTarget(t, func(_ int, c *scriptedConn) { complete <- c.readRequest() != nil })
			f := New()
			defer f.Close()
			_, _, err := doExchange(t, f, target.destination(), r)
			var failure *Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, StageRequestSent, failure.Stage)
			assert.ErrorIs(t, err, ErrRequestBody)
			assert.False(t, failure.TargetClosed)
			assert.False(t, <-complete)
		})
	}
}

// Guards against a cancellation that does not reach the target, before the
// response or while its body is read.
func TestCancellationClosesTheConnection(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		closed := make(chan struct{})
		started := make(chan struct{})
		target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
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
		response, err := f.Do(ctx, target.destination(), getRequest("/x"))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			require.NoError(t, response.Body.Close())
		}
		require.ErrorIs(t, err, context.Canceled)
		<-closed
		f.Close()
	}
}

// Guards against exceeding the connection limit of a target, and against failed
// exchanges that are still counted as open connections.
func TestConnectionLimit(t *testing.T) {
	server := newScriptedTarget(t, func(number int, c *scriptedConn) {
		for c.readRequest() != nil {
			if number%2 == 0 {
				return
			}
			c.send(okResponse("x"))
		}
	})
	target := server.destination()
	target.MaxConnections = 2
	f := New()
	defer f.Close()
	for range 50 {
		_, _, err := doExchange(t, f, target, getRequest("/"))
		require.NotErrorIs(t, err, ErrConnectionLimit)
	}
	assert.LessOrEqual(t, f.pool.openCount[target.Address], 2)
}

// Guards against forwarding hop-by-hop headers or headers of this system.
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
	response := header()
	CleanResponseHeaders(response)
	assert.Equal(t, http.Header{"Accept": {"text/plain"}, "Set-Cookie": {"a=1", "b=2"},
		"Expect": {"100-continue"}, "Host": {"elsewhere"}}, response)
}

// Guards against request smuggling: a target must not parse one written request
// as two.
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

// Guards against refusing methods with digits or other characters of a token, which
// counted as failures of the targets.
func TestMethodsMayBeAnyToken(t *testing.T) {
	for _, method := range []string{"M2", "a.b", "!#$%&'*+-.^_`|~", "GET"} {
		assert.NoError(t, (&Request{Method: method, URI: "/"}).validate(), method)
	}
	for _, method := range []string{"", "A B", "A(", "A/B", "A:", "A\x00", "A\r", "\u00c4", "A{", "A\x7f"} {
		assert.ErrorIs(t, (&Request{Method: method, URI: "/"}).validate(), ErrInvalidRequest, method)
	}
}
