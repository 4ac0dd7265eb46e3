package policybench

import (
	"math/rand/v2"
	"time"
)

// queueModel is a set of slots with one queue; free holds when each becomes free.
type queueModel struct {
	freeAt      []time.Duration
	slotDomains []failureDomain
}

func newQueueModel(includes func(target int) bool) *queueModel {
	queue := &queueModel{}
	for target := range targetCount {
		for range slotsPerTarget {
			if includes(target) {
				queue.freeAt = append(queue.freeAt, 0)
				queue.slotDomains = append(queue.slotDomains, targetDomain(target))
			}
		}
	}
	return queue
}

// nearestFreeSlot returns the nearest slot that is free at a time, else the one that
// becomes free first.
func (queue *queueModel) nearestFreeSlot(at time.Duration, from failureDomain, network Network) int {
	best, bestDelay := -1, time.Duration(0)
	firstFree := 0
	for i, freeAt := range queue.freeAt {
		if freeAt < queue.freeAt[firstFree] {
			firstFree = i
		}
		delay := network.delay(from, queue.slotDomains[i])
		if freeAt <= at && (best < 0 || delay < bestDelay) {
			best, bestDelay = i, delay
		}
	}
	if best < 0 {
		return firstFree
	}
	return best
}

// execute serves a request and returns its response time at the caller.
func (queue *queueModel) execute(a arrival, from failureDomain, network Network) time.Duration {
	return queue.executeAt(queue.nearestFreeSlot(a.at, from, network), a, from, network)
}

func (queue *queueModel) executeAt(slot int, a arrival, from failureDomain, network Network) time.Duration {
	start := max(a.at, queue.freeAt[slot])
	queue.freeAt[slot] = start + a.serviceTime
	return start - a.at + a.serviceTime + 2*network.delay(from, queue.slotDomains[slot]) + 2*network.ToCallers
}

// idealQueue is one shared queue with perfect knowledge.
func (c Case) idealQueue() []time.Duration {
	queue := newQueueModel(func(int) bool { return true })
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration { return queue.execute(a, from, c.Network) })
}

// earliestFinish returns the slot where a request ends first, transport included.
func (queue *queueModel) earliestFinish(at time.Duration, from failureDomain, network Network) int {
	best, bestEnd := 0, time.Duration(0)
	for i, freeAt := range queue.freeAt {
		end := max(at, freeAt) + 2*network.delay(from, queue.slotDomains[i])
		if i == 0 || end < bestEnd {
			best, bestEnd = i, end
		}
	}
	return best
}

// earliestFinish sends each request to the slot where it ends first, with perfect
// knowledge of all service times.
func (c Case) earliestFinish() []time.Duration {
	queue := newQueueModel(func(int) bool { return true })
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration {
		return queue.executeAt(queue.earliestFinish(a.at, from, c.Network), a, from, c.Network)
	})
}

// referenceP99 is the lower p99 of ideal and foresight. The ideal queue alone is
// beaten when regions are far apart, since it never waits for a near slot.
func (c Case) referenceP99() time.Duration {
	return min(percentile(c.idealQueue(), 0.99), percentile(c.earliestFinish(), 0.99))
}

// queuePerRegion is one shared queue in each region.
func (c Case) queuePerRegion() []time.Duration {
	var queues [regionCount]*queueModel
	for region := range queues {
		queues[region] = newQueueModel(func(target int) bool { return targetDomain(target).region() == region })
	}
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration {
		return queues[from.region()].execute(a, from, c.Network)
	})
}

func queuePerTarget() []*queueModel {
	queues := make([]*queueModel, targetCount)
	for target := range queues {
		queues[target] = newQueueModel(func(other int) bool { return other == target })
	}
	return queues
}

// randomTarget sends each request to a random target.
func (c Case) randomTarget() []time.Duration {
	queues, random := queuePerTarget(), rand.New(rand.NewPCG(c.Seed, 2))
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration {
		return queues[random.IntN(targetCount)].execute(a, from, c.Network)
	})
}

// staleInterval is the age at which the baseline's load figures are replaced.
const staleInterval = 200 * time.Millisecond

// leastLoadedStale sends each request to the target with the fewest requests
// by figures that are replaced every staleAge.
func (c Case) leastLoadedStale() []time.Duration {
	queues, random := queuePerTarget(), rand.New(rand.NewPCG(c.Seed, 3))
	ends := make([][]time.Duration, targetCount)
	counts, nextUpdate := make([]int, targetCount), time.Duration(0)
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration {
		for ; nextUpdate <= a.at; nextUpdate += staleInterval {
			for target := range ends {
				ends[target] = endingAfter(ends[target], nextUpdate)
				counts[target] = len(ends[target])
			}
		}
		target := indexOfLeast(counts, random)
		responseTime := queues[target].execute(a, from, c.Network)
		end := a.at + responseTime - 2*c.Network.delay(from, targetDomain(target)) - 2*c.Network.ToCallers
		ends[target] = append(ends[target], end)
		return responseTime
	})
}

func endingAfter(ends []time.Duration, at time.Duration) []time.Duration {
	remaining := ends[:0]
	for _, end := range ends {
		if end > at {
			remaining = append(remaining, end)
		}
	}
	return remaining
}

// indexOfLeast returns the index of the smallest count, a random one among equals.
func indexOfLeast(counts []int, random *rand.Rand) int {
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

// warmUpFraction is the part of the requests that is not counted.
const warmUpFraction = 0.02

func (c Case) measureArrivals(execute func(arrival, failureDomain) time.Duration) []time.Duration {
	domains, arrivals := c.instanceDomains(), c.arrivals()
	responseTimes := make([]time.Duration, 0, len(arrivals))
	for i, a := range arrivals {
		responseTime := execute(a, domains[a.instance])
		if i >= int(warmUpFraction*float64(len(arrivals))) {
			responseTimes = append(responseTimes, responseTime)
		}
	}
	return responseTimes
}
