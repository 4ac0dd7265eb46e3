package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalledUpload returns a request whose body stalls after its first bytes until it
// is interrupted or has failed after 2 s.
func stalledUpload(t *testing.T) *Request {
	reader, sender := net.Pipe()
	require.NoError(t, reader.SetReadDeadline(time.Now().Add(2*time.Second)))
	t.Cleanup(func() { _ = reader.Close(); _ = sender.Close() })
	return &Request{Method: "POST", URI: "/x", Length: 1 << 20, Body: io.MultiReader(bytes.NewReader(make([]byte, 1<<10)), reader),
		InterruptBody: func() { _ = reader.SetReadDeadline(time.Unix(1, 0)) }}
}

// Guards against holding the response of a target that answers before the end of
// the request body until the caller sends more of it.
func TestEarlyResponseIsNotHeldByAStalledUpload(t *testing.T) {
	for name, response := range map[string]string{
		"body":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly",
		"without body": "HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n",
		"chunked":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
				_, _ = io.ReadFull(c.reader, make([]byte, 1<<10))
				_, _ = io.WriteString(c, response)
				_, _ = io.Copy(io.Discard, c.reader)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			started := time.Now()
			resp, err := New().Do(ctx, target.destination(), stalledUpload(t))
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NoError(t, err)
			assert.NoError(t, resp.Body.Close())
			assert.True(t, len(body) == 0 || string(body) == "early", "%q", body)
			assert.Less(t, time.Since(started), time.Second)
		})
	}
}

// Guards against holding the failure of a target until the caller sends more of
// the request body, and against reporting it as a failure of the body.
func TestFailureOfTargetIsNotHeldByAStalledUpload(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		_, _ = io.ReadFull(c.reader, make([]byte, 1<<10))
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	started := time.Now()
	_, err := New().Do(ctx, target.destination(), stalledUpload(t))
	var failure *Error
	require.ErrorAs(t, err, &failure)
	assert.NotErrorIs(t, err, ErrRequestBody)
	assert.NotErrorIs(t, err, context.DeadlineExceeded)
	assert.True(t, failure.TargetClosed)
	assert.Equal(t, StageRequestSent, failure.Stage)
	assert.Less(t, time.Since(started), time.Second)
}
