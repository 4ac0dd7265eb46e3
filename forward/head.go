package forward

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

const (
	minStatus    = 100
	maxStatus    = 599
	http10Prefix = "HTTP/1.0"
	// maxOddStatusLine is the longest status line in bytes that is parsed although its
	// start is not as RFC 9112 prescribes. The errors of net/http quote the whole line:
	// one of 60 KB took up to a megabyte, for each target that sent one.
	maxOddStatusLine = 1 << 10
)

// parseHead reads a response head. It refuses heads that net/http accepts although
// they do not tell for certain where the body ends, or which are not responses of
// HTTP/1.
func parseHead(reader *bufio.Reader, method string) (*http.Response, error) {
	// In HTTP/1.0, net/http removes Transfer-Encoding without a trace and reads the
	// chunks as the body.
	if version, err := reader.Peek(len(http10Prefix)); err == nil && string(version) == http10Prefix && hasField(peekHead(reader), "transfer-encoding") {
		return nil, errAmbiguousHead
	}
	if !hasRegularStart(reader) && !peekLine(reader, maxOddStatusLine) {
		return nil, errAmbiguousHead
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if response.ProtoMajor != 1 || response.StatusCode < minStatus || response.StatusCode > maxStatus || hasInvalidName(response.Header) {
		return nil, errAmbiguousHead
	}
	return response, nil
}

// regularStart matches the start of a status line: d stands for a digit, and $ for a
// space or the end of the line.
const regularStart = "HTTP/1.d ddd$"

// hasRegularStart reports whether a head starts with the version and a status of three
// digits.
func hasRegularStart(reader *bufio.Reader) bool {
	start, _ := reader.Peek(len(regularStart))
	if len(start) < len(regularStart) {
		return false
	}
	for i, c := range []byte(regularStart) {
		matches := start[i] == c
		switch c {
		case 'd':
			matches = start[i] >= '0' && start[i] <= '9'
		case '$':
			matches = start[i] == ' ' || start[i] == '\r' || start[i] == '\n'
		}
		if !matches {
			return false
		}
	}
	return true
}

// peekLine reports whether the next line has at most the given length, or is cut off by
// the end of the connection.
func peekLine(reader *bufio.Reader, limit int) bool {
	for n := 1; ; n = reader.Buffered() + 1 {
		buffered, err := reader.Peek(min(limit, max(n, reader.Buffered())))
		if bytes.IndexByte(buffered, '\n') >= 0 || err != nil {
			return true
		}
		if len(buffered) >= limit {
			return false
		}
	}
}

// IsAmbiguousRequest reports whether a request that net/http has accepted is one
// that other parsers may read with another body, or that is not one of HTTP/1.
// received is its head as received; it may be followed by further bytes.
func IsAmbiguousRequest(received []byte, request *http.Request) bool {
	end := headEnd(received)
	if end < 0 {
		return true
	}
	head := received[:end]
	switch {
	case request.ProtoMajor != 1 || hasInvalidName(request.Header) || hasFoldedLine(head):
		return true
	case request.Method == http.MethodConnect: // What follows may belong to a tunnel.
		return true
	case !request.ProtoAtLeast(1, 1): // See parseHead.
		return hasField(head, "transfer-encoding")
	case len(request.TransferEncoding) > 0:
		return hasField(head, "content-length") // Removed by net/http.
	}
	return false
}

// hasFoldedLine reports whether a line of a head continues the one before it.
func hasFoldedLine(head []byte) bool {
	return bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t"))
}

// hasInvalidName reports whether a header name contains a space. Parsers that
// ignore the space read another header, which may declare a length.
func hasInvalidName(header http.Header) bool {
	for name := range header {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}

// peekHead returns the next head without consuming it, or as much of it as arrives
// and fits into the buffer.
func peekHead(reader *bufio.Reader) []byte {
	for n := 1; ; n = reader.Buffered() + 1 {
		buffered, err := reader.Peek(max(n, reader.Buffered()))
		if end := headEnd(buffered); end >= 0 {
			return buffered[:end]
		}
		if err != nil {
			return buffered
		}
	}
}

// headEnd returns the position after the first empty line, or -1.
func headEnd(b []byte) int {
	for i := 0; ; {
		line := bytes.IndexByte(b[i:], '\n')
		if line < 0 {
			return -1
		}
		i += line + 1
		for _, empty := range []string{"\n", "\r\n"} {
			if bytes.HasPrefix(b[i:], []byte(empty)) {
				return i + len(empty)
			}
		}
	}
}

// hasField reports whether a head has a header field. The name is in lower case.
func hasField(head []byte, name string) bool {
	return bytes.Contains(bytes.ToLower(head), []byte("\n"+name+":"))
}
