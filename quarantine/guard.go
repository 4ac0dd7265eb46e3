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
func (d Decision) Allows(target string) bool {
	return d.Verdict == Proceed && (d.AnyTarget || d.PermittedTargets[target])
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
func (g *Guard) Check(now time.Time, f Fingerprint, targets []Target) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decide(now, g.findState(f), f, targets)
}

func (g *Guard) decide(now time.Time, e *fingerprintState, f Fingerprint, targets []Target) Decision {
	switch {
	case e == nil:
		return g.permitCandidates(f, targets, nil)
	case e.isQuarantined(now):
		return Decision{Verdict: Refuse, RemainingQuarantine: e.quarantinedUntil.Sub(now)}
	case e.isSuspect() && e.attemptsInFlight > 0:
		return Decision{Verdict: Wait, Changed: e.changed}
	case e.isSuspect() && len(e.crashedTargets) < crashesToQuarantine:
		return g.permitCandidates(f, targets, e.crashedTargets)
	case e.isSuspect():
		return g.permitCandidates(f, targets, nil)
	case e.isProven(now):
		return Decision{Verdict: Proceed, AnyTarget: true}
	case e.attemptsInFlight > 0:
		return g.permitLastTarget(e, f, targets)
	}
	return g.permitCandidates(f, targets, nil)
}

func (g *Guard) permitCandidates(f Fingerprint, targets []Target, except []string) Decision {
	if g.anyTargetAllowed {
		return Decision{Verdict: Proceed, AnyTarget: true}
	}
	names := candidates(f, targets)
	for _, name := range except {
		delete(names, name)
	}
	return Decision{Verdict: Proceed, PermittedTargets: names}
}

// permitLastTarget permits only the target of the identical request in flight.
func (g *Guard) permitLastTarget(e *fingerprintState, f Fingerprint, targets []Target) Decision {
	if !g.permitCandidates(f, targets, nil).Allows(e.lastTarget) {
		return Decision{Verdict: Wait, Changed: e.changed}
	}
	return Decision{Verdict: Proceed, PermittedTargets: map[string]bool{e.lastTarget: true}}
}

// StartAttempt records that a request is about to be sent to a target. It returns nil
// when the target is not permitted any more; the caller then checks again.
func (g *Guard) StartAttempt(now time.Time, f Fingerprint, service, target string, targets []Target) *Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.findState(f)
	if !g.decide(now, e, f, targets).Allows(target) {
		return nil
	}
	if e == nil {
		e = &fingerprintState{fingerprint: f, service: service}
	}
	flight := &Attempt{state: e, target: target}
	e.attemptsInFlight++
	e.lastTarget = target
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	g.inFlight[f] = e
	if g.attemptsByTarget[target] == nil {
		g.attemptsByTarget[target] = map[*Attempt]struct{}{}
	}
	g.attemptsByTarget[target][flight] = struct{}{}
	return flight
}

// RecordSuccess ends a flight with a complete answer of the target. It returns the
// report to send when that ends a suspicion.
func (g *Guard) RecordSuccess(now time.Time, flight *Attempt) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	// An answer that is complete in spite of a crash at its target counts too.
	g.removeAttempt(flight)
	e := g.findState(flight.state.fingerprint)
	if e == nil {
		e = flight.state
	}
	e.provenUntil = now.Add(ProvenTTL)
	g.proven.put(e)
	if !e.isSuspect() {
		return nil
	}
	e.clearSuspicion()
	g.suspects.remove(e.fingerprint)
	e.wakeWaiters()
	return []Report{{Fingerprint: e.fingerprint, Service: e.service, Cleared: true}}
}

// EndAttempt ends a flight that neither succeeded nor met a crash.
func (g *Guard) EndAttempt(flight *Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeAttempt(flight)
}

// RecordCrash ends a flight whose target closed or reset the connection before the
// answer, and with it every other flight at the target. It returns the reports
// to send to the other instances of the domain. Flights that were ended by the
// same crash return none.
func (g *Guard) RecordCrash(now time.Time, flight *Attempt) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if flight.ended {
		return nil
	}
	blamed := map[Fingerprint]*fingerprintState{}
	for other := range g.attemptsByTarget[flight.target] {
		e := other.state
		g.removeAttempt(other)
		if e.isProven(now) {
			// A crash uses up the proof: what succeeded before is unproven
			// until it succeeds again.
			e.provenUntil = time.Time{}
			g.proven.remove(e.fingerprint)
			continue
		}
		blamed[e.fingerprint] = e
	}
	var reports []Report
	for _, e := range blamed {
		e.addCrash(flight.target)
		e.startQuarantineIfDue(now)
		g.suspects.put(e)
		reports = append(reports, e.crashReport(now, flight.target))
	}
	slices.SortFunc(reports, func(a, b Report) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return reports
}

func (e *fingerprintState) crashReport(now time.Time, target string) Report {
	return Report{Fingerprint: e.fingerprint, Service: e.service, Target: target, RemainingQuarantine: max(0, e.quarantinedUntil.Sub(now))}
}

// ReceiveReport applies a report of another instance.
func (g *Guard) ReceiveReport(now time.Time, r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.findState(r.Fingerprint)
	if r.Cleared {
		if e != nil {
			e.clearSuspicion()
			g.suspects.remove(r.Fingerprint)
			e.wakeWaiters()
		}
		return
	}
	if e == nil {
		e = &fingerprintState{fingerprint: r.Fingerprint, service: r.Service}
	}
	if e.isProven(now) && r.RemainingQuarantine == 0 {
		return
	}
	g.proven.remove(r.Fingerprint)
	// A report that arrives again about a known target starts no quarantine.
	if e.addCrash(r.Target) {
		e.startQuarantineIfDue(now)
	}
	e.extendQuarantine(now, r.RemainingQuarantine)
	g.suspects.put(e)
}

// QuarantineReports returns reports of at most limit fingerprints in quarantine,
// those that changed last first.
func (g *Guard) QuarantineReports(now time.Time, limit int) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []Report
	for element := g.suspects.order.Front(); element != nil && len(reports) < limit; element = element.Next() {
		if e := element.Value.(*fingerprintState); e.isQuarantined(now) {
			reports = append(reports, e.crashReport(now, e.crashedTargets[len(e.crashedTargets)-1]))
		}
	}
	return reports
}

func (g *Guard) findState(f Fingerprint) *fingerprintState {
	if e := g.inFlight[f]; e != nil {
		return e
	}
	if e := g.suspects.get(f); e != nil {
		return e
	}
	return g.proven.get(f)
}

func (g *Guard) removeAttempt(flight *Attempt) bool {
	if flight.ended {
		return false
	}
	flight.ended = true
	delete(g.attemptsByTarget[flight.target], flight)
	if len(g.attemptsByTarget[flight.target]) == 0 {
		delete(g.attemptsByTarget, flight.target)
	}
	e := flight.state
	e.attemptsInFlight--
	if e.attemptsInFlight == 0 {
		delete(g.inFlight, e.fingerprint)
	}
	e.wakeWaiters()
	return true
}
