package entry

import (
	"maps"
	"sync"
	"time"
)

const (
	// defaultRegionDelay is assumed for a region until a heartbeat was answered.
	defaultRegionDelay = 50 * time.Millisecond
	// delaySmoothing is the weight of one measurement in the mean.
	delaySmoothing = 0.2
)

// regionDelays measures the one-way delay to other regions as half of the round
// trips of heartbeats.
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

// snapshot returns the delays measured so far.
func (t *regionDelays) snapshot() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.delays)
}

// addRegion adds a region with the default delay.
func (t *regionDelays) addRegion(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.delays[region]; !ok {
		t.delays[region] = defaultRegionDelay
	}
}
