package lookup

import "sync"

// MaxParked is the largest number of look-ups that wait at one instance.
const MaxParked = 1024

// WaitReason is the cause of a WaitError.
type WaitReason string

// Reasons for not waiting.
const (
	WaitTooMany  WaitReason = "too-many-waits"
	WaitStopping WaitReason = "stopping"
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
	parked  int
	stopped bool
	changed chan struct{} // Closed at the next change.
	ended   chan struct{} // Closed when the instance stops.
}

// NewWaiters returns a set for at most limit waiting look-ups.
func NewWaiters(limit int) *Waiters {
	return &Waiters{limit: limit, changed: make(chan struct{}), ended: make(chan struct{})}
}

// Enter takes a place. Leave must be called after it. The error is a *WaitError.
func (w *Waiters) Enter() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		return &WaitError{Reason: WaitStopping}
	case w.parked >= w.limit:
		return &WaitError{Reason: WaitTooMany}
	}
	w.parked++
	return nil
}

// Leave gives a place back.
func (w *Waiters) Leave() {
	w.mu.Lock()
	w.parked--
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

// Ended returns a channel that is closed by Stop.
func (w *Waiters) Ended() <-chan struct{} { return w.ended }

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
		close(w.ended)
	}
}

// Parked returns the number of waiting look-ups.
func (w *Waiters) Parked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.parked
}
