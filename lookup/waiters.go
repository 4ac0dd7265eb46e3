package lookup

import "sync"

// MaxWaiting is the largest number of look-ups that wait at one instance.
const MaxWaiting = 1024

// WaitReason is the cause of a WaitError.
type WaitReason string

// Reasons for not waiting.
const (
	WaitLimitReached WaitReason = "too-many-waits"
	WaitStopping     WaitReason = "stopping"
)

// WaitError reports that a look-up may not wait.
type WaitError struct{ Reason WaitReason }

// Error names the reason.
func (e *WaitError) Error() string { return "lookup: may not wait: " + string(e.Reason) }

// Waiters counts the look-ups that wait for a change and wakes them. It is
// safe for concurrent use.
type Waiters struct {
	mu      sync.Mutex
	limit   int
	count   int
	stopped bool
	changed chan struct{} // Closed at the next change.
	done    chan struct{} // Closed when the instance stops.
}

// NewWaiters returns a set for at most limit waiting look-ups.
func NewWaiters(limit int) *Waiters {
	return &Waiters{limit: limit, changed: make(chan struct{}), done: make(chan struct{})}
}

// Acquire takes a place. Leave must be called after it. The error is a *WaitError.
func (w *Waiters) Acquire() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		return &WaitError{Reason: WaitStopping}
	case w.count >= w.limit:
		return &WaitError{Reason: WaitLimitReached}
	}
	w.count++
	return nil
}

// Release gives a place back.
func (w *Waiters) Release() {
	w.mu.Lock()
	w.count--
	w.mu.Unlock()
}

// Changed returns a channel that is closed at the next change. A look-up takes
// the channel first and then computes its answer, so that no change between
// the two is missed.
func (w *Waiters) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Done returns a channel that is closed by Stop.
func (w *Waiters) Done() <-chan struct{} { return w.done }

// Notify wakes all waiting look-ups.
func (w *Waiters) Notify() {
	w.mu.Lock()
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
}

// Stop ends all waits and refuses further ones. It may be called repeatedly.
func (w *Waiters) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		close(w.done)
	}
}

// Count returns the number of waiting look-ups.
func (w *Waiters) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}
