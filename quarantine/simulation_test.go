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
	instancesPerDomain = 4
	targetsPerDomain   = 6
	poisonCount        = 3 // Poison requests, which crash every target.
	harmlessCount      = 40
	stepCount          = 10000
	stepLength         = 50 * time.Millisecond
)

// simulation sends requests, some of which crash every target, through instances
// whose reports to peers are late or lost.
type simulation struct {
	random         *rand.Rand
	now            time.Time
	guardsDisabled bool // Requests go to any target without a check by a guard.
	targets        []Target
	domainOf       map[string]string
	guards         [][]*Guard // By domain.
	messages       []message
	inFlight       []simulatedAttempt
	downSteps      map[string]int // Steps until the target has restarted, by name.

	crashedBy map[int]map[string]map[string]bool // Crashed targets by request and domain.
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
	endsAt  time.Time
}

func newSimulation(seed uint64, guardsDisabled, anyTargetAllowed bool) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: start, guardsDisabled: guardsDisabled, domainOf: map[string]string{},
		downSteps: map[string]int{}, crashedBy: map[int]map[string]map[string]bool{}, refusals: map[int]int{}, succeeded: map[int]int{}}
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
		sim.refusals[request]++
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

// completeAttempts ends the attempts at crashed targets and those whose execution
// has ended.
func (sim *simulation) completeAttempts() {
	var crashedTargets []string
	for _, attempt := range sim.inFlight {
		if isPoison(attempt.request) && !attempt.endsAt.After(sim.now) && sim.downSteps[attempt.target] == 0 {
			crashedTargets = append(crashedTargets, attempt.target)
			sim.recordCrash(attempt)
		}
	}
	kept := sim.inFlight[:0]
	for _, attempt := range sim.inFlight {
		switch {
		case sim.downSteps[attempt.target] > 0:
			sim.sendReports(attempt, func() []Report { return attempt.guard.RecordCrash(sim.now, attempt.attempt) })
		case !attempt.endsAt.After(sim.now):
			sim.succeeded[attempt.request]++
			sim.sendReports(attempt, func() []Report { return attempt.guard.RecordSuccess(sim.now, attempt.attempt) })
		default:
			kept = append(kept, attempt)
		}
	}
	sim.inFlight = kept
	sim.crashes += len(crashedTargets)
}

// recordCrash stops a target for some steps and records which request crashed it.
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

// sendReports ends an attempt and sends the reports about it to the other instances
// of the domain. They arrive up to 3 s later; one in five is lost.
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

// maxCrashedInDomain returns the largest number of targets of a domain that were
// crashed by the same request.
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

// Requirement R9 for the decisions of guards: a request that crashes every target
// crashes at most two targets of a domain. Three such requests are sent all the
// time through 8 instances in 2 domains with 6 targets each. Without guards, or
// with only the reports between instances, they crash more than two targets of a
// domain.
func TestAtMostTwoTargetsOfADomainCrash(t *testing.T) {
	for seed := range uint64(3) {
		withoutGuards, reportsOnly, withGuards :=
			runSimulation(seed, true, false), runSimulation(seed, false, true), runSimulation(seed, false, false)
		assert.Equal(t, targetsPerDomain, withoutGuards.maxCrashedInDomain(),
			"without guards, the simulation must crash all targets of a domain")
		assert.Greater(t, reportsOnly.maxCrashedInDomain(), 2, "with reports alone, the simulation must exceed the limit")
		assert.LessOrEqual(t, withGuards.maxCrashedInDomain(), 2)
		assert.NotZero(t, withGuards.crashes)
		assert.Less(t, withGuards.crashes*10, withoutGuards.crashes, "guards must prevent most crashes")

		refused, succeeded := 0, 0
		for request := poisonCount; request < poisonCount+harmlessCount; request++ {
			refused += withGuards.refusals[request]
			succeeded += withGuards.succeeded[request]
			assert.NotZero(t, withGuards.succeeded[request], "harmless request %d never succeeded", request)
		}
		t.Logf("seed %d: targets crashed in a domain: unguarded %d, reports only %d, guarded %d; crashes: unguarded %d, guarded %d; harmless succeeded %d, refused %d",
			seed, withoutGuards.maxCrashedInDomain(), reportsOnly.maxCrashedInDomain(), withGuards.maxCrashedInDomain(),
			withoutGuards.crashes, withGuards.crashes, succeeded, refused)
	}
}
