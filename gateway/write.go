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

// response is a response to a caller.
type response struct {
	status int
	header http.Header
	body   []byte        // The whole body, unless stream is set.
	stream io.ReadCloser // The body when it is forwarded while it arrives.
	length int64         // Bytes of stream; -1 when unknown.
	reason string        // Why this system generated the response, for the log; empty for a target's response.
	// expired returns the response to write in place of stream if the request's time has
	// ended, otherwise nil. It may be nil.
	expired func() *response
}

// systemResponse returns a response that this system generates itself.
func systemResponse(status int, reason string) *response {
	return &response{status: status, header: http.Header{}, reason: reason}
}

// retryAfterResponse returns a response with a Retry-After header, for a request
// that was not executed.
func retryAfterResponse(status int, reason string, after time.Duration) *response {
	resp := systemResponse(status, reason)
	resp.header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return resp
}

// writeLoop writes the responses in the order of their requests.
func (c *conn) writeLoop() {
	w := bufio.NewWriterSize(c.Conn, writeBufferBytes)
	failed := false
	for ex := range c.exchanges {
		if ex.interim {
			if !failed {
				err := c.writeContinue(w)
				failed = err != nil
				c.setCause(causeOfWriteError(err))
			}
			continue
		}
		<-ex.ready // Soon after the end of c.ctx, too.
		failed = failed || ex.response.reason == reasonCallerLeft
		if !failed {
			err := c.writeResponse(w, ex)
			failed = err != nil
			c.setCause(causeOfWriteError(err))
		}
		if failed {
			c.addUnanswered(ex)
		}
		if ex.response != nil && ex.response.stream != nil {
			_ = ex.response.stream.Close()
		}
		if failed {
			c.cancel()
			_ = c.Conn.Close()
		}
		c.server.inFlight.Add(-1)
		c.responseWritten()
		if ex.request != nil {
			c.server.gateway.heldResponses.release(ex.request.heldResponses)
			ex.request.held.end(time.Now())
		}
		c.endResponse(ex)
		close(ex.ended)
	}
}

func (c *conn) writeContinue(w *bufio.Writer) error {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

func (c *conn) writeResponse(w *bufio.Writer, ex *exchange) error {
	resp := ex.response
	if resp.expired != nil {
		if replacement := resp.expired(); replacement != nil {
			resp = replacement
		}
	}
	method := ""
	if ex.request != nil {
		method = ex.request.httpRequest.Method
	}
	closeAfter := c.closesAfterResponse(ex.request)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := resp.writeHead(w, method, closeAfter); err != nil {
		return err
	}
	if err := c.writeBody(w, resp, method); err != nil {
		return err
	}
	return w.Flush()
}

func (resp *response) writeHead(w *bufio.Writer, method string, closeAfter bool) error {
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", resp.status, http.StatusText(resp.status)); err != nil {
		return err
	}
	resp.header.Del("Connection")
	switch {
	case resp.status == http.StatusNoContent || resp.status == http.StatusNotModified:
	case resp.stream == nil && method == http.MethodHead && resp.header.Get("Content-Length") != "":
	case resp.stream == nil:
		resp.header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	case resp.length >= 0:
		resp.header.Set("Content-Length", strconv.FormatInt(resp.length, 10))
	default:
		resp.header.Set("Transfer-Encoding", "chunked")
	}
	if closeAfter {
		resp.header.Set("Connection", "close")
	}
	if err := resp.header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// writeBody writes the body. When it returns an error, the connection must be
// closed so that the caller does not take a truncated response for complete.
func (c *conn) writeBody(w *bufio.Writer, resp *response, method string) error {
	if resp.stream == nil {
		if method == http.MethodHead {
			return nil
		}
		_, err := w.Write(resp.body)
		return err
	}
	if resp.length >= 0 {
		_, err := io.Copy(c.deadlineWriter(w), resp.stream)
		return err
	}
	chunks := newChunkedWriter(c.deadlineWriter(w))
	if _, err := io.Copy(chunks, resp.stream); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

func (c *conn) deadlineWriter(w *bufio.Writer) io.Writer { return &deadlineWriter{conn: c, w: w} }

// deadlineWriter extends the write deadline before each write and flushes after
// it.
type deadlineWriter struct {
	conn *conn
	w    *bufio.Writer
}

func (writer *deadlineWriter) Write(p []byte) (int, error) {
	_ = writer.conn.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := writer.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, writer.w.Flush()
}
