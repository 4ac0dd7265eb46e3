package dispatch

import "time"

// maxPending bounds the releases that wait for the home of one target. A
// further one is dropped, and its slot returns when it expires.
const maxPending = 1024

// handOff is a received count.
type handOff struct {
	HandOff
	at time.Time
}

// releaseAtHome returns a slot to the home of its target, or keeps the release
// while the home moves.
func (s *Scheduler) releaseAtHome(now time.Time, r SendRelease) {
	switch home := s.homeOf[r.Target]; home {
	case "":
		if waiting := s.pending[r.Target]; len(waiting) < maxPending {
			s.pending[r.Target] = append(waiting, r)
		}
	case s.config.Self.Name:
		s.releaseHere(now, r.Target, r.Grant, r.Cause)
	default:
		r.To = home
		s.emit(r)
	}
}

// releasePending sends the releases that waited for a home. Those of targets
// that were removed are dropped.
func (s *Scheduler) releasePending(now time.Time) {
	for _, target := range sortedKeys(s.pending) {
		home, exists := s.homeOf[target]
		if exists && home == "" {
			continue
		}
		waiting := s.pending[target]
		delete(s.pending, target)
		for _, r := range waiting {
			if exists {
				s.releaseAtHome(now, r)
			}
		}
	}
}

// drop ends the role of home of a target and tells the next home how many
// slots are in use. Without a next home, or when this instance is the next home
// again, nobody is told: another instance may have granted slots in between.
func (s *Scheduler) drop(name string, targets map[string]Target) {
	busy := s.ledger.Busy(name)
	s.ledger.Drop(name)
	if next := targets[name].Next; next != "" && next != s.config.Self.Name {
		s.emit(SendHandOff{To: next, Target: name, Busy: busy, Version: s.view.TableVersion})
	}
}

// forgetHandOffs drops the counts that came too long ago to matter.
func (s *Scheduler) forgetHandOffs(now time.Time) {
	for name, h := range s.handOffs {
		if now.Sub(h.at) >= s.config.GrantLife {
			delete(s.handOffs, name)
		}
	}
}

// HandOff is the count of slots in use that a previous home reports.
type HandOff struct {
	From    string // Identity of the sender in the member table.
	Target  string
	Busy    int
	Version uint64 // Newest member table that the sender knew.
}

// HandedOff takes the count of a previous home.
func (s *Scheduler) HandedOff(now time.Time, h HandOff) []Action {
	s.begin(now)
	if last, ok := s.handOffs[h.Target]; ok && last.Version > h.Version {
		return s.end()
	}
	for _, t := range s.view.Targets {
		if t.Name != h.Target {
			continue
		}
		s.handOffs[h.Target] = handOff{h, now}
		s.takeHandOff(t)
		if v := s.services[t.Service]; v != nil {
			return s.settle(now, v)
		}
	}
	return s.end()
}

// takeHandOff applies a count when it is from the previous home and was made
// after the home moved here. Any other count says nothing about the grants that
// may still be open.
func (s *Scheduler) takeHandOff(t Target) {
	h, ok := s.handOffs[t.Name]
	if !ok || !s.ledger.Has(t.Name) || h.From != t.Previous || h.Version < t.Since {
		return
	}
	delete(s.handOffs, t.Name)
	s.ledger.HandedOff(t.Name, h.Busy)
}
