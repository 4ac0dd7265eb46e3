package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// setBuffer returns a control function that sets the size of a socket's buffer.
func setBuffer(option, size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// Load pattern: a target does not take the bytes of a request, as behind a cut network,
// until the attempt has been given up. Guards against delivering the whole request after
// that: the target would execute it although another one has, or the caller has left.
func TestAbandonedRequestIsNotDeliveredLater(t *testing.T) {
	const size = 100 << 10 // Fits into the send buffer, and not into the receive buffer.
	for _, reason := range []string{"caller left", "deadline", "response not read"} {
		for _, kind := range []string{"in memory", "streamed"} {
			t.Run(reason+" "+kind, func(t *testing.T) {
				config := net.ListenConfig{Control: setBuffer(syscall.SO_RCVBUF, 4<<10)}
				listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer func() { _ = listener.Close() }()
				f := New()
				defer f.Close()
				f.pool.dialer.Control = setBuffer(syscall.SO_SNDBUF, 1<<20)
				ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
				if reason == "deadline" {
					ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
				}
				defer cancel()
				var body io.Reader = bytes.NewReader(make([]byte, size))
				if kind == "streamed" {
					body = io.MultiReader(body) // Hides that it is in memory.
				}
				ended := make(chan error, 1)
				go func() {
					response, err := f.Do(ctx, Target{Address: listener.Addr().String()}, &Request{Method: "POST", URI: "/", Body: body, Length: size})
					if err == nil {
						_ = response.Body.Close()
					}
					ended <- err
				}()
				c, err := listener.Accept()
				require.NoError(t, err)
				defer func() { _ = c.Close() }()
				time.Sleep(50 * time.Millisecond) // All bytes are in the buffers.
				switch reason {
				case "caller left":
					cancel()
				case "response not read":
					_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart")
					require.NoError(t, err)
				}
				err = <-ended
				assert.Equal(t, reason == "response not read", err == nil, "%v", err)
				require.NoError(t, c.SetReadDeadline(time.Now().Add(hangTimeout)))
				received, err := io.ReadAll(c)
				assert.ErrorIs(t, err, syscall.ECONNRESET)
				assert.Less(t, len(received), size)
			})
		}
	}
}

// Guards against resetting connections whose last response was complete: what a target
// has not read yet of them would be lost, and its log would name a failure.
func TestIdleConnectionIsClosedGracefully(t *testing.T) {
	for _, closeAfter := range []bool{false, true} {
		readErr := make(chan error, 1)
		target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
			if c.readRequest() == nil {
				return
			}
			head := "HTTP/1.1 200 OK\r\n"
			if closeAfter {
				head += "Connection: close\r\n"
			}
			c.send(head + "Content-Length: 1\r\n\r\nx")
			_, err := http.ReadRequest(c.reader)
			readErr <- err
		})
		f := New()
		_, _, err := doExchange(t, f, target.destination(), getRequest("/"))
		require.NoError(t, err)
		f.Close()
		assert.Equal(t, io.EOF, <-readErr, "closed by the target: %v", closeAfter)
	}
}
