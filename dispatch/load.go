package dispatch

import (
	"sort"
	"time"
)

// receivedLoad is a load report with the local time at which it was measured.
type receivedLoad struct {
	ServiceLoad
	measuredAt time.Time
}

// expectedWait returns the expected wait of a request that has backlog
// requests queued or executing ahead of it.
func expectedWait(backlog, slots int, hold time.Duration) time.Duration {
	excess := backlog + 1 - slots
	if excess <= 0 || slots <= 0 {
		return 0
	}
	return time.Duration(float64(hold) * float64(excess) / float64(slots))
}

// localLoad returns the load of a service at this instance: its queue and the
// slots that it grants as home.
func (s *Scheduler) localLoad(svc *serviceState) ServiceLoad {
	busy, inService := s.ledger.ServiceLoad(svc.Name)
	return ServiceLoad{Service: svc.Name, Queued: svc.queue.len(), Busy: busy, Slots: inService, MeanHoldTime: svc.meanHoldTime}
}

// regionLoad estimates the load of a service in this instance's region. A peer
// without a recent report counts with all the slots that the view assigns to
// it as busy, and with the mean queue length of the instances with known load.
// If the region has more peers than exchange load reports, the figures are
// scaled up.
func (s *Scheduler) regionLoad(now time.Time, svc *serviceState) ServiceLoad {
	total := s.localLoad(svc)
	known := 1
	for _, peer := range s.regionPeers {
		if report, ok := svc.peerLoads[peer]; ok && now.Sub(report.measuredAt) < s.config.LoadMaxAge {
			total.Queued += report.Queued
			total.Busy += report.Busy
			total.Slots += report.Slots
			known++
			continue
		}
		total.Busy += svc.slotsByHome[peer]
		total.Slots += svc.slotsByHome[peer]
	}
	total.Queued = total.Queued * s.regionSize / known
	if scale := float64(s.regionSize) / float64(1+len(s.regionPeers)); scale > 1 {
		total.Busy = int(float64(total.Busy) * scale)
		total.Slots = int(float64(total.Slots) * scale)
	}
	return total
}

// ReceiveLoad handles a load report. A report from the same region describes
// the sending instance; one from another region describes that whole region.
func (s *Scheduler) ReceiveLoad(now time.Time, from Member, load ServiceLoad) []Action {
	s.beginEvent(now)
	svc := s.services[load.Service]
	if svc == nil {
		return s.takeActions()
	}
	received := receivedLoad{ServiceLoad: load, measuredAt: now.Add(-load.Age)}
	if from.Region == s.config.Self.Region {
		svc.peerLoads[from.Name] = received
		return s.takeActions()
	}
	received.measuredAt = received.measuredAt.Add(-s.view.TransportDelay[from.Region])
	if last, ok := svc.regionLoads[from.Region]; !ok || !received.measuredAt.Before(last.measuredAt) {
		svc.regionLoads[from.Region] = received
	}
	return s.takeActions()
}

// sendLoads reports the load of this instance to the peers of the region, and
// the load of the region to one instance of each other region.
func (s *Scheduler) sendLoads(now time.Time) {
	if now.Sub(s.lastLoadsAt) < s.config.LoadInterval {
		return
	}
	s.lastLoadsAt = now
	for _, name := range s.serviceNames {
		svc := s.services[name]
		local := s.localLoad(svc)
		for _, peer := range s.regionPeers {
			s.emit(SendLoad{To: peer, Load: local})
		}
		regional := s.regionLoad(now, svc)
		for _, peer := range s.loadReceivers {
			s.emit(SendLoad{To: peer, Load: regional})
		}
	}
}

// chooseLoadReceivers distributes the instances of the other regions over the
// instances of this region and returns those that this instance reports to.
// Each of them thus receives one report of this region in each interval.
func chooseLoadReceivers(self Member, members []Member) []string {
	regionMembers, selfIndex := 0, 0
	seen := map[string]int{}
	var receivers []string
	for _, m := range members {
		if m.Region != self.Region {
			continue
		}
		if m.Name == self.Name {
			selfIndex = regionMembers
		}
		regionMembers++
	}
	for _, m := range members {
		if m.Region == self.Region {
			continue
		}
		if seen[m.Region]%max(regionMembers, 1) == selfIndex {
			receivers = append(receivers, m.Name)
		}
		seen[m.Region]++
	}
	return receivers
}

func sortedMembers(members []Member) []Member {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}
