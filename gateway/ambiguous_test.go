package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against delivering a truncated body, or chunks as a body, as complete
// because the response head does not declare the framing in a valid way.
func TestAmbiguousResponseHeadIsNotDelivered(t *testing.T) {
	for _, rest := range []string{
		"Content-Length : 512\r\n\r\npart",
		"Transfer-Encoding : chunked\r\n\r\n4\r\npart\r\n",
	} {
		handle := func(_ int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, stampedHead(200, r)+rest)
			return false
		}
		for name, s := range map[string]*site{"direct": startSite(t, siteOptions{scripts: []script{handle}}), "relayed": startFarSite(t, nil, handle).site} {
			c := s.dial()
			c.send("POST", "/unsafe/x", "r1", "b")
			resp, err := c.receiveOrAbort("POST")
			if assert.NoError(t, err) {
				assert.Equal(t, 502, resp.StatusCode, "%s, body %q", name, resp.body)
			}
		}
	}
}
