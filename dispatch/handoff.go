package dispatch

import "time"

// maxPendingReleases is the maximum number of releases that wait for the home
// of one target. Further releases are dropped; their slots become free when
// the grants expire.
const maxPendingReleases = 1024

// receivedHandOff is a hand-off and the time of its receipt.
type receivedHandOff struct {
	HandOff
	receivedAt time.Time
}

// releaseAtHome returns a slot to the home of its target, or keeps the release
// while the home is moving.
func (s *Scheduler) releaseAtHome(now time.Time, release SendRelease) {
	switch home := s.homeOf[release.Target]; home {
	case "":
		if waiting := s.pendingReleases[release.Target]; len(waiting) < maxPendingReleases {
			s.pendingReleases[release.Target] = append(waiting, release)
		}
	case s.config.Self.Name:
		s.releaseHomeSlot(now, release.Target, release.GrantID, release.Cause)
	default:
		release.To = home
		s.emit(release)
	}
}

// sendPendingReleases sends the releases that waited for a home. Releases for
// targets that were removed are dropped.
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

// stopBeingHome ends this instance's role as home of a target and tells the
// next home how many slots are in use. It sends no hand-off if there is no
// next home. It also sends none if this instance is the next home again,
// because another instance may have granted slots in between.
func (s *Scheduler) stopBeingHome(target string, targets map[string]Target) {
	busy := s.ledger.BusySlots(target)
	s.ledger.RemoveTarget(target)
	if next := targets[target].NextHome; next != "" && next != s.config.Self.Name {
		s.emit(SendHandOff{To: next, Target: target, BusySlots: busy, TableVersion: s.view.TableVersion})
	}
}

// expireHandOffs drops hand-offs that are older than GrantTTL: all the grants
// that they count have expired.
func (s *Scheduler) expireHandOffs(now time.Time) {
	for name, handOff := range s.handOffs {
		if now.Sub(handOff.receivedAt) >= s.config.GrantTTL {
			delete(s.handOffs, name)
		}
	}
}

// HandOff is the number of slots in use that a previous home reports when it
// stops granting slots of a target.
type HandOff struct {
	From         string // ID of the sender in the member table.
	Target       string
	BusySlots    int
	TableVersion uint64 // Newest member table that the sender knew.
}

// ReceiveHandOff handles a hand-off from a previous home. A hand-off with an
// older table version than the last one for the target is ignored.
func (s *Scheduler) ReceiveHandOff(now time.Time, handOff HandOff) []Action {
	s.beginEvent(now)
	if last, ok := s.handOffs[handOff.Target]; ok && last.TableVersion > handOff.TableVersion {
		return s.takeActions()
	}
	for _, t := range s.view.Targets {
		if t.Name != handOff.Target {
			continue
		}
		s.handOffs[handOff.Target] = receivedHandOff{handOff, now}
		s.applyHandOff(t)
		if svc := s.services[t.Service]; svc != nil {
			return s.assignAndAnnounce(now, svc)
		}
	}
	return s.takeActions()
}

// applyHandOff applies a received hand-off if this instance is the home, the
// sender is the previous home and the sender knew the table that moved the
// home here. Any other count may not cover all grants that are still open.
func (s *Scheduler) applyHandOff(target Target) {
	handOff, ok := s.handOffs[target.Name]
	if !ok || !s.ledger.IsHome(target.Name) || handOff.From != target.PreviousHome || handOff.TableVersion < target.HomeSince {
		return
	}
	delete(s.handOffs, target.Name)
	s.ledger.ApplyHandOff(target.Name, handOff.BusySlots)
}
