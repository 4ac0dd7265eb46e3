package balance

import (
	"math"
	"time"
)

// rateTimeConstant is the time over which arrivals are averaged. It is short enough
// to follow a wave of half a minute and long enough to smooth single arrivals.
const rateTimeConstant = 3 * time.Second

// eventRate is an exponentially weighted rate of events.
type eventRate struct {
	perSecond float64
	first     time.Time // Of the first event.
	last      time.Time
}

func (r *eventRate) add(now time.Time) {
	if r.first.IsZero() {
		r.first = now
	}
	r.decay(now)
	r.perSecond += 1 / rateTimeConstant.Seconds()
}

// at returns the rate. It is corrected for the time before the first event,
// which would count as a time without events.
func (r *eventRate) at(now time.Time) float64 {
	if r.first.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(now.Sub(r.first), minRateAge)
	return r.perSecond / (1 - math.Exp(-age.Seconds()/rateTimeConstant.Seconds()))
}

// minRateAge bounds the correction, which would make much of few events.
const minRateAge = 500 * time.Millisecond

func (r *eventRate) decay(now time.Time) {
	if gap := now.Sub(r.last); gap > 0 && !r.last.IsZero() {
		r.perSecond *= math.Exp(-gap.Seconds() / rateTimeConstant.Seconds())
	}
	r.last = now
}
