package dispatch

import "time"

// remoteChoice is another region with its expected wait, which includes
// TransportShare of the transport.
type remoteChoice struct {
	region string
	wait   time.Duration
	queue  time.Duration // Part of wait that is spent in the queue there.
}

// shorterThan reports whether the wait is clearly shorter than the one here.
func (c remoteChoice) shorterThan(here time.Duration) bool {
	return here > c.wait+time.Duration(float64(c.queue)*ForwardMargin)
}

// bestRemote returns the region with the shortest expected wait, and false
// when no other region has a fresh report and a live instance.
func (s *Scheduler) bestRemote(now time.Time, v *service) (remoteChoice, bool) {
	var best remoteChoice
	for _, region := range s.remoteRegions {
		r, fresh := s.fresh(now, v, region)
		if !fresh || r.Slots == 0 {
			continue
		}
		transport := s.view.Transport[region]
		backlog := r.Queued + r.Busy + v.unseen(region, r.taken.Add(-transport))*s.regionSize
		queued := wait(backlog, r.Slots, r.Hold)
		expected := queued + time.Duration(TransportShare*float64(2*transport))
		if best.region == "" || expected < best.wait {
			best = remoteChoice{region: region, wait: expected, queue: queued}
		}
	}
	return best, best.region != ""
}

// fresh returns the last report of a region unless it is too old.
func (s *Scheduler) fresh(now time.Time, v *service, region string) (report, bool) {
	r, ok := v.regions[region]
	return r, ok && now.Sub(r.taken) < s.config.LoadLife
}

// unknownRemote returns a live region that sends no reports, in turn, when the
// transport leaves time within the limit.
func (s *Scheduler) unknownRemote(now time.Time, v *service, limit time.Duration) (remoteChoice, bool) {
	for i := range s.remoteRegions {
		region := s.remoteRegions[(s.turn+1+i)%len(s.remoteRegions)]
		transport := 2 * s.view.Transport[region]
		if _, fresh := s.fresh(now, v, region); !fresh && transport < limit {
			return remoteChoice{region: region, wait: transport}, true
		}
	}
	return remoteChoice{}, false
}

// unseen returns the number of requests forwarded to a region since a time.
func (v *service) unseen(region string, since time.Time) int {
	sent := v.sent[region]
	first := 0
	for first < len(sent) && sent[first].Before(since) {
		first++
	}
	v.sent[region] = sent[first:]
	return len(sent) - first
}

// forward removes the request from the scheduler and relays it.
func (s *Scheduler) forward(now time.Time, v *service, r *Request, choice remoteChoice, in Inputs) {
	v.sent[choice.region] = append(v.sent[choice.region], now)
	candidates := s.remoteMembers[choice.region]
	s.turn++
	r.Hops++
	s.emit(Forward{Request: *r, Region: choice.region, Instance: candidates[s.turn%len(candidates)], Inputs: in})
}

// rebalance forwards the newest request of the queue when another region would
// start it earlier. At most one request moves on each tick, so that the next
// report can show the effect before more follow.
func (s *Scheduler) rebalance(now time.Time, v *service) {
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
	choice, ok := s.bestRemote(now, v)
	if !ok {
		return
	}
	load := s.regionLoad(now, v)
	here := wait(load.Queued+load.Busy-1, load.Slots, load.Hold)
	if !choice.shorterThan(here) {
		return
	}
	r := v.queue.remove(index)
	s.forward(now, v, r, choice, Inputs{Age: now.Sub(r.Entered), Queued: v.queue.len(), ExpectedWait: here, RemoteWait: choice.wait})
}
