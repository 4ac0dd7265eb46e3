package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// SetView replaces the view and ends a suspension after a freeze. Requests
// that wait for a service without targets remain queued until their time in
// the queue is over.
func (s *Scheduler) SetView(now time.Time, view View) []Action {
	s.lastEventAt = now
	s.view = view
	s.setMembers()
	s.setServices()
	s.setTargets(now)
	if s.frozen {
		s.frozen = false
		s.ledger.Resume()
	}
	for _, name := range s.serviceNames {
		svc := s.services[name]
		s.assignFreeSlots(now, svc)
		s.sendWants(now, svc)
	}
	return s.takeActions()
}

// setMembers derives the peers of the region, the other regions and the
// receivers of load reports from the view.
func (s *Scheduler) setMembers() {
	self := s.config.Self
	members := sortedMembers(s.view.Members)
	s.regionPeers, s.regionSize = nil, 1
	s.remoteMembers = map[string][]string{}
	for _, m := range members {
		switch {
		case m.Region != self.Region:
			s.remoteMembers[m.Region] = append(s.remoteMembers[m.Region], m.Name)
		case m.Name != self.Name:
			s.regionPeers = append(s.regionPeers, m.Name)
			s.regionSize++
		}
	}
	s.regionPeers = rendezvousSubset(self.Name, s.regionPeers)
	s.loadReceivers = chooseLoadReceivers(self, members)
	s.remoteRegions = sortedKeys(s.remoteMembers)
}

// rendezvousSubset returns at most MaxPeers of the names, chosen by rendezvous
// hashing.
func rendezvousSubset(key string, names []string) []string {
	if len(names) <= MaxPeers {
		return names
	}
	chosen := slices.Clone(names)
	slices.SortFunc(chosen, func(a, b string) int {
		if slots.RendezvousWeight(key, a) > slots.RendezvousWeight(key, b) {
			return -1
		}
		return 1
	})
	return chosen[:MaxPeers]
}

// setServices applies the services of the view. Services that remain keep
// their state; the queued requests of removed services are refused.
func (s *Scheduler) setServices() {
	s.serviceNames = nil
	known := s.services
	s.services = map[string]*serviceState{}
	for _, definition := range s.view.Services {
		svc := known[definition.Name]
		if svc == nil {
			svc = &serviceState{meanHoldTime: initialHoldTime, peerWants: map[string]*peerWant{}, peerLoads: map[string]receivedLoad{},
				regionLoads: map[string]receivedLoad{}, recentForwards: map[string][]time.Time{}}
		}
		svc.Service = definition
		svc.slotsByHome = map[string]int{}
		s.services[definition.Name] = svc
		s.serviceNames = append(s.serviceNames, definition.Name)
	}
	slices.Sort(s.serviceNames)
	for _, name := range sortedKeys(known) {
		if s.services[name] == nil {
			s.refuseQueue(known[name])
		}
	}
}

// refuseQueue refuses the queued requests of a service that was removed.
func (s *Scheduler) refuseQueue(svc *serviceState) {
	for _, request := range svc.queue.items {
		s.emit(Refuse{Request: *request, Reason: outcome.ReasonNoService, WasQueued: true})
	}
}

// setTargets applies the targets of the view: it assumes and ends the role of
// home, updates the slots by home, and sends the releases that waited for a
// home.
func (s *Scheduler) setTargets(now time.Time) {
	self := s.config.Self.Name
	clear(s.homeOf)
	targets := make(map[string]Target, len(s.view.Targets))
	for _, t := range s.view.Targets {
		targets[t.Name] = t
		s.homeOf[t.Name] = t.Home
		s.setLeaving(t)
		if svc := s.services[t.Service]; svc != nil && t.Home != "" && !s.leavingTargets[t.Name] {
			svc.slotsByHome[t.Home] += t.Slots
		}
		if t.Home == self {
			s.becomeHome(now, t)
		}
	}
	for _, name := range s.ledger.Targets() {
		if s.homeOf[name] != self {
			s.stopBeingHome(name, targets)
		}
	}
	s.expireHandOffs(now)
	s.sendPendingReleases(now)
	for _, svc := range s.services {
		svc.wantReceivers = rendezvousSubset(self, slices.DeleteFunc(sortedKeys(svc.slotsByHome), func(home string) bool { return home == self }))
	}
}

// setLeaving updates whether a target is leaving. Once any source has reported
// that a target is leaving, it remains so until a view that lists it as
// leaving is followed by one that does not.
func (s *Scheduler) setLeaving(target Target) {
	switch {
	case target.Leaving:
		s.leavingTargets[target.Name] = true
		s.leavingInView[target.Name] = true
	case s.leavingInView[target.Name]:
		delete(s.leavingTargets, target.Name)
		delete(s.leavingInView, target.Name)
		s.ledger.ClearLeaving(target.Name)
	}
}

// becomeHome makes this instance the home of a target. If another instance may
// have granted slots of the target, all slots count as busy until those grants
// have expired or the previous home's hand-off arrives.
func (s *Scheduler) becomeHome(now time.Time, target Target) {
	var busyUntil time.Time
	if !target.NeverMoved {
		busyUntil = now.Add(s.config.GrantTTL)
	}
	s.ledger.SetTarget(target.Target, busyUntil)
	s.applyHandOff(target)
	if s.leavingTargets[target.Name] {
		s.ledger.MarkLeaving(target.Name)
	}
}
