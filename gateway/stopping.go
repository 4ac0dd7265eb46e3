package gateway

import (
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
)

// stopTimeFactor is the multiple of the expected time of a request that must be left
// before the end of a planned stop for it to be sent.
const stopTimeFactor = 1.5

// plannedStop is the time of a planned stop.
type plannedStop struct {
	lateFrom time.Time // From then on, callers should not use this instance any more.
	end      time.Time // All connections are closed.
}

// stopTimes is the planned stop that has begun, if any.
type stopTimes struct{ atomic.Pointer[plannedStop] }

// BeginStop announces that all connections will be closed at end. Requests that may
// not be complete by then are not sent to targets any more: later than lateFrom those
// whose deadline is after end, and before that those that are expected to take too
// long. Their callers can turn to another instance.
func (g *Gateway) BeginStop(lateFrom, end time.Time) {
	g.stop.Store(&plannedStop{lateFrom: lateFrom, end: end})
}

// outlastsStop reports whether a request that arrived at a time, and that is expected
// to take some time from now, may not be complete before the end of a planned stop.
func (times *stopTimes) outlastsStop(now, arrived, deadline time.Time, expected time.Duration) bool {
	stop := times.Load()
	if stop == nil || !deadline.After(stop.end) {
		return false
	}
	return arrived.After(stop.lateFrom) || now.Add(time.Duration(stopTimeFactor*float64(expected))).After(stop.end)
}

// refuseForStop ends the grant of a request that would outlast a planned stop and
// returns the response to the request.
func (g *Gateway) refuseForStop(request *routedRequest, grant balance.Grant) *response {
	g.Balancer.Done(time.Now(), grant, balance.Observation{Result: balance.Abandoned})
	return request.unsentResponse("stopping", "stopping", notExecutedRetryAfter)
}
