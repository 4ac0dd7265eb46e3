package wiretarget

import (
	"slices"
	"strconv"
	"time"
)

// StatedArrival is a request that arrived while the target stated that it is leaving
// or rejected requests in a pause.
type StatedArrival struct {
	ID          string
	At          time.Time
	PausedUntil time.Time // Zero unless the request was rejected in a pause.
	Misdirected bool      // The request was sent to another target, which had the address before.
}

// SetRateLimit makes the target state that it takes a number of requests per
// second from all instances together. It does not enforce the limit.
func (target *Target) SetRateLimit(perSecond float64) {
	target.setRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
}

// ClearRateLimit makes the target state no limit.
func (target *Target) ClearRateLimit() { target.setRateLimit("") }

func (target *Target) setRateLimit(stated string) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.rateLimit = stated
}

// SetLeaving makes the target state in all responses that it is leaving.
func (target *Target) SetLeaving(leaving bool) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.leaving = leaving
}

// Pause makes the target reject all requests for some time and ask the senders to
// send nothing until its end.
func (target *Target) Pause(duration time.Duration) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.pausedUntil = time.Now().Add(duration)
}

// pauseLeft returns the rest of the pause.
func (target *Target) pauseLeft() time.Duration {
	target.mu.Lock()
	defer target.mu.Unlock()
	return time.Until(target.pausedUntil)
}

// StatedArrivals returns the requests that arrived while the target was leaving or
// paused, in the order of their arrival.
func (target *Target) StatedArrivals() []StatedArrival {
	target.mu.Lock()
	defer target.mu.Unlock()
	return slices.Clone(target.statedArrivals)
}
