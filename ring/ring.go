// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in, first-out queue that is safe for concurrent use.
type Ring[T any] struct {
	mu       sync.Mutex
	items    []T
	head     int
	count    int
	closed   bool
	notEmpty chan struct{} // Holds a token when items may be available.
	notFull  chan struct{} // Holds a token when there may be room.
}

// New returns an empty ring with room for capacity items. It panics if
// capacity is below 1.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity must be at least 1")
	}
	return &Ring[T]{items: make([]T, capacity), notEmpty: make(chan struct{}, 1), notFull: make(chan struct{}, 1)}
}

// TryPush appends an item without waiting. It returns false if the ring is
// full or closed.
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

// Push appends an item and waits for room if the ring is full. It returns
// false if ctx ends or the ring is closed.
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

// Pop removes the oldest item and waits for one if the ring is empty. It
// returns false if ctx ends, or if the ring is closed and empty.
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

// signal adds a token to c unless it already holds one.
func signal(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close makes the ring refuse further items. Pop still returns the queued
// items.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	signal(r.notEmpty)
	signal(r.notFull)
}
