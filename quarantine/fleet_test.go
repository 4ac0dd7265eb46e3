package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	fleetDomains   = 2
	fleetInstances = 4 // Of each domain.
	fleetTargets   = 6 // Of each domain.
	fleetPoisons   = 3 // Requests that crash every target.
	fleetInnocent  = 40
	fleetSteps     = 10000
	stepLength     = 50 * time.Millisecond
)

// fleet sends requests, some of which crash every target, through instances
// whose messages are late or lost.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	off      bool // Sends to any target without asking the guards.
	targets  []Target
	domain   map[string]string
	guards   [][]*Guard // By domain.
	messages []message
	sent     []sentRequest
	downFor  map[string]int // Steps until the target has restarted.

	crashedBy map[int]map[string]map[string]bool // By poison and domain: targets.
	crashes   int
	refused   map[int]int
	answered  map[int]int
}

type message struct {
	to    *Guard
	at    time.Time
	order Report
}

type sentRequest struct {
	domain  int
	guard   *Guard
	flight  *Flight
	target  string
	request int
	at      time.Time // End of the execution.
}

func newFleet(seed uint64, off, unrestricted bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), now: start, off: off, domain: map[string]string{},
		downFor: map[string]int{}, crashedBy: map[int]map[string]map[string]bool{}, refused: map[int]int{}, answered: map[int]int{}}
	for d := range fleetDomains {
		domain := fmt.Sprintf("domain-%d", d)
		for i := range fleetTargets {
			target := Target{Name: fmt.Sprintf("t-%d-%d", d, i), Domain: domain}
			f.targets = append(f.targets, target)
			f.domain[target.Name] = domain
		}
		var guards []*Guard
		for range fleetInstances {
			g := New()
			g.unrestricted = unrestricted
			guards = append(guards, g)
		}
		f.guards = append(f.guards, guards)
	}
	return f
}

func poison(request int) bool { return request < fleetPoisons }

func (f *fleet) step() {
	f.now = f.now.Add(stepLength)
	for name := range f.downFor {
		if f.downFor[name]--; f.downFor[name] <= 0 {
			delete(f.downFor, name)
		}
	}
	f.deliver()
	f.complete()
	for range 4 {
		f.send(f.random.IntN(fleetPoisons + fleetInnocent))
	}
	f.send(f.random.IntN(fleetPoisons))
}

func (f *fleet) send(request int) {
	domain := f.random.IntN(fleetDomains)
	g := f.guards[domain][f.random.IntN(fleetInstances)]
	print := Fingerprint{byte(request + 1)}
	d := g.Check(f.now, print, f.targets)
	if d.Verdict == Refuse && !f.off {
		f.refused[request]++
		return
	}
	for _, i := range f.random.Perm(len(f.targets)) {
		name := f.targets[i].Name
		if f.downFor[name] > 0 || !(f.off || d.Allows(name)) {
			continue
		}
		s := sentRequest{domain: domain, guard: g, target: name, request: request}
		s.at = f.now.Add(time.Duration(f.random.IntN(500)) * time.Millisecond)
		if !f.off {
			s.flight = g.Start(f.now, print, service, name, f.targets)
		}
		f.sent = append(f.sent, s)
		return
	}
}

func (f *fleet) complete() {
	var crashed []string
	for _, s := range f.sent {
		if poison(s.request) && !s.at.After(f.now) && f.downFor[s.target] == 0 {
			crashed = append(crashed, s.target)
			f.noteCrash(s)
		}
	}
	kept := f.sent[:0]
	for _, s := range f.sent {
		switch {
		case f.downFor[s.target] > 0:
			f.report(s, func() []Report { return s.guard.Crashed(f.now, s.flight) })
		case !s.at.After(f.now):
			f.answered[s.request]++
			f.report(s, func() []Report { return s.guard.Succeeded(f.now, s.flight) })
		default:
			kept = append(kept, s)
		}
	}
	f.sent = kept
	f.crashes += len(crashed)
}

func (f *fleet) noteCrash(s sentRequest) {
	f.downFor[s.target] = 1 + f.random.IntN(40)
	domain := f.domain[s.target]
	if f.crashedBy[s.request] == nil {
		f.crashedBy[s.request] = map[string]map[string]bool{}
	}
	if f.crashedBy[s.request][domain] == nil {
		f.crashedBy[s.request][domain] = map[string]bool{}
	}
	f.crashedBy[s.request][domain][s.target] = true
}

// report sends what a guard reports to its domain, up to 3 s late; one message
// of five is lost.
func (f *fleet) report(s sentRequest, decide func() []Report) {
	if f.off {
		return
	}
	for _, r := range decide() {
		for _, peer := range f.guards[s.domain] {
			if peer == s.guard || f.random.IntN(5) == 0 {
				continue
			}
			delay := time.Duration(f.random.IntN(3000)) * time.Millisecond
			f.messages = append(f.messages, message{to: peer, at: f.now.Add(delay), order: r})
		}
	}
}

func (f *fleet) deliver() {
	kept := f.messages[:0]
	for _, m := range f.messages {
		if m.at.After(f.now) {
			kept = append(kept, m)
			continue
		}
		m.to.Receive(f.now, m.order)
	}
	f.messages = kept
}

// worst returns the largest number of targets that one request crashed in one
// domain.
func (f *fleet) worst() int {
	worst := 0
	for _, domains := range f.crashedBy {
		for _, targets := range domains {
			worst = max(worst, len(targets))
		}
	}
	return worst
}

func run(seed uint64, off, unrestricted bool) *fleet {
	f := newFleet(seed, off, unrestricted)
	for range fleetSteps {
		f.step()
	}
	return f
}

// Requirement R9 for the decisions: three requests that crash every target are
// sent all the time through 8 instances of 2 domains with 6 targets each. With
// the guards off, or with messages between instances alone, they crash more
// than two targets of a domain.
func TestAtMostTwoTargetsOfADomainCrash(t *testing.T) {
	for seed := range uint64(3) {
		off, messagesOnly, on := run(seed, true, false), run(seed, false, true), run(seed, false, false)
		assert.Equal(t, fleetTargets, off.worst(), "the test must see the fault with the guards off")
		assert.Greater(t, messagesOnly.worst(), 2, "the test must see the fault with messages alone")
		assert.LessOrEqual(t, on.worst(), 2)
		assert.NotZero(t, on.crashes)
		assert.Less(t, on.crashes*10, off.crashes, "crashes are contained")

		refused, answered := 0, 0
		for request := fleetPoisons; request < fleetPoisons+fleetInnocent; request++ {
			refused += on.refused[request]
			answered += on.answered[request]
			assert.NotZero(t, on.answered[request], "innocent request %d is never answered", request)
		}
		t.Logf("seed %d: worst domain off %d, messages only %d, on %d; crashes off %d, on %d; innocent answered %d, refused %d",
			seed, off.worst(), messagesOnly.worst(), on.worst(), off.crashes, on.crashes, answered, refused)
	}
}
