package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against reading an ambiguous or invalid head so that a truncated body, or
// bytes of the message framing, count as the whole body.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, response := range map[string]string{
		"two lengths":                     ok + "Content-Length: 5\r\nContent-Length: 512\r\n\r\nwhole",
		"list of lengths":                 ok + "Content-Length: 5, 512\r\n\r\nwhole",
		"signed length":                   ok + "Content-Length: +5\r\n\r\nwhole",
		"negative length":                 ok + "Content-Length: -1\r\n\r\nwhole",
		"empty length":                    ok + "Content-Length:\r\n\r\nwhole",
		"hexadecimal length":              ok + "Content-Length: 0x5\r\n\r\nwhole",
		"length with a blank":             ok + "Content-Length: 5 12\r\n\r\nwhole",
		"folded length":                   ok + "Content-Length: 5\r\n 12\r\n\r\nwhole",
		"huge length":                     ok + "Content-Length: 99999999999999999999\r\n\r\nwhole",
		"blank before the colon, length":  ok + "Content-Length : 512\r\n\r\nwhole",
		"blank before the colon, chunked": ok + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"tab before the colon":            ok + "Content-Length\t: 512\r\n\r\nwhole",
		"blank before the name":           ok + " Content-Length: 512\r\n\r\nwhole",
		"line without a colon":            ok + "Content-Length 512\r\n\r\nwhole",
		"NUL in a value":                  ok + "X-Other: a\x00b\r\nContent-Length: 5\r\n\r\nwhole",
		"NUL in a name":                   ok + "Content\x00-Length: 512\r\n\r\nwhole",
		"carriage return in a value":      ok + "X-Other: a\rContent-Length: 512\r\n\r\nwhole",
		"control character in a value":    ok + "X-Other: a\x01b\r\nContent-Length: 5\r\n\r\nwhole",
		"chunked in HTTP/1.0":             "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"chunked, folded, in HTTP/1.0":    "HTTP/1.0 200 OK\nTransfer-Encoding:\n chunked\n\n5\r\nwhole\r\n0\r\n\r\n",
		"chunked twice":                   ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"gzip and chunked":                ok + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"identity":                        ok + "Transfer-Encoding: identity\r\n\r\nwhole",
		"status of two digits":            "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"status 099":                      "HTTP/1.1 099 X\r\n\r\n" + okResponse("whole"),
		"signed status":                   "HTTP/1.1 +20 X\r\n\r\n" + okResponse("whole"),
		"status 600":                      "HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/2":                          "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/0.9":                        "whole",
		"blank line before the head":      "\r\n" + okResponse("whole"),
	} {
		t.Run(name, func(t *testing.T) {
			target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
				if c.readRequest() != nil {
					c.send(response)
				}
			})
			f := New()
			defer f.Close()
			request := getRequest("/")
			request.AllowCloseDelimited = true
			status, content, err := doExchange(t, f, target.destination(), request)
			assert.Error(t, err, "status %d, body %q", status, content)
			assert.Empty(t, f.pool.idle)
		})
	}
}

// A folded line continues the header before it, and chunked encoding overrides a
// length. Guards against refusing such responses or reading their bodies by another
// length.
func TestUnambiguousFramingIsRead(t *testing.T) {
	for name, response := range map[string]string{
		"folded into another header": "HTTP/1.1 200 OK\r\nX-Other: v\r\n Content-Length: 3\r\n\r\nwhole",
		"chunked and a length":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"same length twice":          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 and a length":      "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 without a length":  "HTTP/1.0 200 OK\r\nX-Other: v\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
				if c.readRequest() != nil {
					c.send(response)
				}
			})
			f := New()
			defer f.Close()
			request := getRequest("/")
			request.AllowCloseDelimited = true
			status, content, err := doExchange(t, f, target.destination(), request)
			require.NoError(t, err)
			assert.Equal(t, 200, status)
			assert.Equal(t, "whole", content)
		})
	}
}
