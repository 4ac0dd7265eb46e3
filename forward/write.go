package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
)

const (
	writeBufferBytes = 4 << 10
	copyBufferBytes  = 32 << 10
)

// Request is a request to a target. CleanRequestHeaders is applied to a copy of
// Header when the request is written.
type Request struct {
	// ID is the request's ID as MatchResponse looks for it. Requests with the same
	// ID are never sent on the same connection, because the target could write its
	// response to the first of them once more, and it would match the second. If ID
	// is empty, the request may use any connection.
	ID string
	// NewConnection prevents the use of an idle connection, for a request whose
	// response could not be told from late responses to earlier requests.
	NewConnection bool
	Method        string
	URI           string // Path and query as the caller sent them.
	Header        http.Header
	Body          io.Reader // Nil when there is none. Read must not block indefinitely.
	Length        int64     // Bytes of the body; -1 when unknown, sent chunked.
	Host          string    // Host header; empty means the target's address.
	// InterruptBody, if set, ends a Read of Body that waits. It is called when the
	// exchange has ended before the whole body was sent.
	InterruptBody func()
	// AllowCloseDelimited treats a response without a declared length as complete
	// when the target closes the connection.
	AllowCloseDelimited bool
	// CloseAfter reports from a response head that the connection must not be used
	// again. It is for responses that the target may write once more, and that could
	// not be told from the response to the next request. Nil means never.
	CloseAfter func(http.Header) bool
	// MatchResponse reports from a response head which request the response
	// belongs to, so that late responses to earlier requests on the connection
	// are skipped. If it is nil, every response is accepted and counts as matching.
	MatchResponse func(http.Header) ResponseMatch
}

// ResponseMatch is the relation of a response to a request.
type ResponseMatch int

const (
	// MatchesRequest means that the response has the ID of this request.
	MatchesRequest ResponseMatch = iota
	// NoRequestID means that the response has no request ID, or several different
	// ones. Such a response is accepted only on a new connection.
	NoRequestID
	// OtherRequest means that the response has the ID of another request.
	OtherRequest
)

func (r *Request) validate() error {
	if !isToken(r.Method) {
		return fmt.Errorf("%w: method %q", ErrInvalidRequest, r.Method)
	}
	if r.URI == "" || r.URI[0] != '/' {
		return fmt.Errorf("%w: path does not begin with a slash", ErrInvalidRequest)
	}
	for i := range len(r.URI) {
		if r.URI[i] <= ' ' || r.URI[i] == 0x7f {
			return fmt.Errorf("%w: path contains a space or control character", ErrInvalidRequest)
		}
	}
	return nil
}

// tokenPunctuation are the characters of a token besides letters and digits (RFC
// 9110, section 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		isLetterOrDigit := c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !isLetterOrDigit && strings.IndexByte(tokenPunctuation, c) < 0 {
			return false
		}
	}
	return s != ""
}

// write writes the head and the body of the request and flushes them.
func (r *Request) write(to io.Writer, host string) error {
	w := bufio.NewWriterSize(to, writeBufferBytes)
	if err := r.writeHead(w, host); err != nil {
		return err
	}
	if err := r.writeBody(w); err != nil {
		return err
	}
	return w.Flush()
}

func (r *Request) writeHead(w *bufio.Writer, host string) error {
	if r.Host != "" {
		host = r.Host
	}
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	CleanRequestHeaders(header)
	switch {
	case r.Body == nil && (r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch):
		header.Set("Content-Length", "0")
	case r.Body != nil && r.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	case r.Body != nil:
		header.Set("Transfer-Encoding", "chunked")
	}
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, host); err != nil {
		return err
	}
	if err := header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

func (r *Request) writeBody(w *bufio.Writer) error {
	if r.Body == nil {
		return nil
	}
	flush := w.Flush
	if r.bodyInMemory() {
		flush = func() error { return nil }
	}
	if r.Length >= 0 {
		n, err := copyBody(w, io.LimitReader(r.Body, r.Length), flush)
		if err == nil && n != r.Length {
			return fmt.Errorf("%w: got %d of %d bytes", ErrRequestBody, n, r.Length)
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := copyBody(chunks, r.Body, flush); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// bodyInMemory reports whether the whole body is in memory, so that no read of
// it blocks.
func (r *Request) bodyInMemory() bool {
	_, inMemory := r.Body.(*bytes.Reader)
	return inMemory
}

// copyBody copies like io.Copy through a bounded buffer and flushes after each
// read. Read errors are wrapped in ErrRequestBody. Nothing is flushed before the
// first read, so if that read fails, no byte of the request was written.
func copyBody(to io.Writer, source io.Reader, flush func() error) (int64, error) {
	buffer := make([]byte, copyBufferBytes)
	var total int64
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			written, writeErr := to.Write(buffer[:n])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
			}
			if writeErr := flush(); writeErr != nil {
				return total, writeErr
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, fmt.Errorf("%w: %w", ErrRequestBody, err)
		}
	}
}
