package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
)

// Guards against delivering the part of a response without a declared length as
// complete when its target resets the connection while the request body is still
// being sent.
func TestResetDuringLongRequestIsVisibleToCaller(t *testing.T) {
	s := startSite(t, siteOptions{scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, stampedHead(200, r)+"\r\npart")
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}}})
	body := strings.Repeat("x", 1<<20)
	answered := 0
	for i := range 40 {
		c := s.dial()
		go func() {
			_, _ = fmt.Fprintf(c.Conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: r%d\r\nContent-Length: %d\r\n\r\n%s",
				host, platform.HeaderRequestID, i, len(body), body)
		}()
		resp, err := c.receiveOrAbort("POST")
		if err != nil {
			continue
		}
		require.NotEqual(t, 200, resp.StatusCode, "request %d, body %q", i, resp.body)
		answered++
	}
	assert.Positive(t, answered)
}
