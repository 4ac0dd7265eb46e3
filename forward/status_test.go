package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// invalidStatuses are status codes that no HTTP response may have.
var invalidStatuses = []string{"000", "001", "099", "600", "999", "20", "2", "2000", "0200", "+20", "-20", "+00", "-00", "2x0", "abc", "0x1", "٢٠٠", ""}

func matchByURI(h http.Header) ResponseMatch {
	if h.Get("For") == "/" {
		return MatchesRequest
	}
	return OtherRequest
}

// Guards against passing on a response with an invalid status, whatever precedes it
// on the connection, and against reporting that the target did not get the request.
func TestInvalidStatusIsRefusedWhateverPrecedesIt(t *testing.T) {
	for name, before := range map[string]string{
		"first":                    "",
		"after interim responses":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"after a late response":    "HTTP/1.1 200 OK\r\nFor: /other\r\nContent-Length: 1\r\n\r\nx",
		"as an interim response":   "HTTP/1.1 INVALID X\r\n\r\nHTTP/1.1 200 OK\r\nFor: /\r\nContent-Length: 0\r\n\r\n",
		"before the body was read": "EARLY",
	} {
		for _, status := range invalidStatuses {
			t.Run(name+"/"+status, func(t *testing.T) {
				response := before + "HTTP/1.1 " + status + " X\r\nFor: /\r\nContent-Length: 5\r\n\r\nwhole"
				request := getRequest("/")
				switch name {
				case "as an interim response":
					response = strings.Replace(before, "INVALID", status, 1)
				case "before the body was read":
					response, request = response[len("EARLY"):], stalledUpload(t)
				}
				request.MatchResponse = matchByURI
				target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
					_, _ = io.ReadFull(c.reader, make([]byte, 1))
					c.send(response)
					c.waitUntilClosed()
				})
				f := New()
				defer f.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := f.Do(ctx, target.destination(), request)
				var failure *Error
				require.ErrorAs(t, err, &failure)
				assert.NotErrorIs(t, err, context.DeadlineExceeded)
				assert.Equal(t, StageRequestSent, failure.Stage)
				assert.Empty(t, f.pool.idle)
			})
		}
	}
}

// Guards against a status in the trailers that replaces the one of the head, and
// against taking a response that ends in a second head for complete.
func TestStatusInTrailersIsNotUsed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTrailer: Status\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	for trailer, valid := range map[string]bool{
		"Status: 000\r\n":          true,
		":status: 000\r\n":         false,
		"HTTP/1.1 000 X\r\n":       false,
		"HTTP/1.1 000 X: y\r\n":    false,
		"HTTP/1.1: 000 Broken\r\n": false,
	} {
		t.Run(trailer, func(t *testing.T) {
			target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
				if c.readRequest() != nil {
					c.send(head + trailer + "\r\n")
				}
			})
			f := New()
			defer f.Close()
			response, err := f.Do(context.Background(), target.destination(), getRequest("/"))
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, 200, response.Status)
			content, err := io.ReadAll(response.Body)
			assert.Equal(t, "whole", string(content))
			assert.Equal(t, valid, err == nil, "%v", err)
			assert.Empty(t, response.Header.Get("Status"))
		})
	}
}

// Guards against errors that hold several times the text of a long status line, and
// against refusing a short line that net/http accepts.
func TestOddStatusLineIsLimited(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1  200 OK": true,
		"HTTP/1.1 200 " + strings.Repeat("x", 10<<10):     true,
		"HTTP/1.1  200 " + strings.Repeat("x", 2<<10):     false,
		"HTTP/1.1 " + strings.Repeat("\x01", 60<<10):      false,
		"HTTP/1.1 200" + strings.Repeat("\x01", 1<<10):    false,
		"HTTP/1.1 200" + strings.Repeat("\x01", 60<<10):   false,
		"HTTP/1.1 200\t" + strings.Repeat("\x01", 60<<10): false,
		strings.Repeat("\x01\xff", 30<<10):                false,
		"HTTP/1.1 " + strings.Repeat("\x01", 8) + " 200":  false,
	} {
		target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
			if c.readRequest() != nil {
				c.send(line + "\r\nContent-Length: 5\r\n\r\nwhole")
				c.waitUntilClosed()
			}
		})
		f := New()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		response, err := f.Do(ctx, target.destination(), getRequest("/"))
		assert.Equal(t, valid, err == nil, "%.20q: %v", line, err)
		var failure *Error
		if errors.As(err, &failure) {
			assert.NotErrorIs(t, err, context.DeadlineExceeded)
			assert.Less(t, len(failure.Err.Error()), 8<<10)
		} else {
			_ = response.Body.Close()
		}
		cancel()
		f.Close()
	}
}
