package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A target responds without a declared length before it has read the whole
// request, and resets the connection. The kernel reports the reset once, to the
// writer of the request body or to the reader of the response. Guards against the
// reader taking the end that it sees after that for the end of the body.
func TestResetReportedToRequestWriterIsNotEndOfBody(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		if _, err := http.ReadRequest(c.reader); err != nil {
			return
		}
		c.send("HTTP/1.1 200 OK\r\n\r\npart")
		c.reset()
	})
	f := New()
	defer f.Close()
	for i := range 200 {
		body, sink := io.Pipe()
		writing := make(chan struct{})
		go func() {
			defer close(writing)
			piece := make([]byte, 1<<10)
			for {
				if _, err := sink.Write(piece); err != nil {
					return
				}
			}
		}()
		request := &Request{Method: "POST", URI: "/", Body: body, Length: -1, AllowCloseDelimited: true}
		_, content, err := doExchange(t, f, target.destination(), request)
		_ = body.Close()
		<-writing
		require.Error(t, err, "exchange %d, body %q", i, content)
	}
}

// Guards against refusing a response without a declared length whose target closes
// its side of the connection while the request is still being sent.
func TestCloseDuringRequestEndsBody(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		if _, err := http.ReadRequest(c.reader); err != nil {
			return
		}
		c.send("HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		c.waitUntilClosed()
	})
	f := New()
	defer f.Close()
	for range 50 {
		body, sink := io.Pipe()
		go func() {
			for _, err := sink.Write(make([]byte, 1<<10)); err == nil; {
				_, err = sink.Write(make([]byte, 1<<10))
			}
		}()
		request := &Request{Method: "POST", URI: "/", Body: body, Length: -1, AllowCloseDelimited: true}
		_, content, err := doExchange(t, f, target.destination(), request)
		_ = body.Close()
		require.NoError(t, err)
		require.Equal(t, "whole", content)
	}
}
