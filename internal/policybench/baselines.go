package policybench

import (
	"math/rand/v2"
	"time"
)

// queueModel is a set of slots with one shared queue in order of arrival.
type queueModel struct {
	freeAt      []time.Duration // When each slot becomes free.
	slotDomains []failureDomain // Failure domain of each slot.
}

// newQueueModel returns a queue for the slots of the included targets.
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

// nearestFreeSlot returns the nearest slot that is free at the given time or, if
// none is, the one that becomes free first.
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

// execute runs a request in the nearest free slot and returns its response time
// at the caller.
func (queue *queueModel) execute(a arrival, from failureDomain, network Network) time.Duration {
	return queue.executeAt(queue.nearestFreeSlot(a.at, from, network), a, from, network)
}

// executeAt runs a request in the given slot and returns its response time at the
// caller. Transport adds to the response time but does not occupy the slot.
func (queue *queueModel) executeAt(slot int, a arrival, from failureDomain, network Network) time.Duration {
	start := max(a.at, queue.freeAt[slot])
	queue.freeAt[slot] = start + a.serviceTime
	return start - a.at + a.serviceTime + 2*network.delay(from, queue.slotDomains[slot]) + 2*network.ToCallers
}

// idealQueue returns the response times with one queue for the slots of all regions.
func (c Case) idealQueue() []time.Duration {
	queue := newQueueModel(func(int) bool { return true })
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration { return queue.execute(a, from, c.Network) })
}

// earliestFinish returns the slot from which a response arrives first.
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

// earliestFinish returns the response times when each request goes to the slot
// from which its response arrives first. It needs the service times in advance.
func (c Case) earliestFinish() []time.Duration {
	queue := newQueueModel(func(int) bool { return true })
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration {
		return queue.executeAt(queue.earliestFinish(a.at, from, c.Network), a, from, c.Network)
	})
}

// referenceP99 returns the lower p99 of idealQueue and earliestFinish. The ideal
// queue is not optimal when regions are far apart, because it takes a free slot
// of a remote region rather than wait for a near one.
func (c Case) referenceP99() time.Duration {
	return min(percentile(c.idealQueue(), 0.99), percentile(c.earliestFinish(), 0.99))
}

// queuePerRegion returns the response times with one shared queue in each region.
func (c Case) queuePerRegion() []time.Duration {
	var queues [regionCount]*queueModel
	for region := range queues {
		queues[region] = newQueueModel(func(target int) bool { return targetDomain(target).region() == region })
	}
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration {
		return queues[from.region()].execute(a, from, c.Network)
	})
}

// queuePerTarget returns a separate queue for each target.
func queuePerTarget() []*queueModel {
	queues := make([]*queueModel, targetCount)
	for target := range queues {
		queues[target] = newQueueModel(func(other int) bool { return other == target })
	}
	return queues
}

// randomTarget returns the response times when each request goes to a random target.
func (c Case) randomTarget() []time.Duration {
	queues, random := queuePerTarget(), rand.New(rand.NewPCG(c.Seed, 2))
	return c.measureArrivals(func(a arrival, from failureDomain) time.Duration {
		return queues[random.IntN(targetCount)].execute(a, from, c.Network)
	})
}

// staleInterval is how often leastLoadedStale updates its load figures.
const staleInterval = 200 * time.Millisecond

// leastLoadedStale returns the response times when each request goes to the
// target with the fewest requests as of the last update of the load figures.
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

// endingAfter returns the times later than at. It reuses the slice.
func endingAfter(ends []time.Duration, at time.Duration) []time.Duration {
	remaining := ends[:0]
	for _, end := range ends {
		if end > at {
			remaining = append(remaining, end)
		}
	}
	return remaining
}

// indexOfLeast returns the index of the smallest count and breaks ties at random.
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

// warmUpFraction is the fraction of the requests, from the first, that the results
// leave out.
const warmUpFraction = 0.02

// measureArrivals passes each arrival to execute in order and returns the
// response times after the warm-up.
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
