package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testIDHeader = "X-Id"

// identifiedRequest returns a request whose response must have its ID.
func identifiedRequest(method, uri, id string) *Request {
	return &Request{Method: method, URI: uri, Header: http.Header{testIDHeader: {id}}, AllowCloseDelimited: true,
		MatchResponse: func(h http.Header) ResponseMatch {
			switch h.Get(testIDHeader) {
			case id:
				return MatchesRequest
			case "":
				return NoRequestID
			}
			return OtherRequest
		}}
}

// cuttingTarget responds to the path /cut/N/fin or /cut/N/rst with the first N
// bytes of a response and closes or resets the connection, and to other paths
// with a complete response that has the request's ID as its body.
func cuttingTarget(t *testing.T, response string) *scriptedTarget {
	return newScriptedTarget(t, func(_ int, c *scriptedConn) {
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			id := r.Header.Get(testIDHeader)
			parts := strings.Split(r.URL.Path, "/")
			if parts[1] != "cut" {
				c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", testIDHeader, id, len(id), id))
				continue
			}
			length, _ := strconv.Atoi(parts[2])
			c.send(response[:length])
			if parts[3] == "rst" {
				c.reset()
			}
			return
		}
	})
}

// Guards against a response that breaks off in its head, an interim response, a
// skipped late response, its body, a chunk or its trailers, and looks complete.
func TestResponseCutAfterEachByteIsNeverComplete(t *testing.T) {
	const (
		id   = "X-Id: own\r\n"
		late = "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length: 7\r\n\r\nearlier"
	)
	body := strings.Repeat("0123456789abcdef", 32) // 512 bytes.
	whole := "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 512\r\n\r\n" + body
	chunked := "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n10\r\n0123456789abcdef\r\n0\r\n"
	for _, c := range []struct {
		name, method, response, content string
		closeDelimited                  bool
	}{
		{name: "length", response: whole, content: body},
		{name: "bare line feeds", response: strings.ReplaceAll(whole, "\r\n", "\n"), content: body},
		{name: "length last in the head", response: "HTTP/1.1 200 OK\r\nContent-Length: 512\r\n" + id + "\r\n" + body, content: body},
		{name: "no content", response: "HTTP/1.1 204 No Content\r\n" + id + "\r\n"},
		{name: "not modified", response: "HTTP/1.1 304 Not Modified\r\n" + id + "Content-Length: 512\r\n\r\n"},
		{name: "empty", response: "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n"},
		{name: "HEAD", method: "HEAD", response: "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 512\r\n\r\n"},
		{name: "HEAD without a length", method: "HEAD", response: "HTTP/1.1 200 OK\r\n" + id + "\r\n"},
		{name: "status 500", response: "HTTP/1.1 500 X\r\n" + id + "Content-Length: 5\r\n\r\nwhole", content: "whole"},
		{name: "status 503", response: "HTTP/1.1 503 X\r\n" + id + "Retry-After: 1\r\nContent-Length: 5\r\n\r\nwhole", content: "whole"},
		{name: "chunks", response: chunked + "\r\n", content: "whole0123456789abcdef"},
		{name: "chunks and trailers", response: chunked + "X-Trailer: some value\r\nX-Second: v\r\n\r\n", content: "whole0123456789abcdef"},
		{name: "interim", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + whole, content: body},
		{name: "late responses", response: late + "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n" + whole, content: body},
		{name: "folded", response: "HTTP/1.1 200 OK\r\n" + id + "X-Long: first\r\n second\r\n\tthird\r\nContent-Length: 5\r\n\r\nwhole", content: "whole"},
		{name: "no declared length", response: "HTTP/1.1 200 OK\r\n" + id + "\r\n0123456789abcdef", content: "0123456789abcdef", closeDelimited: true},
		{name: "HTTP/1.0", response: "HTTP/1.0 200 OK\r\n" + id + "\r\n0123456789abcdef", content: "0123456789abcdef", closeDelimited: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			target := cuttingTarget(t, c.response)
			f := New()
			defer f.Close()
			method := "GET"
			if c.method != "" {
				method = c.method
			}
			for n := range len(c.response) + 1 {
				for _, ending := range []string{"fin", "rst"} {
					for _, kept := range []bool{true, false} {
						if kept {
							_, content, err := doExchange(t, f, target.destination(), identifiedRequest("GET", "/whole", "before"))
							require.NoError(t, err)
							require.Equal(t, "before", content)
						} else {
							f.CloseIdle()
						}
						name := fmt.Sprintf("%d bytes, %s, kept %v", n, ending, kept)
						_, content, err := doExchange(t, f, target.destination(), identifiedRequest(method, fmt.Sprintf("/cut/%d/%s", n, ending), "own"))
						complete := n == len(c.response) && (ending == "fin" || !c.closeDelimited)
						switch inBody := c.closeDelimited && n >= strings.Index(c.response, "\r\n\r\n")+len("\r\n\r\n"); {
						case complete:
							require.NoError(t, err, name)
							require.Equal(t, c.content, content, name)
							f.CloseIdle() // The target closes this connection.
						case inBody && ending == "fin":
							require.NoError(t, err, name+": the end of the connection is the end of the body")
						default:
							require.Error(t, err, name)
							require.True(t, strings.HasPrefix(c.content, content), name)
						}
					}
				}
			}
		})
	}
}
