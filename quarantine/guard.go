package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	maxProven  = 32768
	maxSuspect = 4096
)

// Verdict says what may be done with a request.
type Verdict int

const (
	// Proceed means that the request may go to the permitted targets.
	Proceed Verdict = iota + 1
	// Wait means that an identical request is in flight and must end first.
	Wait
	// Refuse means that the fingerprint is in quarantine. No target executed
	// the request.
	Refuse
)

// Decision is the answer of Check.
type Decision struct {
	Verdict Verdict
	// AnyTarget is true when every target is permitted.
	AnyTarget bool
	// PermittedTargets holds the names of the permitted targets unless Any is true.
	PermittedTargets map[string]bool
	// Changed is closed when a waiting request may check again. Wait only.
	Changed <-chan struct{}
	// RemainingQuarantine is the rest of the quarantine. Refuse only.
	RemainingQuarantine time.Duration
}

// Allows reports whether the request may go to a target now.
func (decision Decision) Allows(target string) bool {
	return decision.Verdict == Proceed && (decision.AnyTarget || decision.PermittedTargets[target])
}

// Attempt is a request that was sent to a target.
type Attempt struct {
	state  *fingerprintState
	target string
	ended  bool
}

// Report is a message about a fingerprint to the other instances of a domain.
type Report struct {
	Fingerprint         Fingerprint
	Service             string
	Target              string        // Target that crashed; empty when Cleared.
	Cleared             bool          // The request succeeded.
	RemainingQuarantine time.Duration // Remaining quarantine; 0 when only suspect.
}

// Guard decides where requests may go. It is safe for concurrent use.
type Guard struct {
	// anyTargetAllowed lifts the limit to two targets of a domain, so that a test
	// can show that messages alone do not keep the bound.
	anyTargetAllowed bool

	mu               sync.Mutex
	inFlight         map[Fingerprint]*fingerprintState
	attemptsByTarget map[string]map[*Attempt]struct{}
	proven           *stateStore
	suspects         *stateStore
}

// New returns a guard that knows no fingerprint.
func New() *Guard {
	return &Guard{
		inFlight:         map[Fingerprint]*fingerprintState{},
		attemptsByTarget: map[string]map[*Attempt]struct{}{},
		proven:           newStateStore(maxProven),
		suspects:         newStateStore(maxSuspect),
	}
}

// Check returns where a request may go. Targets are all targets of its service.
func (guard *Guard) Check(now time.Time, fingerprint Fingerprint, targets []Target) Decision {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.decide(now, guard.findState(fingerprint), fingerprint, targets)
}

func (guard *Guard) decide(now time.Time, state *fingerprintState, fingerprint Fingerprint, targets []Target) Decision {
	switch {
	case state == nil:
		return guard.permitCandidates(fingerprint, targets, nil)
	case state.isQuarantined(now):
		return Decision{Verdict: Refuse, RemainingQuarantine: state.quarantinedUntil.Sub(now)}
	case state.isSuspect() && state.attemptsInFlight > 0:
		return Decision{Verdict: Wait, Changed: state.changed}
	case state.isSuspect() && len(state.crashedTargets) < crashesToQuarantine:
		return guard.permitCandidates(fingerprint, targets, state.crashedTargets)
	case state.isSuspect():
		return guard.permitCandidates(fingerprint, targets, nil)
	case state.isProven(now):
		return Decision{Verdict: Proceed, AnyTarget: true}
	case state.attemptsInFlight > 0:
		return guard.permitLastTarget(state, fingerprint, targets)
	}
	return guard.permitCandidates(fingerprint, targets, nil)
}

func (guard *Guard) permitCandidates(fingerprint Fingerprint, targets []Target, excluded []string) Decision {
	if guard.anyTargetAllowed {
		return Decision{Verdict: Proceed, AnyTarget: true}
	}
	permitted := candidates(fingerprint, targets)
	for _, name := range excluded {
		delete(permitted, name)
	}
	return Decision{Verdict: Proceed, PermittedTargets: permitted}
}

// permitLastTarget permits only the target of the identical request in flight.
func (guard *Guard) permitLastTarget(state *fingerprintState, fingerprint Fingerprint, targets []Target) Decision {
	if !guard.permitCandidates(fingerprint, targets, nil).Allows(state.lastTarget) {
		return Decision{Verdict: Wait, Changed: state.changed}
	}
	return Decision{Verdict: Proceed, PermittedTargets: map[string]bool{state.lastTarget: true}}
}

// StartAttempt records that a request is about to be sent to a target. It returns nil
// when the target is not permitted any more; the caller then checks again.
func (guard *Guard) StartAttempt(now time.Time, fingerprint Fingerprint, service, target string, targets []Target) *Attempt {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	state := guard.findState(fingerprint)
	if !guard.decide(now, state, fingerprint, targets).Allows(target) {
		return nil
	}
	if state == nil {
		state = &fingerprintState{fingerprint: fingerprint, service: service}
	}
	attempt := &Attempt{state: state, target: target}
	state.attemptsInFlight++
	state.lastTarget = target
	if state.changed == nil {
		state.changed = make(chan struct{})
	}
	guard.inFlight[fingerprint] = state
	if guard.attemptsByTarget[target] == nil {
		guard.attemptsByTarget[target] = map[*Attempt]struct{}{}
	}
	guard.attemptsByTarget[target][attempt] = struct{}{}
	return attempt
}

// RecordSuccess ends a flight with a complete answer of the target. It returns the
// report to send when that ends a suspicion.
func (guard *Guard) RecordSuccess(now time.Time, attempt *Attempt) []Report {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	// An answer that is complete in spite of a crash at its target counts too.
	guard.removeAttempt(attempt)
	state := guard.findState(attempt.state.fingerprint)
	if state == nil {
		state = attempt.state
	}
	state.provenUntil = now.Add(ProvenTTL)
	guard.proven.put(state)
	if !state.isSuspect() {
		return nil
	}
	state.clearSuspicion()
	guard.suspects.remove(state.fingerprint)
	state.wakeWaiters()
	return []Report{{Fingerprint: state.fingerprint, Service: state.service, Cleared: true}}
}

// EndAttempt ends a flight that neither succeeded nor met a crash.
func (guard *Guard) EndAttempt(attempt *Attempt) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.removeAttempt(attempt)
}

// RecordCrash ends a flight whose target closed or reset the connection before the
// answer, and with it every other flight at the target. It returns the reports
// to send to the other instances of the domain. Flights that were ended by the
// same crash return none.
func (guard *Guard) RecordCrash(now time.Time, crashed *Attempt) []Report {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if crashed.ended {
		return nil
	}
	suspects := map[Fingerprint]*fingerprintState{}
	for interrupted := range guard.attemptsByTarget[crashed.target] {
		state := interrupted.state
		guard.removeAttempt(interrupted)
		if state.isProven(now) {
			// A crash uses up the proof: what succeeded before is unproven
			// until it succeeds again.
			state.provenUntil = time.Time{}
			guard.proven.remove(state.fingerprint)
			continue
		}
		suspects[state.fingerprint] = state
	}
	var reports []Report
	for _, state := range suspects {
		state.addCrash(crashed.target)
		state.startQuarantineIfDue(now)
		guard.suspects.put(state)
		reports = append(reports, state.crashReport(now, crashed.target))
	}
	slices.SortFunc(reports, func(a, b Report) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return reports
}

func (state *fingerprintState) crashReport(now time.Time, target string) Report {
	return Report{Fingerprint: state.fingerprint, Service: state.service, Target: target, RemainingQuarantine: max(0, state.quarantinedUntil.Sub(now))}
}

// ReceiveReport applies a report of another instance.
func (guard *Guard) ReceiveReport(now time.Time, report Report) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	state := guard.findState(report.Fingerprint)
	if report.Cleared {
		if state != nil {
			state.clearSuspicion()
			guard.suspects.remove(report.Fingerprint)
			state.wakeWaiters()
		}
		return
	}
	if state == nil {
		state = &fingerprintState{fingerprint: report.Fingerprint, service: report.Service}
	}
	if state.isProven(now) && report.RemainingQuarantine == 0 {
		return
	}
	guard.proven.remove(report.Fingerprint)
	// A report that arrives again about a known target starts no quarantine.
	if state.addCrash(report.Target) {
		state.startQuarantineIfDue(now)
	}
	state.extendQuarantine(now, report.RemainingQuarantine)
	guard.suspects.put(state)
}

// QuarantineReports returns reports of at most limit fingerprints in quarantine,
// those that changed last first.
func (guard *Guard) QuarantineReports(now time.Time, limit int) []Report {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	var reports []Report
	for element := guard.suspects.order.Front(); element != nil && len(reports) < limit; element = element.Next() {
		if state := element.Value.(*fingerprintState); state.isQuarantined(now) {
			reports = append(reports, state.crashReport(now, state.crashedTargets[len(state.crashedTargets)-1]))
		}
	}
	return reports
}

func (guard *Guard) findState(fingerprint Fingerprint) *fingerprintState {
	if state := guard.inFlight[fingerprint]; state != nil {
		return state
	}
	if state := guard.suspects.get(fingerprint); state != nil {
		return state
	}
	return guard.proven.get(fingerprint)
}

func (guard *Guard) removeAttempt(attempt *Attempt) bool {
	if attempt.ended {
		return false
	}
	attempt.ended = true
	delete(guard.attemptsByTarget[attempt.target], attempt)
	if len(guard.attemptsByTarget[attempt.target]) == 0 {
		delete(guard.attemptsByTarget, attempt.target)
	}
	state := attempt.state
	state.attemptsInFlight--
	if state.attemptsInFlight == 0 {
		delete(guard.inFlight, state.fingerprint)
	}
	state.wakeWaiters()
	return true
}
