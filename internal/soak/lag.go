package soak

import (
	"context"
	"sync"
	"time"
)

const (
	lagInterval = 5 * time.Millisecond
	minLag      = 20 * time.Millisecond // Shorter delays are not recorded.
)

// lagMeter records when this process did not run in time, for lack of processor
// time: what callers observe is late by as much.
type lagMeter struct {
	mu     sync.Mutex
	delays []delay
}

type delay struct {
	start, end time.Time
}

// run measures until ctx ends.
func (meter *lagMeter) run(ctx context.Context) {
	for due := time.Now().Add(lagInterval); ctx.Err() == nil; due = time.Now().Add(lagInterval) {
		time.Sleep(lagInterval)
		meter.observe(due, time.Now())
	}
}

// observe records that a timer that was due fired at a time.
func (meter *lagMeter) observe(due, fired time.Time) {
	if fired.Sub(due) < minLag {
		return
	}
	meter.mu.Lock()
	defer meter.mu.Unlock()
	meter.delays = append(meter.delays, delay{due, fired})
}

// total returns the sum of the delays that overlap a time span.
func (meter *lagMeter) total(start, end time.Time) time.Duration {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	var sum time.Duration
	for _, delay := range meter.delays {
		if delay.start.Before(end) && delay.end.After(start) {
			sum += delay.end.Sub(delay.start)
		}
	}
	return sum
}
