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
	refused   map[int]int
	answered  map[int]int
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

func newSimulation(seed uint64, guardsDisabled, anyTargetAllowed bool) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: start, guardsDisabled: guardsDisabled, domainOf: map[string]string{},
		downSteps: map[string]int{}, crashedBy: map[int]map[string]map[string]bool{}, refused: map[int]int{}, answered: map[int]int{}}
	for domainNumber := range domainCount {
		domain := fmt.Sprintf("domain-%d", domainNumber)
		for i := range targetsPerDomain {
			target := Target{Name: fmt.Sprintf("t-%d-%d", domainNumber, i), Domain: domain}
			sim.targets = append(sim.targets, target)
			sim.domainOf[target.Name] = domain
		}
		var guards []*Guard
		for range instancesPerDomain {
			guard := New()
			guard.anyTargetAllowed = anyTargetAllowed
			guards = append(guards, guard)
		}
		sim.guards = append(sim.guards, guards)
	}
	return sim
}

func isPoison(request int) bool { return request < poisonCount }

func (sim *simulation) step() {
	sim.now = sim.now.Add(stepLength)
	for name := range sim.downSteps {
		if sim.downSteps[name]--; sim.downSteps[name] <= 0 {
			delete(sim.downSteps, name)
		}
	}
	sim.deliver()
	sim.completeAttempts()
	for range 4 {
		sim.send(sim.random.IntN(poisonCount + harmlessCount))
	}
	sim.send(sim.random.IntN(poisonCount))
}

func (sim *simulation) send(request int) {
	domain := sim.random.IntN(domainCount)
	guard := sim.guards[domain][sim.random.IntN(instancesPerDomain)]
	fingerprint := Fingerprint{byte(request + 1)}
	decision := guard.Check(sim.now, fingerprint, sim.targets)
	if decision.Verdict == Refuse && !sim.guardsDisabled {
		sim.refused[request]++
		return
	}
	for _, i := range sim.random.Perm(len(sim.targets)) {
		name := sim.targets[i].Name
		if sim.downSteps[name] > 0 || !(sim.guardsDisabled || decision.Allows(name)) {
			continue
		}
		sent := simulatedAttempt{domain: domain, guard: guard, target: name, request: request}
		sent.endsAt = sim.now.Add(time.Duration(sim.random.IntN(500)) * time.Millisecond)
		if !sim.guardsDisabled {
			sent.attempt = guard.StartAttempt(sim.now, fingerprint, testService, name, sim.targets)
		}
		sim.inFlight = append(sim.inFlight, sent)
		return
	}
}

func (sim *simulation) completeAttempts() {
	var crashed []string
	for _, attempt := range sim.inFlight {
		if isPoison(attempt.request) && !attempt.endsAt.After(sim.now) && sim.downSteps[attempt.target] == 0 {
			crashed = append(crashed, attempt.target)
			sim.recordCrash(attempt)
		}
	}
	kept := sim.inFlight[:0]
	for _, attempt := range sim.inFlight {
		switch {
		case sim.downSteps[attempt.target] > 0:
			sim.sendReports(attempt, func() []Report { return attempt.guard.RecordCrash(sim.now, attempt.attempt) })
		case !attempt.endsAt.After(sim.now):
			sim.answered[attempt.request]++
			sim.sendReports(attempt, func() []Report { return attempt.guard.RecordSuccess(sim.now, attempt.attempt) })
		default:
			kept = append(kept, attempt)
		}
	}
	sim.inFlight = kept
	sim.crashes += len(crashed)
}

func (sim *simulation) recordCrash(attempt simulatedAttempt) {
	sim.downSteps[attempt.target] = 1 + sim.random.IntN(40)
	domain := sim.domainOf[attempt.target]
	if sim.crashedBy[attempt.request] == nil {
		sim.crashedBy[attempt.request] = map[string]map[string]bool{}
	}
	if sim.crashedBy[attempt.request][domain] == nil {
		sim.crashedBy[attempt.request][domain] = map[string]bool{}
	}
	sim.crashedBy[attempt.request][domain][attempt.target] = true
}

// sendReports sends what a guard reports to its domain, up to 3 s late; one message
// of five is lost.
func (sim *simulation) sendReports(attempt simulatedAttempt, finish func() []Report) {
	if sim.guardsDisabled {
		return
	}
	for _, report := range finish() {
		for _, peer := range sim.guards[attempt.domain] {
			if peer == attempt.guard || sim.random.IntN(5) == 0 {
				continue
			}
			delay := time.Duration(sim.random.IntN(3000)) * time.Millisecond
			sim.messages = append(sim.messages, message{to: peer, deliverAt: sim.now.Add(delay), report: report})
		}
	}
}

func (sim *simulation) deliver() {
	kept := sim.messages[:0]
	for _, message := range sim.messages {
		if message.deliverAt.After(sim.now) {
			kept = append(kept, message)
			continue
		}
		message.to.ReceiveReport(sim.now, message.report)
	}
	sim.messages = kept
}

// maxCrashedInDomain returns the largest number of targets that one request crashed in one
// domain.
func (sim *simulation) maxCrashedInDomain() int {
	most := 0
	for _, domains := range sim.crashedBy {
		for _, targets := range domains {
			most = max(most, len(targets))
		}
	}
	return most
}

func runSimulation(seed uint64, guardsDisabled, anyTargetAllowed bool) *simulation {
	sim := newSimulation(seed, guardsDisabled, anyTargetAllowed)
	for range stepCount {
		sim.step()
	}
	return sim
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
			refused += on.refused[request]
			answered += on.answered[request]
			assert.NotZero(t, on.answered[request], "innocent request %d is never answered", request)
		}
		t.Logf("seed %d: worst domain off %d, messages only %d, on %d; crashes off %d, on %d; innocent answered %d, refused %d",
			seed, off.maxCrashedInDomain(), messagesOnly.maxCrashedInDomain(), on.maxCrashedInDomain(), off.crashes, on.crashes, answered, refused)
	}
}
