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
	s.last = now
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
		s.match(now, v)
		s.announce(now, v)
	}
	return s.end()
}

func (s *Scheduler) setMembers() {
	self := s.config.Self
	members := sortedMembers(s.view.Members)
	s.peers, s.regionSize = nil, 1
	s.remoteMembers = map[string][]string{}
	for _, m := range members {
		switch {
		case m.Region != self.Region:
			s.remoteMembers[m.Region] = append(s.remoteMembers[m.Region], m.Name)
		case m.Name != self.Name:
			s.peers = append(s.peers, m.Name)
			s.regionSize++
		}
	}
	s.peers = nearest(self.Name, s.peers)
	s.partners = choosePartners(self, members)
	s.remoteRegions = sortedKeys(s.remoteMembers)
}

// nearest returns at most MaxPeers names, chosen by rendezvous hashing.
func nearest(key string, names []string) []string {
	if len(names) <= MaxPeers {
		return names
	}
	chosen := slices.Clone(names)
	slices.SortFunc(chosen, func(a, b string) int {
		if slots.Weight(key, a) > slots.Weight(key, b) {
			return -1
		}
		return 1
	})
	return chosen[:MaxPeers]
}

func (s *Scheduler) setServices() {
	s.serviceNames = nil
	known := s.services
	s.services = map[string]*service{}
	for _, definition := range s.view.Services {
		v := known[definition.Name]
		if v == nil {
			v = &service{hold: initialHold, wants: map[string]*want{}, reports: map[string]report{},
				regions: map[string]report{}, sent: map[string][]time.Time{}}
		}
		v.Service = definition
		v.homeSlots = map[string]int{}
		s.services[definition.Name] = v
		s.serviceNames = append(s.serviceNames, definition.Name)
	}
	slices.Sort(s.serviceNames)
	for _, name := range sortedKeys(known) {
		if s.services[name] == nil {
			s.refuseAll(known[name])
		}
	}
}

// refuseAll refuses the queued requests of a service that was removed.
func (s *Scheduler) refuseAll(v *service) {
	for _, r := range v.queue.items {
		s.emit(Refuse{Request: *r, Reason: outcome.ReasonNoService, Waited: true})
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
		if v := s.services[t.Service]; v != nil && t.Home != "" && !s.leaving[t.Name] {
			v.homeSlots[t.Home] += t.Slots
		}
		if t.Home == self {
			s.adopt(now, t)
		}
	}
	for _, name := range s.ledger.Targets() {
		if s.homeOf[name] != self {
			s.drop(name, targets)
		}
	}
	s.forgetHandOffs(now)
	s.releasePending(now)
	for _, v := range s.services {
		v.homes = nearest(self, slices.DeleteFunc(sortedKeys(v.homeSlots), func(home string) bool { return home == self }))
	}
}

// setLeaving keeps a target leaving that any source reported, until a view
// that called it leaving is replaced by one that does not.
func (s *Scheduler) setLeaving(t Target) {
	switch {
	case t.Leaving:
		s.leaving[t.Name] = true
		s.leavingByView[t.Name] = true
	case s.leavingByView[t.Name]:
		delete(s.leaving, t.Name)
		delete(s.leavingByView, t.Name)
		s.ledger.Rejoin(t.Name)
	}
}

func (s *Scheduler) adopt(now time.Time, t Target) {
	var busyUntil time.Time
	if !t.Fresh {
		busyUntil = now.Add(s.config.GrantLife)
	}
	s.ledger.Adopt(t.Target, busyUntil)
	s.takeHandOff(t)
	if s.leaving[t.Name] {
		s.ledger.Leave(t.Name)
	}
}
