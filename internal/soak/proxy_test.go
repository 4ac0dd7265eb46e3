package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
)

// Guards against file descriptors that stay in use after both sides of a proxied
// connection have ended, until no connection can be accepted.
func TestProxyReleasesConnectionsThatBothSidesHaveEnded(t *testing.T) {
	server, err := net.Listen("tcp", loopback.Host()+":8100")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_, _ = io.WriteString(conn, "response")
				_ = conn.Close()
			}()
		}
	}()
	p, err := newProxy(loopback.Host()+":8100", server.Addr().String())
	require.NoError(t, err)
	defer p.close()
	for range 20 {
		conn, err := net.Dial("tcp", p.listener.Addr().String())
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		response, err := io.ReadAll(conn)
		assert.NoError(t, err)
		assert.Equal(t, "response", string(response))
		require.NoError(t, conn.Close())
	}
	assert.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.conns) == 0
	}, 5*time.Second, 10*time.Millisecond, "connections of the proxy")
}
