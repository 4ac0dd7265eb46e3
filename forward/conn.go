package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

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
	writing      sync.Mutex  // Held during a write; protects writeErr.
	writeErr     error       // The failure of the connection that a write reported.
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

// closeGracefully closes a connection whose last exchange is complete. All that was
// written is still delivered.
func (c *conn) closeGracefully() {
	_ = c.SetLinger(-1)
	_ = c.Close()
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

// Write records that bytes may have reached the target, and why the connection
// failed.
func (c *conn) Write(p []byte) (int, error) {
	c.writeStarted.Store(true)
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.TCPConn.Write(p)
	// EPIPE means that the end of the connection, or its failure, was already
	// received before.
	if err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// failureSeenByWriter returns the failure of the connection that a write reported,
// if any. The kernel reports a reset to one call only; a read after it returns
// io.EOF, as at the end of a connection that was closed. A write in progress is
// ended: the connection cannot be used any more.
func (c *conn) failureSeenByWriter() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
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
