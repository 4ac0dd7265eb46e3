package balance

import (
	"math"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// RateLimit is the rate of requests that a target takes from all instances
// together. The zero value means no limit.
type RateLimit struct {
	Active    bool
	PerSecond float64 // Valid while Active.
}

// limitStatement is the latest known statement of a target about its limit.
type limitStatement struct {
	RateLimit
	at time.Time // When the response that carried it arrived.
}

// ObserveRateLimit records the limit that a target's response states; +Inf means
// none. sent is a time at which the request had not yet been sent. It returns the
// limit and whether it has changed.
//
// Responses may overtake each other, so a response ends a limit only if its
// request was sent after the limit was last stated.
func (balancer *Balancer) ObserveRateLimit(now time.Time, record *steering.Target, sent time.Time, perSecond float64) (RateLimit, bool) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	t := balancer.targets[record.ID]
	if t == nil || !t.record.SameIncarnation(record) {
		return RateLimit{}, false
	}
	before := t.limit.RateLimit
	switch {
	case !math.IsInf(perSecond, 1):
		t.limit = limitStatement{RateLimit{Active: true, PerSecond: perSecond}, now}
	case t.limit.Active && sent.After(t.limit.at):
		t.limit = limitStatement{at: now}
	}
	return t.limit.RateLimit, t.limit.RateLimit != before
}

// LimitedTargets returns the number of targets with a limit.
func (balancer *Balancer) LimitedTargets() int {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	limited := 0
	for _, t := range balancer.targets {
		if t.limit.Active {
			limited++
		}
	}
	return limited
}
