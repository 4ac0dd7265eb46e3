package entry

import (
	"container/list"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBodies bounds the requests whose body is awaited.
	maxPendingBodies = 256
	// bodyGrace and bodyRate are the pace that a body must keep: a slower one
	// would hold memory, and after its first 64 KB a slot of a target.
	bodyGrace   = 2 * time.Second
	minBodyRate = 16 << 10 // Bytes per second.
)

// pendingBodies holds the requests whose body is awaited. When there are too many,
// the one that has waited longest is cut: a caller with many slow bodies then
// loses its own first, and others find room.
type pendingBodies struct {
	mu          sync.Mutex
	oldestFirst list.List // Of func(), longest wait first.
}

// add adds a request; cut ends its transfer. Leave must be called once.
func (r *pendingBodies) add(cut func()) (leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.oldestFirst.Len() >= maxPendingBodies {
		oldest := r.oldestFirst.Front()
		r.oldestFirst.Remove(oldest)
		oldest.Value.(func())()
	}
	element := r.oldestFirst.PushBack(cut)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.oldestFirst.Remove(element)
	}
}

type readDeadlineSetter interface {
	SetReadDeadline(time.Time) error
}

// pacedBody fails when a body arrives more slowly than bodyRate after bodyGrace,
// or after the request's deadline.
type pacedBody struct {
	source    io.Reader
	conn      readDeadlineSetter
	now       func() time.Time
	started   time.Time
	deadline  time.Time
	bytesRead int64
	aborted   atomic.Bool
}

// abort ends a read that waits and all later ones.
func (b *pacedBody) abort() {
	b.aborted.Store(true)
	_ = b.conn.SetReadDeadline(pastDeadline)
}

// pastDeadline as a read deadline ends a read that waits.
var pastDeadline = time.Unix(1, 0)

// Read waits for as long as the pace allows.
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
