package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/slots"
)

// session drives instances a and b of the north and z of the south through a
// script in virtual time and writes each decision as a line of its log.
type session struct {
	now        time.Time
	schedulers map[string]*dispatch.Scheduler
	queue      []sessionEvent
	views      map[string]dispatch.View
	started    map[uint64]string // Instance that started a request.
	log        strings.Builder
}

type sessionEvent struct {
	at  time.Time
	run func()
}

const sessionExecutionTime = 100 * ms // Execution time of each request.

func newSession() *session {
	s := &session{now: epoch, schedulers: map[string]*dispatch.Scheduler{}, views: map[string]dispatch.View{}, started: map[uint64]string{}}
	for i, m := range []dispatch.Member{self, peer, remote} {
		s.schedulers[m.Name] = dispatch.New(dispatch.Config{Self: m, Incarnation: uint64(i + 1), MaxQueueLength: 10,
			GrantTTL: grantTTL, LoadInterval: 50 * ms, LoadMaxAge: 500 * ms})
		v := view()
		if m.Region == "south" {
			v.Targets, v.TransportDelay = []dispatch.Target{target("t3", "z", 2)}, map[string]time.Duration{"north": 20 * ms}
		}
		s.views[m.Name] = v
		s.apply(m.Name, s.schedulers[m.Name].SetView(s.now, v))
	}
	return s
}

func (s *session) schedule(after time.Duration, run func()) {
	s.queue = append(s.queue, sessionEvent{s.now.Add(after), run})
}

// run plays events in the order of their times until the end, with ticks.
func (s *session) run(until time.Duration) string {
	for _, name := range []string{"a", "b", "z"} {
		for d := dispatch.TickInterval; d <= until; d += dispatch.TickInterval {
			s.queue = append(s.queue, sessionEvent{at(d), func() { s.apply(name, s.schedulers[name].Tick(s.now)) }})
		}
	}
	for len(s.queue) > 0 {
		first := 0
		for i, e := range s.queue {
			if e.at.Before(s.queue[first].at) {
				first = i
			}
		}
		e := s.queue[first]
		s.queue = slices.Delete(s.queue, first, first+1)
		s.now = e.at
		e.run()
	}
	return s.log.String()
}

func (s *session) apply(name string, actions []dispatch.Action) {
	for _, action := range actions {
		s.write(name, action)
		switch a := action.(type) {
		case dispatch.Start:
			s.started[a.Request.ID] = name
			s.schedule(sessionExecutionTime, func() { s.finish(a.Request.ID, slots.Answered) })
		case dispatch.Forward:
			s.send(name, a.Instance, func(to *dispatch.Scheduler) []dispatch.Action {
				return to.Submit(s.now, a.Request)
			})
		case dispatch.SendWant:
			w := dispatch.Want{From: name, Incarnation: 1, Service: a.Service, Sequence: a.Sequence, Ages: a.Ages}
			s.send(name, a.To, func(to *dispatch.Scheduler) []dispatch.Action { return to.ReceiveWant(s.now, w) })
		case dispatch.SendGrant:
			g := dispatch.Grant{Home: name, Service: a.Service, Target: a.Target, ID: a.GrantID, WantSequence: a.WantSequence, TTL: a.TTL}
			s.send(name, a.To, func(to *dispatch.Scheduler) []dispatch.Action { return to.ReceiveGrant(s.now, g) })
		case dispatch.SendRelease:
			s.send(name, a.To, func(to *dispatch.Scheduler) []dispatch.Action {
				return to.ReceiveRelease(s.now, a.Target, a.GrantID, a.Cause)
			})
		case dispatch.SendLoad:
			from := s.member(name)
			s.send(name, a.To, func(to *dispatch.Scheduler) []dispatch.Action { return to.ReceiveLoad(s.now, from, a.Load) })
		}
	}
}

func (s *session) member(name string) dispatch.Member {
	return map[string]dispatch.Member{"a": self, "b": peer, "z": remote}[name]
}

// send delivers a message after the delay between the two instances.
func (s *session) send(from, to string, deliver func(*dispatch.Scheduler) []dispatch.Action) {
	delay := ms / 2
	if s.member(from).Region != s.member(to).Region {
		delay = 20 * ms
	}
	s.schedule(delay, func() { s.apply(to, deliver(s.schedulers[to])) })
}

func (s *session) finish(id uint64, cause slots.ReleaseCause) {
	name, running := s.started[id]
	if !running {
		return
	}
	delete(s.started, id)
	s.apply(name, s.schedulers[name].RequestFinished(s.now, id, cause, cause == slots.Shed))
}

func (s *session) arrive(after time.Duration, name string, ids ...uint64) {
	s.schedule(after, func() {
		for _, id := range ids {
			s.apply(name, s.schedulers[name].Submit(s.now, request(id, s.now.Sub(epoch))))
		}
	})
}

func (s *session) write(name string, action dispatch.Action) {
	event, fields, ok := dispatch.Describe(action)
	if !ok {
		return
	}
	fmt.Fprintf(&s.log, "%6.1f ms  %s  %s", float64(s.now.Sub(epoch).Microseconds())/1000, name, event.Name)
	for _, field := range event.Fields {
		fmt.Fprintf(&s.log, " %s=%v", field, fields[field])
	}
	s.log.WriteString("\n")
}

// Whole sessions must give the same decisions, with the same inputs, on every
// run: a change of the policy shows as a change of these files.
func TestSessions(t *testing.T) {
	for name, script := range map[string]func(*session){
		"queue-and-peers": func(s *session) { s.arrive(5*ms, "a", 1, 2, 3, 4, 5, 6) },
		"overload": func(s *session) {
			s.arrive(5*ms, "a", 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24)
		},
		"drain": func(s *session) {
			s.arrive(5*ms, "a", 1, 2, 3)
			s.schedule(50*ms, func() { s.apply("a", s.schedulers["a"].TargetLeaving(s.now, "t1")) })
			s.arrive(60*ms, "a", 4, 5, 6)
		},
		"target-crash": func(s *session) {
			s.arrive(5*ms, "a", 1)
			s.schedule(20*ms, func() { s.finish(1, slots.Crashed) })
			s.arrive(30*ms, "a", 2, 3)
			s.schedule(250*ms, func() { s.apply("a", s.schedulers["a"].ProbeSucceeded(s.now, "t1")) })
			s.arrive(260*ms, "a", 4, 5, 6)
		},
		"shed": func(s *session) {
			s.arrive(5*ms, "a", 1)
			s.schedule(6*ms, func() { s.finish(1, slots.Shed) })
		},
		"freeze": func(s *session) {
			s.arrive(5*ms, "a", 1)
			s.schedule(700*ms, func() {
				s.now = s.now.Add(2 * time.Second)
				s.apply("a", s.schedulers["a"].Submit(s.now, request(2, s.now.Sub(epoch))))
				s.apply("a", s.schedulers["a"].SetView(s.now, s.views["a"]))
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSession()
			script(s)
			goldie.New(t).Assert(t, name, []byte(s.run(600*ms)))
		})
	}
}
