package quota

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the measured rates. It delays the
// reaction to a surge, of which a 5 s window tolerates little more than a second.
const rateTimeConstant = 400 * time.Millisecond

// meanRate is an exponentially weighted moving average of a rate. Its integral
// equals the number of events.
type meanRate struct {
	perSecond float64
	updated   time.Time
}

// add counts events; a negative number takes earlier events back.
func (r *meanRate) add(now time.Time, events float64) {
	r.perSecond = r.at(now) + events/rateTimeConstant.Seconds()
	r.updated = now
}

func (r *meanRate) at(now time.Time) float64 {
	elapsed := now.Sub(r.updated)
	if r.updated.IsZero() || elapsed <= 0 {
		return r.perSecond
	}
	return r.perSecond * math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
}
