package dispatch

import "time"

// maxPending bounds the releases that wait for the home of one target. A
// further one is dropped, and its slot returns when it expires.
const maxPending = 1024

// handOff is the count of slots in use that a previous home reported.
type handOff struct {
	from string
	busy int
	at   time.Time
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
// slots are in use.
func (s *Scheduler) drop(now time.Time, name string, targets map[string]Target) {
	busy := s.ledger.Busy(name)
	s.ledger.Drop(name)
	s.passHandOff(now, targets[name], handOff{from: s.config.ID, busy: busy, at: now})
}

// passHandOff gives a count to the next home of a target.
func (s *Scheduler) passHandOff(now time.Time, t Target, h handOff) {
	switch t.Next {
	case "":
	case s.config.Self.Name:
		s.handOffs[t.Name] = h
	default:
		s.emit(SendHandOff{To: t.Next, Target: t.Name, Busy: h.busy})
	}
}

// passOnHandOffs passes on the counts for targets whose home moved on before
// this instance granted any of their slots.
func (s *Scheduler) passOnHandOffs(now time.Time, targets map[string]Target) {
	for _, name := range sortedKeys(s.handOffs) {
		h, t := s.handOffs[name], targets[name]
		if t.Next == s.config.Self.Name && now.Sub(h.at) < s.config.GrantLife {
			continue
		}
		delete(s.handOffs, name)
		if now.Sub(h.at) < s.config.GrantLife {
			s.passHandOff(now, t, h)
		}
	}
}

// HandedOff takes the count of a previous home, identified by its member of
// the table.
func (s *Scheduler) HandedOff(now time.Time, from, target string, busy int) []Action {
	s.begin(now)
	s.handOffs[target] = handOff{from: from, busy: busy, at: now}
	for _, t := range s.view.Targets {
		if t.Name == target {
			s.takeHandOff(t)
			if v := s.services[t.Service]; v != nil {
				return s.settle(now, v)
			}
		}
	}
	return s.end()
}

// takeHandOff applies a count when it is from the previous home. The count of
// any other instance says nothing about what the previous home granted.
func (s *Scheduler) takeHandOff(t Target) {
	h, ok := s.handOffs[t.Name]
	if !ok || !s.ledger.Has(t.Name) {
		return
	}
	delete(s.handOffs, t.Name)
	if h.from == t.Previous || h.from == s.config.ID {
		s.ledger.HandedOff(t.Name, h.busy)
	}
}
