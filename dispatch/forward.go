package dispatch

import "time"

// regionEstimate is another region with the expected wait of a request there,
// which includes TransportFraction of the transport delay.
type regionEstimate struct {
	region       string
	expectedWait time.Duration
	queueWait    time.Duration // Part of expectedWait that is spent in the queue there.
}

// clearlyShorterThan reports whether the expected wait there is shorter than
// the wait here by more than ForwardMargin of the queue wait there.
func (estimate regionEstimate) clearlyShorterThan(here time.Duration) bool {
	return here > estimate.expectedWait+time.Duration(float64(estimate.queueWait)*ForwardMargin)
}

// bestRemoteRegion returns the other region with the shortest expected wait.
// It returns false if no other region has a recent report and a live instance.
func (s *Scheduler) bestRemoteRegion(now time.Time, svc *serviceState) (regionEstimate, bool) {
	var best regionEstimate
	for _, region := range s.remoteRegions {
		report, fresh := s.freshReport(now, svc, region)
		if !fresh || report.Slots == 0 {
			continue
		}
		transport := s.view.TransportDelay[region]
		backlog := report.Queued + report.Busy + svc.forwardsSince(region, report.measuredAt.Add(-transport))*s.regionSize
		queueWait := expectedWait(backlog, report.Slots, report.MeanHoldTime)
		total := queueWait + time.Duration(TransportFraction*float64(2*transport))
		if best.region == "" || total < best.expectedWait {
			best = regionEstimate{region: region, expectedWait: total, queueWait: queueWait}
		}
	}
	return best, best.region != ""
}

// freshReport returns the last load report of a region, and false if there is
// none or it is older than LoadMaxAge.
func (s *Scheduler) freshReport(now time.Time, svc *serviceState, region string) (receivedLoad, bool) {
	report, ok := svc.regionLoads[region]
	return report, ok && now.Sub(report.measuredAt) < s.config.LoadMaxAge
}

// remoteRegionWithoutReport returns a live region without a recent load report
// whose round-trip transport delay is below the limit. The expected wait there
// is taken as the whole round trip. Such regions are chosen in turn.
func (s *Scheduler) remoteRegionWithoutReport(now time.Time, svc *serviceState, limit time.Duration) (regionEstimate, bool) {
	for i := range s.remoteRegions {
		region := s.remoteRegions[(s.roundRobin+1+i)%len(s.remoteRegions)]
		transport := 2 * s.view.TransportDelay[region]
		if _, fresh := s.freshReport(now, svc, region); !fresh && transport < limit {
			return regionEstimate{region: region, expectedWait: transport}, true
		}
	}
	return regionEstimate{}, false
}

// forwardsSince returns the number of requests forwarded to a region since the
// given time, and forgets the earlier ones.
func (svc *serviceState) forwardsSince(region string, since time.Time) int {
	sent := svc.recentForwards[region]
	first := 0
	for first < len(sent) && sent[first].Before(since) {
		first++
	}
	svc.recentForwards[region] = sent[first:]
	return len(sent) - first
}

// forward relays a request to an instance of another region; the request
// leaves this scheduler.
func (s *Scheduler) forward(now time.Time, svc *serviceState, request *Request, choice regionEstimate, inputs Inputs) {
	svc.recentForwards[choice.region] = append(svc.recentForwards[choice.region], now)
	candidates := s.remoteMembers[choice.region]
	s.roundRobin++
	request.Hops++
	s.emit(Forward{Request: *request, Region: choice.region, Instance: candidates[s.roundRobin%len(candidates)], Inputs: inputs})
}

// rebalance forwards the newest queued request that has not been forwarded yet
// if another region would start it clearly earlier. It moves at most one
// request per tick, so that the next load report can show the effect before
// more follow.
func (s *Scheduler) rebalance(now time.Time, svc *serviceState) {
	index := -1
	for i := svc.queue.len() - 1; i >= 0; i-- {
		if svc.queue.items[i].Hops == 0 {
			index = i
			break
		}
	}
	if index < 0 {
		return
	}
	choice, ok := s.bestRemoteRegion(now, svc)
	if !ok {
		return
	}
	load := s.regionLoad(now, svc)
	here := expectedWait(load.Queued+load.Busy-1, load.Slots, load.MeanHoldTime)
	if !choice.clearlyShorterThan(here) {
		return
	}
	request := svc.queue.remove(index)
	s.forward(now, svc, request, choice, Inputs{Age: now.Sub(request.EnteredAt), Queued: svc.queue.len(), ExpectedWait: here, RemoteWait: choice.expectedWait})
}
