package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	domainCount        = 2
	instancesPerDomain = 4 // Of each domain.
	targetsPerDomain   = 6 // Of each domain.
	poisonCount        = 3 // Requests that crash every target.
	harmlessCount      = 40
	stepCount          = 10000
	stepLength         = 50 * time.Millisecond
)

// simulation sends requests, some of which crash every target, through instances
// whose messages are late or lost.
type simulation struct {
	random         *rand.Rand
	now            time.Time
	guardsDisabled bool // Sends to any target without asking the guards.
	targets        []Target
	domainOf       map[string]string
	guards         [][]*Guard // By domain.
	messages       []message
	inFlight       []simulatedAttempt
	downSteps      map[string]int // Steps until the target has restarted.

	crashedBy map[int]map[string]map[string]bool // By poison and domain: targets.
	crashes   int
	refusals  map[int]int
	succeeded map[int]int
}

type message struct {
	to        *Guard
	deliverAt time.Time
	report    Report
}

type simulatedAttempt struct {
	domain  int
	guard   *Guard
	attempt *Attempt
	target  string
	request int
	endsAt  time.Time // End of the execution.
}

func newSimulation(seed uint64, off, unrestricted bool) *simulation {
	f := &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: start, guardsDisabled: off, domainOf: map[string]string{},
		downSteps: map[string]int{}, crashedBy: map[int]map[string]map[string]bool{}, refusals: map[int]int{}, succeeded: map[int]int{}}
	for d := range domainCount {
		domain := fmt.Sprintf("domain-%d", d)
		for i := range targetsPerDomain {
			target := Target{Name: fmt.Sprintf("t-%d-%d", d, i), Domain: domain}
			f.targets = append(f.targets, target)
			f.domainOf[target.Name] = domain
		}
		var guards []*Guard
		for range instancesPerDomain {
			g := New()
			g.anyTargetAllowed = unrestricted
			guards = append(guards, g)
		}
		f.guards = append(f.guards, guards)
	}
	return f
}

func isPoison(request int) bool { return request < poisonCount }

func (f *simulation) step() {
	f.now = f.now.Add(stepLength)
	for name := range f.downSteps {
		if f.downSteps[name]--; f.downSteps[name] <= 0 {
			delete(f.downSteps, name)
		}
	}
	f.deliver()
	f.completeAttempts()
	for range 4 {
		f.send(f.random.IntN(poisonCount + harmlessCount))
	}
	f.send(f.random.IntN(poisonCount))
}

func (f *simulation) send(request int) {
	domain := f.random.IntN(domainCount)
	g := f.guards[domain][f.random.IntN(instancesPerDomain)]
	print := Fingerprint{byte(request + 1)}
	d := g.Check(f.now, print, f.targets)
	if d.Verdict == Refuse && !f.guardsDisabled {
		f.refusals[request]++
		return
	}
	for _, i := range f.random.Perm(len(f.targets)) {
		name := f.targets[i].Name
		if f.downSteps[name] > 0 || !(f.guardsDisabled || d.Allows(name)) {
			continue
		}
		s := simulatedAttempt{domain: domain, guard: g, target: name, request: request}
		s.endsAt = f.now.Add(time.Duration(f.random.IntN(500)) * time.Millisecond)
		if !f.guardsDisabled {
			s.attempt = g.StartAttempt(f.now, print, testService, name, f.targets)
		}
		f.inFlight = append(f.inFlight, s)
		return
	}
}

func (f *simulation) completeAttempts() {
	var crashed []string
	for _, s := range f.inFlight {
		if isPoison(s.request) && !s.endsAt.After(f.now) && f.downSteps[s.target] == 0 {
			crashed = append(crashed, s.target)
			f.recordCrash(s)
		}
	}
	kept := f.inFlight[:0]
	for _, s := range f.inFlight {
		switch {
		case f.downSteps[s.target] > 0:
			f.sendReports(s, func() []Report { return s.guard.RecordCrash(f.now, s.attempt) })
		case !s.endsAt.After(f.now):
			f.succeeded[s.request]++
			f.sendReports(s, func() []Report { return s.guard.RecordSuccess(f.now, s.attempt) })
		default:
			kept = append(kept, s)
		}
	}
	f.inFlight = kept
	f.crashes += len(crashed)
}

func (f *simulation) recordCrash(s simulatedAttempt) {
	f.downSteps[s.target] = 1 + f.random.IntN(40)
	domain := f.domainOf[s.target]
	if f.crashedBy[s.request] == nil {
		f.crashedBy[s.request] = map[string]map[string]bool{}
	}
	if f.crashedBy[s.request][domain] == nil {
		f.crashedBy[s.request][domain] = map[string]bool{}
	}
	f.crashedBy[s.request][domain][s.target] = true
}

// sendReports sends what a guard reports to its domain, up to 3 s late; one message
// of five is lost.
func (f *simulation) sendReports(s simulatedAttempt, decide func() []Report) {
	if f.guardsDisabled {
		return
	}
	for _, r := range decide() {
		for _, peer := range f.guards[s.domain] {
			if peer == s.guard || f.random.IntN(5) == 0 {
				continue
			}
			delay := time.Duration(f.random.IntN(3000)) * time.Millisecond
			f.messages = append(f.messages, message{to: peer, deliverAt: f.now.Add(delay), report: r})
		}
	}
}

func (f *simulation) deliver() {
	kept := f.messages[:0]
	for _, m := range f.messages {
		if m.deliverAt.After(f.now) {
			kept = append(kept, m)
			continue
		}
		m.to.ReceiveReport(f.now, m.report)
	}
	f.messages = kept
}

// maxCrashedInDomain returns the largest number of targets that one request crashed in one
// domain.
func (f *simulation) maxCrashedInDomain() int {
	worst := 0
	for _, domains := range f.crashedBy {
		for _, targets := range domains {
			worst = max(worst, len(targets))
		}
	}
	return worst
}

func runSimulation(seed uint64, off, unrestricted bool) *simulation {
	f := newSimulation(seed, off, unrestricted)
	for range stepCount {
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
		off, messagesOnly, on := runSimulation(seed, true, false), runSimulation(seed, false, true), runSimulation(seed, false, false)
		assert.Equal(t, targetsPerDomain, off.maxCrashedInDomain(), "the test must see the fault with the guards off")
		assert.Greater(t, messagesOnly.maxCrashedInDomain(), 2, "the test must see the fault with messages alone")
		assert.LessOrEqual(t, on.maxCrashedInDomain(), 2)
		assert.NotZero(t, on.crashes)
		assert.Less(t, on.crashes*10, off.crashes, "crashes are contained")

		refused, answered := 0, 0
		for request := poisonCount; request < poisonCount+harmlessCount; request++ {
			refused += on.refusals[request]
			answered += on.succeeded[request]
			assert.NotZero(t, on.succeeded[request], "innocent request %d is never answered", request)
		}
		t.Logf("seed %d: worst domain off %d, messages only %d, on %d; crashes off %d, on %d; innocent answered %d, refused %d",
			seed, off.maxCrashedInDomain(), messagesOnly.maxCrashedInDomain(), on.maxCrashedInDomain(), off.crashes, on.crashes, answered, refused)
	}
}
