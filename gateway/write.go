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

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   []byte        // The whole body, unless stream is set.
	stream io.ReadCloser // A body that is passed on as it arrives.
	length int64         // Bytes of stream; -1 when unknown.
	reason string        // For the log: why the system itself answers; empty for a target's answer.
}

// ownAnswer is an answer of the system itself.
func ownAnswer(status int, reason string) *answer {
	return &answer{status: status, header: http.Header{}, reason: reason}
}

// retryAfter is an answer that says that the request was not executed and when
// to come back.
func retryAfter(status int, reason string, after time.Duration) *answer {
	a := ownAnswer(status, reason)
	a.header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return a
}

// writeAnswers writes the answers in the order of their requests.
func (c *conn) writeAnswers() {
	w := bufio.NewWriterSize(c.Conn, writeBufferBytes)
	failed := false
	for x := range c.queue {
		select {
		case <-x.ready:
		case <-c.ctx.Done():
			<-x.ready
			failed = true
		}
		if !failed {
			failed = c.writeAnswer(w, x) != nil
		}
		if x.answer != nil && x.answer.stream != nil {
			_ = x.answer.stream.Close()
		}
		if failed {
			c.cancel()
			_ = c.Conn.Close()
		}
		c.server.inFlight.Add(-1)
		c.answerWritten()
	}
}

func (c *conn) writeAnswer(w *bufio.Writer, x *exchange) error {
	a := x.answer
	method := ""
	if x.request != nil {
		method = x.request.http.Method
	}
	closes := c.lastAnswer()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := a.writeHead(w, method, closes); err != nil {
		return err
	}
	if err := c.writeBody(w, a, method); err != nil {
		return err
	}
	return w.Flush()
}

func (a *answer) writeHead(w *bufio.Writer, method string, closes bool) error {
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
func (c *conn) writeBody(w *bufio.Writer, a *answer, method string) error {
	if a.stream == nil {
		if method == http.MethodHead {
			return nil
		}
		_, err := w.Write(a.body)
		return err
	}
	if a.length >= 0 {
		_, err := io.Copy(c.paced(w), a.stream)
		return err
	}
	chunks := newChunks(c.paced(w))
	if _, err := io.Copy(chunks, a.stream); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// paced extends the write deadline with each part and passes it on at once.
func (c *conn) paced(w *bufio.Writer) io.Writer { return &pacedWriter{conn: c, w: w} }

type pacedWriter struct {
	conn *conn
	w    *bufio.Writer
}

func (p *pacedWriter) Write(b []byte) (int, error) {
	_ = p.conn.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := p.w.Write(b)
	if err != nil {
		return n, err
	}
	return n, p.w.Flush()
}
