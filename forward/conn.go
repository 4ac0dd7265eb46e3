package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

const (
	readBufferBytes = 16 << 10
	// maxHeadBytes bounds the head of an answer, interim ones included.
	maxHeadBytes = 64 << 10
)

// conn is a connection to a target.
type conn struct {
	*net.TCPConn
	reader *bufio.Reader
	limit  headLimit
	wrote  atomic.Bool // Set before the first byte of a request is written.
	reused bool        // It carried another request before.
}

// headLimit bounds what is read while a head is expected. It notes the end of
// the connection, which parsers report in many forms.
type headLimit struct {
	from   net.Conn
	active bool
	left   int
	ended  bool // The target closed or reset the connection.
	read   int  // Bytes read since a head is expected.
}

// Read fails when a head is longer than the bound.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.active && l.left <= 0 {
		return 0, errHeadTooLarge
	}
	if l.active {
		p = p[:min(len(p), l.left)]
	}
	n, err := l.from.Read(p)
	l.left -= n
	l.read += n
	if err == io.EOF || errors.Is(err, syscall.ECONNRESET) {
		l.ended = true
	}
	return n, err
}

func newConn(raw *net.TCPConn) *conn {
	c := &conn{TCPConn: raw}
	c.limit.from = raw
	c.reader = bufio.NewReaderSize(&c.limit, readBufferBytes)
	return c
}

func (c *conn) expectHead() { c.limit.active, c.limit.left, c.limit.read = true, maxHeadBytes, 0 }
func (c *conn) expectBody() { c.limit.active = false }

// Write notes that bytes may have reached the target.
func (c *conn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.TCPConn.Write(p)
}

// quiet reports whether the target has neither closed the connection nor sent
// bytes without being asked.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK)
}
