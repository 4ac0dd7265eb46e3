// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	mu       sync.Mutex
	items    []T
	head     int
	count    int
	closed   bool
	notEmpty chan struct{} // Holds one token when items may be available.
	notFull  chan struct{} // Holds one token when there may be room.
}

// New returns an empty ring that holds at most capacity items. Capacity must
// be at least 1.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity must be at least 1")
	}
	return &Ring[T]{items: make([]T, capacity), notEmpty: make(chan struct{}, 1), notFull: make(chan struct{}, 1)}
}

// TryPush appends an item. It returns false when the ring is full or closed.
func (r *Ring[T]) TryPush(item T) bool {
	r.mu.Lock()
	if r.closed || r.count == len(r.items) {
		r.mu.Unlock()
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	room := r.count < len(r.items)
	r.mu.Unlock()
	signal(r.notEmpty)
	if room {
		signal(r.notFull)
	}
	return true
}

// Push appends an item, waiting until there is room. It returns false when ctx
// ends or the ring is closed.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	for !r.TryPush(item) {
		if r.isClosed() {
			signal(r.notFull) // Wakes the next waiting producer.
			return false
		}
		select {
		case <-r.notFull:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (r *Ring[T]) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// Pop removes the oldest item, waiting until there is one. It returns false
// when ctx ends, or when the ring is closed and empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	for {
		item, ok, closed := r.tryPop()
		if ok || closed {
			return item, ok
		}
		select {
		case <-r.notEmpty:
		case <-ctx.Done():
			return item, false
		}
	}
}

func (r *Ring[T]) tryPop() (item T, ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		if r.closed {
			signal(r.notEmpty) // Wakes the next waiting consumer.
		}
		return item, false, r.closed
	}
	var zero T
	item = r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	signal(r.notFull)
	if r.count > 0 {
		signal(r.notEmpty)
	}
	return item, true, false
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close refuses further items. Pop returns what is queued, then false.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	signal(r.notEmpty)
	signal(r.notFull)
}
