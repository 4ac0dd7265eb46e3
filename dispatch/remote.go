package dispatch

import "time"

// regionEstimate is another region with its expected wait, which includes
// TransportShare of the transport.
type regionEstimate struct {
	region       string
	expectedWait time.Duration
	queueWait    time.Duration // Part of wait that is spent in the queue there.
}

// clearlyShorterThan reports whether the wait is clearly shorter than the one here.
func (c regionEstimate) clearlyShorterThan(here time.Duration) bool {
	return here > c.expectedWait+time.Duration(float64(c.queueWait)*ForwardMargin)
}

// bestRemoteRegion returns the region with the shortest expected wait, and false
// when no other region has a fresh report and a live instance.
func (s *Scheduler) bestRemoteRegion(now time.Time, v *serviceState) (regionEstimate, bool) {
	var best regionEstimate
	for _, region := range s.remoteRegions {
		r, fresh := s.freshReport(now, v, region)
		if !fresh || r.Slots == 0 {
			continue
		}
		transport := s.view.TransportDelay[region]
		backlog := r.Queued + r.Busy + v.forwardsSince(region, r.measuredAt.Add(-transport))*s.regionSize
		queued := expectedWait(backlog, r.Slots, r.MeanHoldTime)
		expected := queued + time.Duration(TransportFraction*float64(2*transport))
		if best.region == "" || expected < best.expectedWait {
			best = regionEstimate{region: region, expectedWait: expected, queueWait: queued}
		}
	}
	return best, best.region != ""
}

// freshReport returns the last report of a region unless it is too old.
func (s *Scheduler) freshReport(now time.Time, v *serviceState, region string) (receivedLoad, bool) {
	r, ok := v.regionLoads[region]
	return r, ok && now.Sub(r.measuredAt) < s.config.LoadMaxAge
}

// remoteRegionWithoutReport returns a live region that sends no reports, in turn, when the
// transport leaves time within the limit.
func (s *Scheduler) remoteRegionWithoutReport(now time.Time, v *serviceState, limit time.Duration) (regionEstimate, bool) {
	for i := range s.remoteRegions {
		region := s.remoteRegions[(s.roundRobin+1+i)%len(s.remoteRegions)]
		transport := 2 * s.view.TransportDelay[region]
		if _, fresh := s.freshReport(now, v, region); !fresh && transport < limit {
			return regionEstimate{region: region, expectedWait: transport}, true
		}
	}
	return regionEstimate{}, false
}

// forwardsSince returns the number of requests forwarded to a region since a time.
func (v *serviceState) forwardsSince(region string, since time.Time) int {
	sent := v.recentForwards[region]
	first := 0
	for first < len(sent) && sent[first].Before(since) {
		first++
	}
	v.recentForwards[region] = sent[first:]
	return len(sent) - first
}

// forward removes the request from the scheduler and relays it.
func (s *Scheduler) forward(now time.Time, v *serviceState, r *Request, choice regionEstimate, in Inputs) {
	v.recentForwards[choice.region] = append(v.recentForwards[choice.region], now)
	candidates := s.remoteMembers[choice.region]
	s.roundRobin++
	r.Hops++
	s.emit(Forward{Request: *r, Region: choice.region, Instance: candidates[s.roundRobin%len(candidates)], Inputs: in})
}

// rebalance forwards the newest request of the queue when another region would
// start it earlier. At most one request moves on each tick, so that the next
// report can show the effect before more follow.
func (s *Scheduler) rebalance(now time.Time, v *serviceState) {
	index := -1
	for i := v.queue.len() - 1; i >= 0; i-- {
		if v.queue.items[i].Hops == 0 {
			index = i
			break
		}
	}
	if index < 0 {
		return
	}
	choice, ok := s.bestRemoteRegion(now, v)
	if !ok {
		return
	}
	load := s.regionLoad(now, v)
	here := expectedWait(load.Queued+load.Busy-1, load.Slots, load.MeanHoldTime)
	if !choice.clearlyShorterThan(here) {
		return
	}
	r := v.queue.remove(index)
	s.forward(now, v, r, choice, Inputs{Age: now.Sub(r.EnteredAt), Queued: v.queue.len(), ExpectedWait: here, RemoteWait: choice.expectedWait})
}
