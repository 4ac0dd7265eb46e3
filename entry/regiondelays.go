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

func (d *regionDelays) record(region string, roundTrip time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := roundTrip / 2
	if old, ok := d.delays[region]; ok {
		delay = old + time.Duration(float64(delay-old)*delaySmoothing)
	}
	d.delays[region] = delay
}

// snapshot returns a copy of the current estimates.
func (d *regionDelays) snapshot() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.delays)
}

// addRegion adds a region with the default delay unless it is known.
func (d *regionDelays) addRegion(region string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.delays[region]; !ok {
		d.delays[region] = defaultRegionDelay
	}
}
