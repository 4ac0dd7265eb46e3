package dispatch

import (
	"sort"
	"time"
)

// receivedLoad is a received load and when its figures were taken.
type receivedLoad struct {
	ServiceLoad
	measuredAt time.Time
}

// expectedWait returns the expected wait of a request with backlog requests queued or
// executing ahead of it.
func expectedWait(backlog, slots int, hold time.Duration) time.Duration {
	excess := backlog + 1 - slots
	if excess <= 0 || slots <= 0 {
		return 0
	}
	return time.Duration(float64(hold) * float64(excess) / float64(slots))
}

// localLoad is the load of this instance: its queue and its home slots.
func (s *Scheduler) localLoad(v *serviceState) ServiceLoad {
	busy, inService := s.ledger.ServiceLoad(v.Name)
	return ServiceLoad{Service: v.Name, Queued: v.queue.len(), Busy: busy, Slots: inService, MeanHoldTime: v.meanHoldTime}
}

// regionLoad is the load of the own region. Peers without a fresh report count
// as busy with the slots that the view gives them, and with the mean queue of
// the known instances. When the region has more peers than exchange loads, the
// figures are scaled up.
func (s *Scheduler) regionLoad(now time.Time, v *serviceState) ServiceLoad {
	total := s.localLoad(v)
	known := 1
	for _, peer := range s.regionPeers {
		if r, ok := v.peerLoads[peer]; ok && now.Sub(r.measuredAt) < s.config.LoadMaxAge {
			total.Queued += r.Queued
			total.Busy += r.Busy
			total.Slots += r.Slots
			known++
			continue
		}
		total.Busy += v.slotsByHome[peer]
		total.Slots += v.slotsByHome[peer]
	}
	total.Queued = total.Queued * s.regionSize / known
	if scale := float64(s.regionSize) / float64(1+len(s.regionPeers)); scale > 1 {
		total.Busy = int(float64(total.Busy) * scale)
		total.Slots = int(float64(total.Slots) * scale)
	}
	return total
}

// ReceiveLoad takes a load report. A report from the own region is about the
// instance that sent it, one from another region about that whole region.
func (s *Scheduler) ReceiveLoad(now time.Time, from Member, load ServiceLoad) []Action {
	s.beginEvent(now)
	v := s.services[load.Service]
	if v == nil {
		return s.takeActions()
	}
	r := receivedLoad{ServiceLoad: load, measuredAt: now.Add(-load.Age)}
	if from.Region == s.config.Self.Region {
		v.peerLoads[from.Name] = r
		return s.takeActions()
	}
	r.measuredAt = r.measuredAt.Add(-s.view.TransportDelay[from.Region])
	if last, ok := v.regionLoads[from.Region]; !ok || !r.measuredAt.Before(last.measuredAt) {
		v.regionLoads[from.Region] = r
	}
	return s.takeActions()
}

// sendLoads reports the own load to the peers of the region, and the region's
// load to one instance of each other region.
func (s *Scheduler) sendLoads(now time.Time) {
	if now.Sub(s.lastLoadsAt) < s.config.LoadInterval {
		return
	}
	s.lastLoadsAt = now
	for _, name := range s.serviceNames {
		v := s.services[name]
		own := s.localLoad(v)
		for _, peer := range s.regionPeers {
			s.emit(SendLoad{To: peer, Load: own})
		}
		region := s.regionLoad(now, v)
		for _, peer := range s.loadReceivers {
			s.emit(SendLoad{To: peer, Load: region})
		}
	}
}

// chooseLoadReceivers assigns each instance of another region to one instance of
// this region, so that each of them gets one report in each interval.
func chooseLoadReceivers(self Member, members []Member) []string {
	own, index := 0, 0
	counts := map[string]int{}
	var partners []string
	for _, m := range members {
		if m.Region != self.Region {
			continue
		}
		if m.Name == self.Name {
			index = own
		}
		own++
	}
	for _, m := range members {
		if m.Region == self.Region {
			continue
		}
		if counts[m.Region]%max(own, 1) == index {
			partners = append(partners, m.Name)
		}
		counts[m.Region]++
	}
	return partners
}

func sortedMembers(members []Member) []Member {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}
