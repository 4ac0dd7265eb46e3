package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const writeBufferBytes = 4 << 10

// response is what a caller gets.
type response struct {
	status int
	header http.Header
	body   []byte        // The whole body, unless stream is set.
	stream io.ReadCloser // A body that is passed on as it arrives.
	length int64         // Bytes of stream; -1 when unknown.
	reason string        // For the log: why the system itself answers; empty for a target's answer.
}

// systemResponse is an answer of the system itself.
func systemResponse(status int, reason string) *response {
	return &response{status: status, header: http.Header{}, reason: reason}
}

// retryAfterResponse is an answer that says that the request was not executed and when
// to come back.
func retryAfterResponse(status int, reason string, after time.Duration) *response {
	a := systemResponse(status, reason)
	a.header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return a
}

// writeLoop writes the answers in the order of their requests.
func (c *conn) writeLoop() {
	w := bufio.NewWriterSize(c.Conn, writeBufferBytes)
	failed := false
	for x := range c.exchanges {
		select {
		case <-x.ready:
		case <-c.ctx.Done():
			<-x.ready
			failed = true
		}
		if !failed {
			failed = c.writeResponse(w, x) != nil
		}
		if x.response != nil && x.response.stream != nil {
			_ = x.response.stream.Close()
		}
		if failed {
			c.cancel()
			_ = c.Conn.Close()
		}
		c.server.inFlight.Add(-1)
		c.responseWritten()
	}
}

func (c *conn) writeResponse(w *bufio.Writer, x *exchange) error {
	a := x.response
	method := ""
	if x.request != nil {
		method = x.request.httpRequest.Method
	}
	closes := c.closesAfterResponse()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := a.writeHead(w, method, closes); err != nil {
		return err
	}
	if err := c.writeBody(w, a, method); err != nil {
		return err
	}
	return w.Flush()
}

func (a *response) writeHead(w *bufio.Writer, method string, closes bool) error {
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status)); err != nil {
		return err
	}
	a.header.Del("Connection")
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
	case a.stream == nil && method == http.MethodHead && a.header.Get("Content-Length") != "":
	case a.stream == nil:
		a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.length >= 0:
		a.header.Set("Content-Length", strconv.FormatInt(a.length, 10))
	default:
		a.header.Set("Transfer-Encoding", "chunked")
	}
	if closes {
		a.header.Set("Connection", "close")
	}
	if err := a.header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// writeBody writes the body. When a stream fails, the connection has to be
// closed, so that the answer does not look complete.
func (c *conn) writeBody(w *bufio.Writer, a *response, method string) error {
	if a.stream == nil {
		if method == http.MethodHead {
			return nil
		}
		_, err := w.Write(a.body)
		return err
	}
	if a.length >= 0 {
		_, err := io.Copy(c.deadlineWriter(w), a.stream)
		return err
	}
	chunks := newChunkedWriter(c.deadlineWriter(w))
	if _, err := io.Copy(chunks, a.stream); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// deadlineWriter extends the write deadline with each part and passes it on at once.
func (c *conn) deadlineWriter(w *bufio.Writer) io.Writer { return &deadlineWriter{conn: c, w: w} }

type deadlineWriter struct {
	conn *conn
	w    *bufio.Writer
}

func (p *deadlineWriter) Write(b []byte) (int, error) {
	_ = p.conn.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := p.w.Write(b)
	if err != nil {
		return n, err
	}
	return n, p.w.Flush()
}
