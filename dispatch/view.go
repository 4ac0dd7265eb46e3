package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// SetView replaces the view and ends a suspension after a freeze. Requests
// that wait for a service without targets stay queued until their time is up.
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
		v := s.services[name]
		s.assignFreeSlots(now, v)
		s.sendWants(now, v)
	}
	return s.takeActions()
}

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

// rendezvousSubset returns at most MaxPeers names, chosen by rendezvous hashing.
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

func (s *Scheduler) setServices() {
	s.serviceNames = nil
	known := s.services
	s.services = map[string]*serviceState{}
	for _, definition := range s.view.Services {
		v := known[definition.Name]
		if v == nil {
			v = &serviceState{meanHoldTime: initialHoldTime, peerWants: map[string]*peerWant{}, peerLoads: map[string]receivedLoad{},
				regionLoads: map[string]receivedLoad{}, recentForwards: map[string][]time.Time{}}
		}
		v.Service = definition
		v.slotsByHome = map[string]int{}
		s.services[definition.Name] = v
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
func (s *Scheduler) refuseQueue(v *serviceState) {
	for _, r := range v.queue.items {
		s.emit(Refuse{Request: *r, Reason: outcome.ReasonNoService, WasQueued: true})
	}
}

func (s *Scheduler) setTargets(now time.Time) {
	self := s.config.Self.Name
	clear(s.homeOf)
	targets := make(map[string]Target, len(s.view.Targets))
	for _, t := range s.view.Targets {
		targets[t.Name] = t
		s.homeOf[t.Name] = t.Home
		s.setLeaving(t)
		if v := s.services[t.Service]; v != nil && t.Home != "" && !s.leavingTargets[t.Name] {
			v.slotsByHome[t.Home] += t.Slots
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
	for _, v := range s.services {
		v.wantReceivers = rendezvousSubset(self, slices.DeleteFunc(sortedKeys(v.slotsByHome), func(home string) bool { return home == self }))
	}
}

// setLeaving keeps a target leaving that any source reported, until a view
// that called it leaving is replaced by one that does not.
func (s *Scheduler) setLeaving(t Target) {
	switch {
	case t.Leaving:
		s.leavingTargets[t.Name] = true
		s.leavingInView[t.Name] = true
	case s.leavingInView[t.Name]:
		delete(s.leavingTargets, t.Name)
		delete(s.leavingInView, t.Name)
		s.ledger.ClearLeaving(t.Name)
	}
}

func (s *Scheduler) becomeHome(now time.Time, t Target) {
	var busyUntil time.Time
	if !t.NeverMoved {
		busyUntil = now.Add(s.config.GrantTTL)
	}
	s.ledger.SetTarget(t.Target, busyUntil)
	s.applyHandOff(t)
	if s.leavingTargets[t.Name] {
		s.ledger.MarkLeaving(t.Name)
	}
}
