package dispatch

import "time"

// maxPendingReleases bounds the releases that wait for the home of one target. A
// further one is dropped, and its slot returns when it expires.
const maxPendingReleases = 1024

// receivedHandOff is a received count.
type receivedHandOff struct {
	HandOff
	receivedAt time.Time
}

// releaseAtHome returns a slot to the home of its target, or keeps the release
// while the home moves.
func (s *Scheduler) releaseAtHome(now time.Time, r SendRelease) {
	switch home := s.homeOf[r.Target]; home {
	case "":
		if waiting := s.pendingReleases[r.Target]; len(waiting) < maxPendingReleases {
			s.pendingReleases[r.Target] = append(waiting, r)
		}
	case s.config.Self.Name:
		s.releaseHomeSlot(now, r.Target, r.GrantID, r.Cause)
	default:
		r.To = home
		s.emit(r)
	}
}

// sendPendingReleases sends the releases that waited for a home. Those of targets
// that were removed are dropped.
func (s *Scheduler) sendPendingReleases(now time.Time) {
	for _, target := range sortedKeys(s.pendingReleases) {
		home, exists := s.homeOf[target]
		if exists && home == "" {
			continue
		}
		waiting := s.pendingReleases[target]
		delete(s.pendingReleases, target)
		for _, r := range waiting {
			if exists {
				s.releaseAtHome(now, r)
			}
		}
	}
}

// stopBeingHome ends the role of home of a target and tells the next home how many
// slots are in use. Without a next home, or when this instance is the next home
// again, nobody is told: another instance may have granted slots in between.
func (s *Scheduler) stopBeingHome(name string, targets map[string]Target) {
	busy := s.ledger.BusySlots(name)
	s.ledger.RemoveTarget(name)
	if next := targets[name].NextHome; next != "" && next != s.config.Self.Name {
		s.emit(SendHandOff{To: next, Target: name, BusySlots: busy, TableVersion: s.view.TableVersion})
	}
}

// expireHandOffs drops the counts that came too long ago to matter.
func (s *Scheduler) expireHandOffs(now time.Time) {
	for name, h := range s.handOffs {
		if now.Sub(h.receivedAt) >= s.config.GrantTTL {
			delete(s.handOffs, name)
		}
	}
}

// HandOff is the count of slots in use that a previous home reports.
type HandOff struct {
	From         string // Identity of the sender in the member table.
	Target       string
	BusySlots    int
	TableVersion uint64 // Newest member table that the sender knew.
}

// ReceiveHandOff takes the count of a previous home.
func (s *Scheduler) ReceiveHandOff(now time.Time, h HandOff) []Action {
	s.beginEvent(now)
	if last, ok := s.handOffs[h.Target]; ok && last.TableVersion > h.TableVersion {
		return s.takeActions()
	}
	for _, t := range s.view.Targets {
		if t.Name != h.Target {
			continue
		}
		s.handOffs[h.Target] = receivedHandOff{h, now}
		s.applyHandOff(t)
		if v := s.services[t.Service]; v != nil {
			return s.assignAndAnnounce(now, v)
		}
	}
	return s.takeActions()
}

// applyHandOff applies a count when it is from the previous home and was made
// after the home moved here. Any other count says nothing about the grants that
// may still be open.
func (s *Scheduler) applyHandOff(t Target) {
	h, ok := s.handOffs[t.Name]
	if !ok || !s.ledger.IsHome(t.Name) || h.From != t.PreviousHome || h.TableVersion < t.HomeSince {
		return
	}
	delete(s.handOffs, t.Name)
	s.ledger.ApplyHandOff(t.Name, h.BusySlots)
}
