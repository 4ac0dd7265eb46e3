package slots

import (
	"fmt"
	"sort"
	"time"
)

// ReleaseCause tells why a slot was released.
type ReleaseCause int

// Causes of a release. The numbers are those of the peer protocol.
const (
	Answered      ReleaseCause = 1
	Shed          ReleaseCause = 2
	ConnectFailed ReleaseCause = 3
	Crashed       ReleaseCause = 4
	TimedOut      ReleaseCause = 5
	Unused        ReleaseCause = 6
	// Leaving means answered, with the news that the target is leaving.
	Leaving ReleaseCause = 7
)

// String returns the name of the cause in kebab case.
func (c ReleaseCause) String() string {
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

// UnavailableReason tells why a slot was not granted.
type UnavailableReason string

// Reasons of an *UnavailableError.
const (
	ReasonNotHome   UnavailableReason = "not-home"
	ReasonLeaving   UnavailableReason = "leaving"
	ReasonDown      UnavailableReason = "down"
	ReasonBusy      UnavailableReason = "busy"
	ReasonSuspended UnavailableReason = "suspended"
)

// UnavailableError means that a target has no slot to grant.
type UnavailableError struct {
	Target string
	Reason UnavailableReason
}

// Error names the target and the reason.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("slots: no slot of %s: %s", e.Target, e.Reason)
}

type targetState struct {
	target          Target
	slotLimit       int // Slots that may be granted now; below target.Slots during a ramp.
	leaving         bool
	down            bool // No grants until a probe succeeds.
	openGrants      map[uint64]Grant
	assumedBusy     []time.Time // Expiry of slots of an earlier home that may be in use.
	releasedForeign map[uint64]bool

	handOffApplied bool // The previous home's count was taken.
}

func (e *targetState) busySlots() int { return len(e.openGrants) + len(e.assumedBusy) }

func (e *targetState) freeSlots() int {
	if e.leaving || e.down {
		return 0
	}
	return max(0, min(e.slotLimit, e.target.Slots)-e.busySlots())
}

// Ledger counts the slots of the targets whose home is this instance.
type Ledger struct {
	incarnation  uint64
	lastSequence uint64
	suspended    bool
	entries      map[string]*targetState
	byService    map[string][]*targetState // In the order of the names.
}

// sequenceBits is the part of a grant id that identifies the issuing home.
const sequenceBits = 32

// New returns an empty ledger. The incarnation must differ between all homes
// that may grant slots of the same target; its low 32 bits are used.
func New(incarnation uint64) *Ledger {
	return &Ledger{incarnation: incarnation << sequenceBits, entries: map[string]*targetState{}, byService: map[string][]*targetState{}}
}

// SetTarget makes this instance the home of a target, or updates the number of
// slots of one that it already has. When another instance may have granted
// slots before, busyUntil is the time by which all its grants have expired;
// all slots are assumed busy until then. A zero busyUntil means that the
// target had no home before.
func (l *Ledger) SetTarget(target Target, busyUntil time.Time) {
	if e, ok := l.entries[target.Name]; ok {
		l.updateTarget(e, target)
		return
	}
	e := &targetState{target: target, slotLimit: target.Slots, openGrants: map[uint64]Grant{}, releasedForeign: map[uint64]bool{}}
	if !busyUntil.IsZero() {
		for range target.Slots {
			e.assumedBusy = append(e.assumedBusy, busyUntil)
		}
	}
	l.entries[target.Name] = e
	l.rebuildServiceIndex()
}

func (l *Ledger) updateTarget(e *targetState, target Target) {
	if e.slotLimit == e.target.Slots {
		e.slotLimit = target.Slots
	}
	e.target = target
	l.rebuildServiceIndex()
}

// BusySlots returns the slots of a target that are granted or assumed to be in use.
func (l *Ledger) BusySlots(target string) int {
	if e := l.entries[target]; e != nil {
		return e.busySlots()
	}
	return 0
}

// ApplyHandOff takes the count of slots that were in use when the previous home
// dropped a target, which ends the assumption that all of them are. Slots that
// were released here since then are part of that count.
func (l *Ledger) ApplyHandOff(target string, busy int) {
	e := l.entries[target]
	if e == nil || e.handOffApplied {
		return
	}
	e.handOffApplied = true
	if left := max(0, busy-len(e.releasedForeign)); left < len(e.assumedBusy) {
		e.assumedBusy = e.assumedBusy[:left]
	}
}

// RemoveTarget ends the role of home of a target. Its open grants are forgotten here;
// their holders release them at the new home.
func (l *Ledger) RemoveTarget(target string) {
	delete(l.entries, target)
	l.rebuildServiceIndex()
}

func (l *Ledger) rebuildServiceIndex() {
	l.byService = map[string][]*targetState{}
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

// IsHome reports whether this instance is the home of a target.
func (l *Ledger) IsHome(target string) bool { return l.entries[target] != nil }

// MostFreeTarget returns the target of a service with the most free slots that is not
// excluded, the first by name among equals, and false when none has a free slot.
func (l *Ledger) MostFreeTarget(service string, excluded func(target string) bool) (string, bool) {
	best, most := "", 0
	if l.suspended {
		return best, false
	}
	for _, e := range l.byService[service] {
		if free := e.freeSlots(); free > most && !excluded(e.target.Name) {
			best, most = e.target.Name, free
		}
	}
	return best, most > 0
}

// ServiceLoad returns the busy slots and the slots in service of a service's targets.
// Targets that leave or are down have none in service.
func (l *Ledger) ServiceLoad(service string) (busy, inService int) {
	for _, e := range l.byService[service] {
		if e.leaving || e.down || l.suspended {
			continue
		}
		busy += e.busySlots()
		inService += min(e.slotLimit, e.target.Slots)
	}
	return busy, inService
}

// Acquire grants one slot of a target until expires, or returns an
// *UnavailableError.
func (l *Ledger) Acquire(now time.Time, target, holder string, expires time.Time) (Grant, error) {
	e := l.entries[target]
	if reason := l.unavailableReason(e); reason != "" {
		return Grant{}, &UnavailableError{Target: target, Reason: reason}
	}
	l.lastSequence++
	g := Grant{ID: l.incarnation | l.lastSequence&(1<<sequenceBits-1), Target: target, Holder: holder, Issued: now, Expires: expires}
	e.openGrants[g.ID] = g
	return g, nil
}

func (l *Ledger) unavailableReason(e *targetState) UnavailableReason {
	switch {
	case e == nil:
		return ReasonNotHome
	case l.suspended:
		return ReasonSuspended
	case e.leaving:
		return ReasonLeaving
	case e.down:
		return ReasonDown
	case e.freeSlots() == 0:
		return ReasonBusy
	}
	return ""
}

// Release ends a grant. It returns the grant and whether the release freed a
// slot; a duplicate, late or unknown release does not. A release of an earlier
// home's grant frees one assumed slot and returns a Grant without times.
func (l *Ledger) Release(target string, id uint64, cause ReleaseCause) (Grant, bool) {
	e := l.entries[target]
	if e == nil {
		return Grant{}, false
	}
	g, own := e.openGrants[id]
	if own {
		delete(e.openGrants, id)
	} else if !l.releaseAssumed(e, id) {
		return Grant{}, false
	} else {
		g = Grant{ID: id, Target: target}
	}
	e.adjustToOutcome(cause)
	return g, true
}

func (l *Ledger) releaseAssumed(e *targetState, id uint64) bool {
	sequence := id & (1<<sequenceBits - 1)
	issuedHere := id-sequence == l.incarnation
	if sequence == 0 || issuedHere || e.releasedForeign[id] || len(e.assumedBusy) == 0 {
		return false
	}
	e.releasedForeign[id] = true
	e.assumedBusy = e.assumedBusy[1:]
	return true
}

// adjustToOutcome adapts the limit to how a request ended.
func (e *targetState) adjustToOutcome(cause ReleaseCause) {
	switch cause {
	case Answered:
		e.slotLimit = min(e.slotLimit+1, e.target.Slots)
	case Shed:
		e.slotLimit = max(1, min(e.slotLimit, e.busySlots()))
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
		e.slotLimit = 1
	}
}

// DownTargets returns the targets that wait for a successful probe, sorted.
func (l *Ledger) DownTargets() []string {
	var down []string
	for _, name := range l.Targets() {
		if e := l.entries[name]; e.down && !e.leaving {
			down = append(down, name)
		}
	}
	return down
}

// MarkLeaving stops all grants of a target. Open grants stay until they end.
func (l *Ledger) MarkLeaving(target string) {
	if e := l.entries[target]; e != nil {
		e.leaving = true
	}
}

// ClearLeaving returns a target that was leaving to service with one slot.
func (l *Ledger) ClearLeaving(target string) {
	if e := l.entries[target]; e != nil && e.leaving {
		e.leaving = false
		e.slotLimit = 1
	}
}

// Expire ends all grants and assumed slots whose time has passed and returns
// the grants.
func (l *Ledger) Expire(now time.Time) []Grant {
	var expired []Grant
	for _, e := range l.entries {
		for id, g := range e.openGrants {
			if !now.Before(g.Expires) {
				delete(e.openGrants, id)
				expired = append(expired, g)
			}
		}
		for len(e.assumedBusy) > 0 && !now.Before(e.assumedBusy[0]) {
			e.assumedBusy = e.assumedBusy[1:]
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
