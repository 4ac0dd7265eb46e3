package dispatch

import (
	"sort"
	"time"
)

// report is a received load and when its figures were taken.
type report struct {
	Load
	taken time.Time
}

// wait returns the expected wait of a request with backlog requests queued or
// executing ahead of it.
func wait(backlog, slots int, hold time.Duration) time.Duration {
	excess := backlog + 1 - slots
	if excess <= 0 || slots <= 0 {
		return 0
	}
	return time.Duration(float64(hold) * float64(excess) / float64(slots))
}

// ownLoad is the load of this instance: its queue and its home slots.
func (s *Scheduler) ownLoad(v *service) Load {
	busy, inService := s.ledger.Load(v.Name)
	return Load{Service: v.Name, Queued: v.queue.len(), Busy: busy, Slots: inService, Hold: v.hold}
}

// regionLoad is the load of the own region. Peers without a fresh report count
// as busy with the slots that the view gives them, and with the mean queue of
// the known instances. When the region has more peers than exchange loads, the
// figures are scaled up.
func (s *Scheduler) regionLoad(now time.Time, v *service) Load {
	total := s.ownLoad(v)
	known := 1
	for _, peer := range s.peers {
		if r, ok := v.reports[peer]; ok && now.Sub(r.taken) < s.config.LoadLife {
			total.Queued += r.Queued
			total.Busy += r.Busy
			total.Slots += r.Slots
			known++
			continue
		}
		total.Busy += v.homeSlots[peer]
		total.Slots += v.homeSlots[peer]
	}
	total.Queued = total.Queued * s.regionSize / known
	if scale := float64(s.regionSize) / float64(1+len(s.peers)); scale > 1 {
		total.Busy = int(float64(total.Busy) * scale)
		total.Slots = int(float64(total.Slots) * scale)
	}
	return total
}

// LoadReported takes a load report. A report from the own region is about the
// instance that sent it, one from another region about that whole region.
func (s *Scheduler) LoadReported(now time.Time, from Member, load Load) []Action {
	s.begin(now)
	v := s.services[load.Service]
	if v == nil {
		return s.end()
	}
	r := report{Load: load, taken: now.Add(-load.Age)}
	if from.Region == s.config.Self.Region {
		v.reports[from.Name] = r
		return s.end()
	}
	r.taken = r.taken.Add(-s.view.Transport[from.Region])
	if last, ok := v.regions[from.Region]; !ok || !r.taken.Before(last.taken) {
		v.regions[from.Region] = r
	}
	return s.end()
}

// sendLoads reports the own load to the peers of the region, and the region's
// load to one instance of each other region.
func (s *Scheduler) sendLoads(now time.Time) {
	if now.Sub(s.lastLoads) < s.config.LoadInterval {
		return
	}
	s.lastLoads = now
	for _, name := range s.serviceNames {
		v := s.services[name]
		own := s.ownLoad(v)
		for _, peer := range s.peers {
			s.emit(SendLoad{To: peer, Load: own})
		}
		region := s.regionLoad(now, v)
		for _, peer := range s.partners {
			s.emit(SendLoad{To: peer, Load: region})
		}
	}
}

// choosePartners assigns each instance of another region to one instance of
// this region, so that each of them gets one report in each interval.
func choosePartners(self Member, members []Member) []string {
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
