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
	// Any is true when every target is permitted.
	Any bool
	// Permitted holds the names of the permitted targets unless Any is true.
	Permitted map[string]bool
	// Changed is closed when a waiting request may check again. Wait only.
	Changed <-chan struct{}
	// Remaining is the rest of the quarantine. Refuse only.
	Remaining time.Duration
}

// Allows reports whether the request may go to a target now.
func (d Decision) Allows(target string) bool {
	return d.Verdict == Proceed && (d.Any || d.Permitted[target])
}

// Flight is a request that was sent to a target.
type Flight struct {
	entry  *entry
	target string
	ended  bool
}

// Report is a message about a fingerprint to the other instances of a domain.
type Report struct {
	Fingerprint Fingerprint
	Service     string
	Target      string        // Target that crashed; empty when Cleared.
	Cleared     bool          // The request succeeded.
	Quarantine  time.Duration // Remaining quarantine; 0 when only suspect.
}

// Guard decides where requests may go. It is safe for concurrent use.
type Guard struct {
	// unrestricted lifts the limit to two targets of a domain, so that a test
	// can show that messages alone do not keep the bound.
	unrestricted bool

	mu       sync.Mutex
	flying   map[Fingerprint]*entry
	byTarget map[string]map[*Flight]struct{}
	proven   *store
	suspects *store
}

// New returns a guard that knows no fingerprint.
func New() *Guard {
	return &Guard{
		flying:   map[Fingerprint]*entry{},
		byTarget: map[string]map[*Flight]struct{}{},
		proven:   newStore(maxProven),
		suspects: newStore(maxSuspect),
	}
}

// Check returns where a request may go. Targets are all targets of its service.
func (g *Guard) Check(now time.Time, f Fingerprint, targets []Target) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(now, g.find(f), f, targets)
}

func (g *Guard) check(now time.Time, e *entry, f Fingerprint, targets []Target) Decision {
	switch {
	case e == nil:
		return g.restricted(f, targets, nil)
	case e.quarantined(now):
		return Decision{Verdict: Refuse, Remaining: e.until.Sub(now)}
	case e.suspect() && e.flights > 0:
		return Decision{Verdict: Wait, Changed: e.changed}
	case e.suspect() && len(e.crashed) < crashesToQuarantine:
		return g.restricted(f, targets, e.crashed)
	case e.suspect():
		return g.restricted(f, targets, nil)
	case e.proven(now):
		return Decision{Verdict: Proceed, Any: true}
	case e.flights > 0:
		return g.bound(e, f, targets)
	}
	return g.restricted(f, targets, nil)
}

func (g *Guard) restricted(f Fingerprint, targets []Target, except []string) Decision {
	if g.unrestricted {
		return Decision{Verdict: Proceed, Any: true}
	}
	names := candidates(f, targets)
	for _, name := range except {
		delete(names, name)
	}
	return Decision{Verdict: Proceed, Permitted: names}
}

// bound permits only the target of the identical request in flight.
func (g *Guard) bound(e *entry, f Fingerprint, targets []Target) Decision {
	if !g.restricted(f, targets, nil).Allows(e.target) {
		return Decision{Verdict: Wait, Changed: e.changed}
	}
	return Decision{Verdict: Proceed, Permitted: map[string]bool{e.target: true}}
}

// Start records that a request is about to be sent to a target. It returns nil
// when the target is not permitted any more; the caller then checks again.
func (g *Guard) Start(now time.Time, f Fingerprint, service, target string, targets []Target) *Flight {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.find(f)
	if !g.check(now, e, f, targets).Allows(target) {
		return nil
	}
	if e == nil {
		e = &entry{fingerprint: f, service: service}
	}
	flight := &Flight{entry: e, target: target}
	e.flights++
	e.target = target
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	g.flying[f] = e
	if g.byTarget[target] == nil {
		g.byTarget[target] = map[*Flight]struct{}{}
	}
	g.byTarget[target][flight] = struct{}{}
	return flight
}

// Succeeded ends a flight with a complete answer of the target. It returns the
// report to send when that ends a suspicion.
func (g *Guard) Succeeded(now time.Time, flight *Flight) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	// An answer that is complete in spite of a crash at its target counts too.
	g.end(flight)
	e := g.find(flight.entry.fingerprint)
	if e == nil {
		e = flight.entry
	}
	e.provenUntil = now.Add(ProofLifetime)
	g.proven.put(e)
	if !e.suspect() {
		return nil
	}
	e.clear()
	g.suspects.remove(e.fingerprint)
	e.wake()
	return []Report{{Fingerprint: e.fingerprint, Service: e.service, Cleared: true}}
}

// Ended ends a flight that neither succeeded nor met a crash.
func (g *Guard) Ended(flight *Flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end(flight)
}

// Crashed ends a flight whose target closed or reset the connection before the
// answer, and with it every other flight at the target. It returns the reports
// to send to the other instances of the domain. Flights that were ended by the
// same crash return none.
func (g *Guard) Crashed(now time.Time, flight *Flight) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if flight.ended {
		return nil
	}
	blamed := map[Fingerprint]*entry{}
	for other := range g.byTarget[flight.target] {
		e := other.entry
		g.end(other)
		if e.proven(now) {
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
		e.note(flight.target)
		e.isolate(now)
		g.suspects.put(e)
		reports = append(reports, e.report(now, flight.target))
	}
	slices.SortFunc(reports, func(a, b Report) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return reports
}

func (e *entry) report(now time.Time, target string) Report {
	return Report{Fingerprint: e.fingerprint, Service: e.service, Target: target, Quarantine: max(0, e.until.Sub(now))}
}

// Receive applies a report of another instance.
func (g *Guard) Receive(now time.Time, r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.find(r.Fingerprint)
	if r.Cleared {
		if e != nil {
			e.clear()
			g.suspects.remove(r.Fingerprint)
			e.wake()
		}
		return
	}
	if e == nil {
		e = &entry{fingerprint: r.Fingerprint, service: r.Service}
	}
	if e.proven(now) && r.Quarantine == 0 {
		return
	}
	g.proven.remove(r.Fingerprint)
	// A report that arrives again about a known target starts no quarantine.
	if e.note(r.Target) {
		e.isolate(now)
	}
	e.extend(now, r.Quarantine)
	g.suspects.put(e)
}

// Quarantined returns reports of at most limit fingerprints in quarantine,
// those that changed last first.
func (g *Guard) Quarantined(now time.Time, limit int) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []Report
	for element := g.suspects.order.Front(); element != nil && len(reports) < limit; element = element.Next() {
		if e := element.Value.(*entry); e.quarantined(now) {
			reports = append(reports, e.report(now, e.crashed[len(e.crashed)-1]))
		}
	}
	return reports
}

func (g *Guard) find(f Fingerprint) *entry {
	if e := g.flying[f]; e != nil {
		return e
	}
	if e := g.suspects.get(f); e != nil {
		return e
	}
	return g.proven.get(f)
}

func (g *Guard) end(flight *Flight) bool {
	if flight.ended {
		return false
	}
	flight.ended = true
	delete(g.byTarget[flight.target], flight)
	if len(g.byTarget[flight.target]) == 0 {
		delete(g.byTarget, flight.target)
	}
	e := flight.entry
	e.flights--
	if e.flights == 0 {
		delete(g.flying, e.fingerprint)
	}
	e.wake()
	return true
}
