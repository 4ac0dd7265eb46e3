package entry

import (
	"container/list"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxReceiving bounds the requests whose body is awaited.
	maxReceiving = 256
	// bodyGrace and bodyRate are the pace that a body must keep: a slower one
	// would hold memory, and after its first 64 KB a slot of a target.
	bodyGrace = 2 * time.Second
	bodyRate  = 16 << 10 // Bytes per second.
)

// receiving holds the requests whose body is awaited. When there are too many,
// the one that has waited longest is cut: a caller with many slow bodies then
// loses its own first, and others find room.
type receiving struct {
	mu    sync.Mutex
	order list.List // Of func(), longest wait first.
}

// enter adds a request; cut ends its transfer. Leave must be called once.
func (r *receiving) enter(cut func()) (leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order.Len() >= maxReceiving {
		oldest := r.order.Front()
		r.order.Remove(oldest)
		oldest.Value.(func())()
	}
	element := r.order.PushBack(cut)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.order.Remove(element)
	}
}

type deadliner interface {
	SetReadDeadline(time.Time) error
}

// pacedBody fails when a body arrives more slowly than bodyRate after bodyGrace,
// or after the request's deadline.
type pacedBody struct {
	from     io.Reader
	conn     deadliner
	now      func() time.Time
	started  time.Time
	deadline time.Time
	read     int64
	ended    atomic.Bool
}

// cut ends a read that waits and all later ones.
func (b *pacedBody) cut() {
	b.ended.Store(true)
	_ = b.conn.SetReadDeadline(longAgo)
}

// longAgo as a read deadline ends a read that waits.
var longAgo = time.Unix(1, 0)

// Read waits for as long as the pace allows.
func (b *pacedBody) Read(p []byte) (int, error) {
	limit := b.started.Add(bodyGrace + time.Duration(b.read)*time.Second/bodyRate)
	if limit.After(b.deadline) {
		limit = b.deadline
	}
	if !b.now().Before(limit) {
		return 0, errBodyTooSlow
	}
	if err := b.conn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	if b.ended.Load() {
		return 0, errBodyTooSlow
	}
	n, err := b.from.Read(p)
	b.read += int64(n)
	return n, err
}
