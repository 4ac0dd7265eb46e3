package entry

import (
	"maps"
	"sync"
	"time"
)

const (
	// defaultDelay is assumed for a region until a heartbeat was answered.
	defaultDelay = 50 * time.Millisecond
	// delayWeight is the weight of one measurement in the mean.
	delayWeight = 0.2
)

// transport measures the one-way delay to other regions as half of the round
// trips of heartbeats.
type transport struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

func (t *transport) observe(region string, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delay := roundTrip / 2
	if old, ok := t.mean[region]; ok {
		delay = old + time.Duration(float64(delay-old)*delayWeight)
	}
	t.mean[region] = delay
}

// delays returns the delays measured so far.
func (t *transport) delays() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.mean)
}

// know adds a region with the default delay.
func (t *transport) know(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.mean[region]; !ok {
		t.mean[region] = defaultDelay
	}
}
