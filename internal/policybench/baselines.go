package policybench

import (
	"math/rand/v2"
	"time"
)

// station is a set of slots with one queue; free holds when each becomes free.
type station struct {
	free   []time.Duration
	places []place
}

func newStation(eligible func(target int) bool) *station {
	s := &station{}
	for target := range targets {
		for range slotsPerTarget {
			if eligible(target) {
				s.free = append(s.free, 0)
				s.places = append(s.places, targetPlace(target))
			}
		}
	}
	return s
}

// choose returns the nearest slot that is free at a time, else the one that
// becomes free first.
func (s *station) choose(at time.Duration, from place, n Network) int {
	best, bestDelay := -1, time.Duration(0)
	first := 0
	for i, free := range s.free {
		if free < s.free[first] {
			first = i
		}
		delay := n.between(from, s.places[i])
		if free <= at && (best < 0 || delay < bestDelay) {
			best, bestDelay = i, delay
		}
	}
	if best < 0 {
		return first
	}
	return best
}

// run serves a request and returns its response time at the caller.
func (s *station) run(a arrival, from place, n Network) time.Duration {
	return s.runAt(s.choose(a.at, from, n), a, from, n)
}

func (s *station) runAt(i int, a arrival, from place, n Network) time.Duration {
	start := max(a.at, s.free[i])
	s.free[i] = start + a.service
	return start - a.at + a.service + 2*n.between(from, s.places[i]) + 2*n.Clients
}

// ideal is one shared queue with perfect knowledge.
func (c Case) ideal() []time.Duration {
	s := newStation(func(int) bool { return true })
	return c.each(func(a arrival, from place) time.Duration { return s.run(a, from, c.Network) })
}

// earliest returns the slot where a request ends first, transport included.
func (s *station) earliest(at time.Duration, from place, n Network) int {
	best, bestEnd := 0, time.Duration(0)
	for i, free := range s.free {
		end := max(at, free) + 2*n.between(from, s.places[i])
		if i == 0 || end < bestEnd {
			best, bestEnd = i, end
		}
	}
	return best
}

// foresight sends each request to the slot where it ends first, with perfect
// knowledge of all service times.
func (c Case) foresight() []time.Duration {
	s := newStation(func(int) bool { return true })
	return c.each(func(a arrival, from place) time.Duration {
		return s.runAt(s.earliest(a.at, from, c.Network), a, from, c.Network)
	})
}

// reference is the lower p99 of ideal and foresight. The ideal queue alone is
// beaten when regions are far apart, since it never waits for a near slot.
func (c Case) reference() time.Duration {
	return min(percentile(c.ideal(), 0.99), percentile(c.foresight(), 0.99))
}

// perRegion is one shared queue in each region.
func (c Case) perRegion() []time.Duration {
	var queues [regions]*station
	for region := range queues {
		queues[region] = newStation(func(target int) bool { return targetPlace(target).region() == region })
	}
	return c.each(func(a arrival, from place) time.Duration { return queues[from.region()].run(a, from, c.Network) })
}

func perTarget() []*station {
	queues := make([]*station, targets)
	for target := range queues {
		queues[target] = newStation(func(other int) bool { return other == target })
	}
	return queues
}

// randomTarget sends each request to a random target.
func (c Case) randomTarget() []time.Duration {
	queues, random := perTarget(), rand.New(rand.NewPCG(c.Seed, 2))
	return c.each(func(a arrival, from place) time.Duration {
		return queues[random.IntN(targets)].run(a, from, c.Network)
	})
}

// staleAge is the age at which the baseline's load figures are replaced.
const staleAge = 200 * time.Millisecond

// leastLoadedStale sends each request to the target with the fewest requests
// by figures that are replaced every staleAge.
func (c Case) leastLoadedStale() []time.Duration {
	queues, random := perTarget(), rand.New(rand.NewPCG(c.Seed, 3))
	ends := make([][]time.Duration, targets)
	counts, next := make([]int, targets), time.Duration(0)
	return c.each(func(a arrival, from place) time.Duration {
		for ; next <= a.at; next += staleAge {
			for target := range ends {
				ends[target] = after(ends[target], next)
				counts[target] = len(ends[target])
			}
		}
		target := least(counts, random)
		response := queues[target].run(a, from, c.Network)
		end := a.at + response - 2*c.Network.between(from, targetPlace(target)) - 2*c.Network.Clients
		ends[target] = append(ends[target], end)
		return response
	})
}

func after(ends []time.Duration, at time.Duration) []time.Duration {
	kept := ends[:0]
	for _, end := range ends {
		if end > at {
			kept = append(kept, end)
		}
	}
	return kept
}

// least returns the index of the smallest count, a random one among equals.
func least(counts []int, random *rand.Rand) int {
	best, ties := 0, 0
	for i, count := range counts {
		switch {
		case count < counts[best]:
			best, ties = i, 1
		case count == counts[best]:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// warmUp is the part of the requests that is not counted.
const warmUp = 0.02

func (c Case) each(serve func(arrival, place) time.Duration) []time.Duration {
	places, list := c.places(), c.arrivals()
	responses := make([]time.Duration, 0, len(list))
	for i, a := range list {
		response := serve(a, places[a.instance])
		if i >= int(warmUp*float64(len(list))) {
			responses = append(responses, response)
		}
	}
	return responses
}
