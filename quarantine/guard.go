package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	maxProven  = 32768 // Fingerprints.
	maxSuspect = 4096  // Fingerprints.
)

// Verdict says how to handle a request.
type Verdict int

const (
	// Proceed means that the request may go to the permitted targets.
	Proceed Verdict = iota + 1
	// Wait means that an identical request is in flight and must end before this
	// one may be sent.
	Wait
	// Refuse means that the fingerprint is in quarantine. No target executed
	// the request.
	Refuse
)

// Decision is the result of Guard.Check.
type Decision struct {
	Verdict Verdict
	// AnyTarget is true when every target is permitted.
	AnyTarget bool
	// PermittedTargets holds the names of the permitted targets unless
	// AnyTarget is true.
	PermittedTargets map[string]bool
	// Changed is closed when the caller should call Check again. Set only with the
	// verdict Wait.
	Changed <-chan struct{}
	// RemainingQuarantine is the time until the quarantine ends. Set only with the
	// verdict Refuse.
	RemainingQuarantine time.Duration
}

// Allows reports whether the request may go to a target now.
func (decision Decision) Allows(target string) bool {
	return decision.Verdict == Proceed && (decision.AnyTarget || decision.PermittedTargets[target])
}

// Attempt is one sending of a request to a target.
type Attempt struct {
	state  *fingerprintState
	target string
	ended  bool
}

// Report is a message about a fingerprint to the other instances of a domain.
type Report struct {
	Fingerprint         Fingerprint
	Service             string
	Target              string        // Target that crashed; empty if Cleared is true.
	Cleared             bool          // A request succeeded, which ends the suspicion.
	RemainingQuarantine time.Duration // 0 if the fingerprint is suspect but not in quarantine.
}

// Guard decides to which targets requests may be sent. It is safe for concurrent
// use.
type Guard struct {
	// anyTargetAllowed disables the limit of two targets per domain. A test sets it
	// to show that reports between instances alone do not keep the limit.
	anyTargetAllowed bool

	mu               sync.Mutex
	inFlight         map[Fingerprint]*fingerprintState
	attemptsByTarget map[string]map[*Attempt]struct{}
	proven           *stateStore
	suspects         *stateStore
}

// New returns a guard without known fingerprints.
func New() *Guard {
	return &Guard{
		inFlight:         map[Fingerprint]*fingerprintState{},
		attemptsByTarget: map[string]map[*Attempt]struct{}{},
		proven:           newStateStore(maxProven),
		suspects:         newStateStore(maxSuspect),
	}
}

// Check returns whether and to which targets a request may be sent. The argument
// targets must hold all targets of the request's service.
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

// permitCandidates permits the candidates of an unproven fingerprint other than
// the excluded targets.
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

// permitLastTarget permits only the target of the identical request in flight. The
// request must wait if this target is no longer a candidate.
func (guard *Guard) permitLastTarget(state *fingerprintState, fingerprint Fingerprint, targets []Target) Decision {
	if !guard.permitCandidates(fingerprint, targets, nil).Allows(state.lastTarget) {
		return Decision{Verdict: Wait, Changed: state.changed}
	}
	return Decision{Verdict: Proceed, PermittedTargets: map[string]bool{state.lastTarget: true}}
}

// StartAttempt records that a request is about to be sent to a target. It returns
// nil if the target is no longer permitted; the caller must then call Check again.
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

// RecordSuccess ends an attempt with a complete response of the target. If this
// ends a suspicion, it returns the report to send to the other instances of the
// domain.
func (guard *Guard) RecordSuccess(now time.Time, attempt *Attempt) []Report {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	// A complete response is a success even if a crash of the target has already
	// ended the attempt.
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

// EndAttempt ends an attempt that neither succeeded nor was ended by a crash.
func (guard *Guard) EndAttempt(attempt *Attempt) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.removeAttempt(attempt)
}

// RecordCrash ends an attempt whose target closed or reset the connection before
// the response was complete, and every other attempt in flight at the target. It
// returns the reports to send to the other instances of the domain. For an attempt
// that has already been ended by the same crash it returns none.
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
			// A proven fingerprint does not become suspect, but it is unproven
			// until a request with it succeeds again.
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

// crashReport returns the report about a crash of a target.
func (state *fingerprintState) crashReport(now time.Time, target string) Report {
	return Report{Fingerprint: state.fingerprint, Service: state.service, Target: target,
		RemainingQuarantine: max(0, state.quarantinedUntil.Sub(now))}
}

// ReceiveReport applies a report of a peer.
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
	// A further report about a target that is known to have crashed starts no
	// quarantine.
	if state.addCrash(report.Target) {
		state.startQuarantineIfDue(now)
	}
	state.extendQuarantine(now, report.RemainingQuarantine)
	guard.suspects.put(state)
}

// QuarantineReports returns reports about fingerprints in quarantine, at most
// limit, those that changed last first.
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

// removeAttempt ends an attempt and reports whether it was still in flight.
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
