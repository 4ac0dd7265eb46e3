package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/cespare/xxhash/v2"
)

const (
	readBufferBytes = 16 << 10
	// maxHeadBytes is the size limit for a response head, including the heads of
	// interim (1xx) responses before it.
	maxHeadBytes = 64 << 10
	// maxRequestIDs is the number of request IDs that a connection remembers. It is
	// closed afterwards: forgetting one would allow a second request with that ID.
	maxRequestIDs = 256
)

// conn is a connection to a target.
type conn struct {
	*net.TCPConn
	reader       *bufio.Reader
	limit        headLimiter
	writeStarted atomic.Bool // Set just before the first byte of a request is written.
	reused       bool        // An earlier request was sent on this connection.
	requestIDs   []uint64    // Hashes of the IDs of the requests that were sent on this connection.
}

// headLimiter limits the number of bytes read while a response head is expected.
// It also records that the connection ended, because HTTP parsers report this
// through many different errors.
type headLimiter struct {
	source          net.Conn
	active          bool
	remaining       int
	connectionEnded bool // The target closed or reset the connection.
	bytesRead       int  // Bytes read since expectHead was called.
}

// Read returns errHeadTooLarge when a head exceeds the limit.
func (limiter *headLimiter) Read(p []byte) (int, error) {
	if limiter.active && limiter.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if limiter.active {
		p = p[:min(len(p), limiter.remaining)]
	}
	n, err := limiter.source.Read(p)
	limiter.remaining -= n
	limiter.bytesRead += n
	if err == io.EOF || errors.Is(err, syscall.ECONNRESET) {
		limiter.connectionEnded = true
	}
	return n, err
}

func newConn(raw *net.TCPConn) *conn {
	c := &conn{TCPConn: raw}
	c.limit.source = raw
	c.reader = bufio.NewReaderSize(&c.limit, readBufferBytes)
	return c
}

// addRequestID records the ID of a request that is about to be sent.
func (c *conn) addRequestID(id string) {
	if id != "" {
		c.requestIDs = append(c.requestIDs, xxhash.Sum64String(id))
	}
}

// maySend reports whether no request with the ID was sent on this connection. Two
// IDs with the same hash count as equal.
func (c *conn) maySend(id string) bool {
	return id == "" || !slices.Contains(c.requestIDs, xxhash.Sum64String(id))
}

func (c *conn) expectHead() {
	c.limit.active, c.limit.remaining, c.limit.bytesRead = true, maxHeadBytes, 0
}
func (c *conn) expectBody() { c.limit.active = false }

// Write records that bytes may have reached the target.
func (c *conn) Write(p []byte) (int, error) {
	c.writeStarted.Store(true)
	return c.TCPConn.Write(p)
}

// isReusable reports whether the target has neither closed the connection nor
// sent unsolicited bytes. It peeks at the socket without blocking.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}
