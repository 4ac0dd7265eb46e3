package lookup

import "sync"

// MaxWaiting is the maximum number of look-ups that wait at one entry instance.
const MaxWaiting = 1024

// WaitReason states why a look-up may not wait.
type WaitReason string

// Values of WaitReason.
const (
	WaitLimitReached WaitReason = "too-many-waits"
	WaitStopping     WaitReason = "stopping"
)

// WaitError reports that a look-up may not wait.
type WaitError struct{ Reason WaitReason }

// Error implements error.
func (e *WaitError) Error() string { return "lookup: may not wait: " + string(e.Reason) }

// Waiters limits the number of look-ups that wait for a change of their decision
// and wakes them when a change occurs. It is safe for concurrent use.
type Waiters struct {
	mu      sync.Mutex
	limit   int
	count   int
	stopped bool
	changed chan struct{} // Closed and replaced at each change.
	done    chan struct{} // Closed by Stop.
}

// NewWaiters returns a Waiters for at most limit waiting look-ups.
func NewWaiters(limit int) *Waiters {
	return &Waiters{limit: limit, changed: make(chan struct{}), done: make(chan struct{})}
}

// Acquire reserves a place for a waiting look-up. The caller must call Release
// after a successful Acquire. The returned error is a *WaitError.
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

// Release frees a place that was reserved by Acquire.
func (w *Waiters) Release() {
	w.mu.Lock()
	w.count--
	w.mu.Unlock()
}

// Changed returns a channel that is closed at the next change. A look-up must
// get the channel before it computes its decision; otherwise it could miss a
// change in between.
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

// Stop ends all waits and makes Acquire fail. It may be called more than once.
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
