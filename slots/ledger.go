package slots

import (
	"fmt"
	"sort"
	"time"
)

// Cause tells why a slot was released.
type Cause int

// Causes of a release. The numbers are those of the peer protocol.
const (
	Answered      Cause = 1
	Shed          Cause = 2
	ConnectFailed Cause = 3
	Crashed       Cause = 4
	TimedOut      Cause = 5
	Unused        Cause = 6
	// Leaving means answered, with the news that the target is leaving.
	Leaving Cause = 7
)

// String returns the name of the cause in kebab case.
func (c Cause) String() string {
	names := [...]string{"unspecified", "answered", "shed", "connect-failed", "crashed", "timed-out", "unused", "leaving"}
	if c < 0 || int(c) >= len(names) {
		return "unspecified"
	}
	return names[c]
}

// Target is a target whose slots are granted here.
type Target struct {
	Name    string
	Service string
	Domain  string
	Slots   int
}

// Grant is one granted slot.
type Grant struct {
	ID      uint64
	Target  string
	Holder  string
	Issued  time.Time
	Expires time.Time
}

// Reason tells why a slot was not granted.
type Reason string

// Reasons of an *UnavailableError.
const (
	ReasonUnknown   Reason = "not-home"
	ReasonLeaving   Reason = "leaving"
	ReasonDown      Reason = "down"
	ReasonBusy      Reason = "busy"
	ReasonSuspended Reason = "suspended"
)

// UnavailableError means that a target has no slot to grant.
type UnavailableError struct {
	Target string
	Reason Reason
}

// Error names the target and the reason.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("slots: no slot of %s: %s", e.Target, e.Reason)
}

type entry struct {
	target  Target
	limit   int // Slots that may be granted now; below target.Slots during a ramp.
	leaving bool
	down    bool // No grants until a probe succeeds.
	open    map[uint64]Grant
	assumed []time.Time // Expiry of slots of an earlier home that may be in use.
	foreign map[uint64]bool

	handedOff bool // The previous home's count was taken.
}

func (e *entry) used() int { return len(e.open) + len(e.assumed) }

func (e *entry) free() int {
	if e.leaving || e.down {
		return 0
	}
	return max(0, min(e.limit, e.target.Slots)-e.used())
}

// Ledger counts the slots of the targets whose home is this instance.
type Ledger struct {
	incarnation uint64
	next        uint64
	suspended   bool
	entries     map[string]*entry
	byService   map[string][]*entry // In the order of the names.
}

// incarnationBits is the part of a grant id that identifies the issuing home.
const incarnationBits = 32

// New returns an empty ledger. The incarnation must differ between all homes
// that may grant slots of the same target; its low 32 bits are used.
func New(incarnation uint64) *Ledger {
	return &Ledger{incarnation: incarnation << incarnationBits, entries: map[string]*entry{}, byService: map[string][]*entry{}}
}

// Adopt makes this instance the home of a target, or updates the number of
// slots of one that it already has. When another instance may have granted
// slots before, busyUntil is the time by which all its grants have expired;
// all slots are assumed busy until then. A zero busyUntil means that the
// target had no home before.
func (l *Ledger) Adopt(target Target, busyUntil time.Time) {
	if e, ok := l.entries[target.Name]; ok {
		l.resize(e, target)
		return
	}
	e := &entry{target: target, limit: target.Slots, open: map[uint64]Grant{}, foreign: map[uint64]bool{}}
	if !busyUntil.IsZero() {
		for range target.Slots {
			e.assumed = append(e.assumed, busyUntil)
		}
	}
	l.entries[target.Name] = e
	l.index()
}

func (l *Ledger) resize(e *entry, target Target) {
	if e.limit == e.target.Slots {
		e.limit = target.Slots
	}
	e.target = target
	l.index()
}

// Busy returns the slots of a target that are granted or assumed to be in use.
func (l *Ledger) Busy(target string) int {
	if e := l.entries[target]; e != nil {
		return e.used()
	}
	return 0
}

// HandedOff takes the count of slots that were in use when the previous home
// dropped a target, which ends the assumption that all of them are. Slots that
// were released here since then are part of that count.
func (l *Ledger) HandedOff(target string, busy int) {
	e := l.entries[target]
	if e == nil || e.handedOff {
		return
	}
	e.handedOff = true
	if left := max(0, busy-len(e.foreign)); left < len(e.assumed) {
		e.assumed = e.assumed[:left]
	}
}

// Drop ends the role of home of a target. Its open grants are forgotten here;
// their holders release them at the new home.
func (l *Ledger) Drop(target string) {
	delete(l.entries, target)
	l.index()
}

func (l *Ledger) index() {
	l.byService = map[string][]*entry{}
	for _, name := range l.Targets() {
		e := l.entries[name]
		l.byService[e.target.Service] = append(l.byService[e.target.Service], e)
	}
}

// Targets returns the names of the targets, sorted.
func (l *Ledger) Targets() []string {
	names := make([]string, 0, len(l.entries))
	for name := range l.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Has reports whether this instance is the home of a target.
func (l *Ledger) Has(target string) bool { return l.entries[target] != nil }

// Best returns the target of a service with the most free slots that is not
// excluded, the first by name among equals, and false when none has a free slot.
func (l *Ledger) Best(service string, excluded func(target string) bool) (string, bool) {
	best, most := "", 0
	if l.suspended {
		return best, false
	}
	for _, e := range l.byService[service] {
		if free := e.free(); free > most && !excluded(e.target.Name) {
			best, most = e.target.Name, free
		}
	}
	return best, most > 0
}

// Load returns the busy slots and the slots in service of a service's targets.
// Targets that leave or are down have none in service.
func (l *Ledger) Load(service string) (busy, inService int) {
	for _, e := range l.byService[service] {
		if e.leaving || e.down || l.suspended {
			continue
		}
		busy += e.used()
		inService += min(e.limit, e.target.Slots)
	}
	return busy, inService
}

// Acquire grants one slot of a target until expires, or returns an
// *UnavailableError.
func (l *Ledger) Acquire(now time.Time, target, holder string, expires time.Time) (Grant, error) {
	e := l.entries[target]
	if reason := l.unavailable(e); reason != "" {
		return Grant{}, &UnavailableError{Target: target, Reason: reason}
	}
	l.next++
	g := Grant{ID: l.incarnation | l.next&(1<<incarnationBits-1), Target: target, Holder: holder, Issued: now, Expires: expires}
	e.open[g.ID] = g
	return g, nil
}

func (l *Ledger) unavailable(e *entry) Reason {
	switch {
	case e == nil:
		return ReasonUnknown
	case l.suspended:
		return ReasonSuspended
	case e.leaving:
		return ReasonLeaving
	case e.down:
		return ReasonDown
	case e.free() == 0:
		return ReasonBusy
	}
	return ""
}

// Release ends a grant. It returns the grant and whether the release freed a
// slot; a duplicate, late or unknown release does not. A release of an earlier
// home's grant frees one assumed slot and returns a Grant without times.
func (l *Ledger) Release(target string, id uint64, cause Cause) (Grant, bool) {
	e := l.entries[target]
	if e == nil {
		return Grant{}, false
	}
	g, own := e.open[id]
	if own {
		delete(e.open, id)
	} else if !l.releaseAssumed(e, id) {
		return Grant{}, false
	} else {
		g = Grant{ID: id, Target: target}
	}
	e.learn(cause)
	return g, true
}

func (l *Ledger) releaseAssumed(e *entry, id uint64) bool {
	sequence := id & (1<<incarnationBits - 1)
	issuedHere := id-sequence == l.incarnation
	if sequence == 0 || issuedHere || e.foreign[id] || len(e.assumed) == 0 {
		return false
	}
	e.foreign[id] = true
	e.assumed = e.assumed[1:]
	return true
}

// learn adapts the limit to how a request ended.
func (e *entry) learn(cause Cause) {
	switch cause {
	case Answered:
		e.limit = min(e.limit+1, e.target.Slots)
	case Shed:
		e.limit = max(1, min(e.limit, e.used()))
	case ConnectFailed, Crashed:
		e.down = true
	case Leaving:
		e.leaving = true
	}
}

// ProbeSucceeded returns a target to service with one slot after it was down.
// Slots of requests that still run count against it.
func (l *Ledger) ProbeSucceeded(target string) {
	if e := l.entries[target]; e != nil && e.down {
		e.down = false
		e.limit = 1
	}
}

// Down returns the targets that wait for a successful probe, sorted.
func (l *Ledger) Down() []string {
	var down []string
	for _, name := range l.Targets() {
		if e := l.entries[name]; e.down && !e.leaving {
			down = append(down, name)
		}
	}
	return down
}

// Leave stops all grants of a target. Open grants stay until they end.
func (l *Ledger) Leave(target string) {
	if e := l.entries[target]; e != nil {
		e.leaving = true
	}
}

// Rejoin returns a target that was leaving to service with one slot.
func (l *Ledger) Rejoin(target string) {
	if e := l.entries[target]; e != nil && e.leaving {
		e.leaving = false
		e.limit = 1
	}
}

// Expire ends all grants and assumed slots whose time has passed and returns
// the grants.
func (l *Ledger) Expire(now time.Time) []Grant {
	var expired []Grant
	for _, e := range l.entries {
		for id, g := range e.open {
			if !now.Before(g.Expires) {
				delete(e.open, id)
				expired = append(expired, g)
			}
		}
		for len(e.assumed) > 0 && !now.Before(e.assumed[0]) {
			e.assumed = e.assumed[1:]
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].ID < expired[j].ID })
	return expired
}

// Suspend stops all grants, after a detected freeze and until Resume.
func (l *Ledger) Suspend() { l.suspended = true }

// Resume ends a suspension. The caller must first have dropped the targets
// whose home is now another instance.
func (l *Ledger) Resume() { l.suspended = false }
