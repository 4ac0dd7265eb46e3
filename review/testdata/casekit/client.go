package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

var lastID atomic.Int64

func nextID() string { return fmt.Sprintf("r%07d", lastID.Add(1)) }

// answer is what a client got for one request.
type answer struct {
	id     string
	status int // 0 if there was no whole answer.
	body   []byte
	header http.Header
	err    error
	began  bool // The head of an answer arrived.
	close  bool // The connection is closed after the answer.
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, body []byte, more ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, wiresite.Host, headerID, id, platform.HeaderDeadline, deadline.Milliseconds())
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// read reads one answer to the end.
func read(reader *bufio.Reader, method, id string) answer {
	a := answer{id: id}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.began, a.header, a.close = true, response.Header, response.Close
	a.body, a.err = io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if a.err == nil {
		a.status = response.StatusCode
	}
	return a
}

// send sends one request on a new connection.
func (e *env) send(address, method, path string, body []byte, deadline time.Duration, more ...string) answer {
	id := nextID()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := c.Write(head(method, path, id, deadline, body, more...)); err != nil {
		return answer{id: id, err: err}
	}
	a := read(bufio.NewReader(c), method, id)
	e.note("client: %s %s %s to %s: status %d, error %v", id, method, path, address, a.status, a.err)
	return a
}
