package entry

import (
	"maps"
	"sync"
	"time"
)

const (
	// defaultRegionDelay is assumed for a region until the first heartbeat
	// response.
	defaultRegionDelay = 50 * time.Millisecond
	// delaySmoothing is the weight of a new measurement in the moving average.
	delaySmoothing = 0.2
)

// regionDelays estimates the one-way delay to each other region as half of the
// round-trip time of heartbeats.
type regionDelays struct {
	mu     sync.Mutex
	delays map[string]time.Duration
}

func (t *regionDelays) record(region string, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delay := roundTrip / 2
	if old, ok := t.delays[region]; ok {
		delay = old + time.Duration(float64(delay-old)*delaySmoothing)
	}
	t.delays[region] = delay
}

// snapshot returns a copy of the current estimates.
func (t *regionDelays) snapshot() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.delays)
}

// addRegion adds a region with the default delay unless it is known.
func (t *regionDelays) addRegion(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.delays[region]; !ok {
		t.delays[region] = defaultRegionDelay
	}
}
