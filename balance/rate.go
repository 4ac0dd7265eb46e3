package balance

import (
	"math"
	"time"
)

// rateMemory is the time over which arrivals are averaged. It is short enough
// to follow a wave of half a minute and long enough to smooth single arrivals.
const rateMemory = 3 * time.Second

// rate is an exponentially weighted rate of events.
type rate struct {
	perSecond float64
	last      time.Time
}

func (r *rate) add(now time.Time) {
	r.decay(now)
	r.perSecond += 1 / rateMemory.Seconds()
}

func (r *rate) at(now time.Time) float64 {
	r.decay(now)
	return r.perSecond
}

func (r *rate) decay(now time.Time) {
	if gap := now.Sub(r.last); gap > 0 && !r.last.IsZero() {
		r.perSecond *= math.Exp(-gap.Seconds() / rateMemory.Seconds())
	}
	r.last = now
}
