package entry

import (
	"container/list"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBodies bounds the requests whose body is still being received.
	maxPendingBodies = 256
	// A body must arrive at minBodyRate after bodyGrace. A slower one would
	// occupy memory and, after its first 64 KB, a slot of a target.
	bodyGrace   = 2 * time.Second
	minBodyRate = 16 << 10 // Bytes per second.
)

// pendingBodies holds the requests whose body is still being received. When
// there are too many, the oldest is aborted: a caller with many slow bodies
// then loses its own first, and other callers can be served.
type pendingBodies struct {
	mu          sync.Mutex
	oldestFirst list.List // Elements are func(), in order of arrival.
}

// add adds a request and, when there are too many, aborts the oldest one. abort
// ends the transfer of the request's body. remove must be called once.
func (p *pendingBodies) add(abort func()) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.oldestFirst.Len() >= maxPendingBodies {
		oldest := p.oldestFirst.Front()
		p.oldestFirst.Remove(oldest)
		oldest.Value.(func())()
	}
	element := p.oldestFirst.PushBack(abort)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.oldestFirst.Remove(element)
	}
}

type readDeadlineSetter interface {
	SetReadDeadline(time.Time) error
}

// pacedBody returns an error when a body arrives more slowly than minBodyRate
// after bodyGrace, or after the request's deadline.
type pacedBody struct {
	source    io.Reader
	conn      readDeadlineSetter
	now       func() time.Time
	started   time.Time
	deadline  time.Time
	bytesRead int64
	aborted   atomic.Bool
}

// abort ends a blocked read and makes later reads fail.
func (b *pacedBody) abort() {
	b.aborted.Store(true)
	_ = b.conn.SetReadDeadline(pastDeadline)
}

// pastDeadline is a read deadline in the past; setting it ends a blocked read.
var pastDeadline = time.Unix(1, 0)

// Read blocks no longer than the minimum rate and the deadline allow.
func (b *pacedBody) Read(p []byte) (int, error) {
	limit := b.started.Add(bodyGrace + time.Duration(b.bytesRead)*time.Second/minBodyRate)
	if limit.After(b.deadline) {
		limit = b.deadline
	}
	if !b.now().Before(limit) {
		return 0, errBodyTooSlow
	}
	if err := b.conn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	if b.aborted.Load() {
		return 0, errBodyTooSlow
	}
	n, err := b.source.Read(p)
	b.bytesRead += int64(n)
	return n, err
}
