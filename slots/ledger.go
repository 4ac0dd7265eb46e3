package slots

import (
	"fmt"
	"sort"
	"time"
)

// ReleaseCause says why a slot was released.
type ReleaseCause int

// The numbers are those of the enum ReleaseCause in the peer protocol.
const (
	Answered      ReleaseCause = 1
	Shed          ReleaseCause = 2
	ConnectFailed ReleaseCause = 3
	Crashed       ReleaseCause = 4
	TimedOut      ReleaseCause = 5
	Unused        ReleaseCause = 6
	// Leaving is an answered request whose response says that the target is
	// leaving.
	Leaving ReleaseCause = 7
)

// String returns the name of the cause as used in log events.
func (c ReleaseCause) String() string {
	names := [...]string{"unspecified", "answered", "shed", "connect-failed", "crashed", "timed-out", "unused", "leaving"}
	if c < 0 || int(c) >= len(names) {
		return "unspecified"
	}
	return names[c]
}

// Target is a target and its number of slots.
type Target struct {
	Name    string
	Service string
	Domain  string
	Slots   int
}

// Grant is one slot granted to an instance until Expires.
type Grant struct {
	ID      uint64
	Target  string
	Holder  string
	Issued  time.Time
	Expires time.Time
}

// UnavailableReason says why a slot was not granted.
type UnavailableReason string

// Reasons in an *UnavailableError.
const (
	ReasonNotHome   UnavailableReason = "not-home"
	ReasonLeaving   UnavailableReason = "leaving"
	ReasonDown      UnavailableReason = "down"
	ReasonBusy      UnavailableReason = "busy"
	ReasonSuspended UnavailableReason = "suspended"
)

// UnavailableError reports that no slot of a target can be granted.
type UnavailableError struct {
	Target string
	Reason UnavailableReason
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("slots: cannot grant a slot of target %s: %s", e.Target, e.Reason)
}

// targetState is the state of a target whose home is this instance.
type targetState struct {
	target          Target
	slotLimit       int // Slots that may be granted now; below target.Slots while it recovers.
	leaving         bool
	down            bool // No grants until a probe succeeds.
	openGrants      map[uint64]Grant
	assumedBusy     []time.Time     // Expiry of each slot that a previous home may have granted.
	releasedForeign map[uint64]bool // IDs of released grants that a previous home issued.

	handOffApplied bool // The slot count of the previous home was applied.
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
	byService    map[string][]*targetState // Sorted by target name.
}

// sequenceBits is the number of low bits of a grant ID that hold the sequence
// number. The high bits hold the incarnation of the issuing home.
const sequenceBits = 32

// New returns an empty ledger. The incarnation must differ between all homes
// that may grant slots of the same target; only its low 32 bits are used.
func New(incarnation uint64) *Ledger {
	return &Ledger{incarnation: incarnation << sequenceBits, entries: map[string]*targetState{}, byService: map[string][]*targetState{}}
}

// SetTarget makes this instance the home of a target, or updates the target if
// it already is. If another instance may have granted slots of the target
// before, busyUntil is the time by which all of those grants have expired, and
// all slots count as busy until then. A zero busyUntil means that the target
// had no home before.
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

// BusySlots returns the number of slots of a target that are granted or
// assumed to be in use.
func (l *Ledger) BusySlots(target string) int {
	if e := l.entries[target]; e != nil {
		return e.busySlots()
	}
	return 0
}

// ApplyHandOff applies the number of slots that were in use when the previous
// home stopped granting them. It replaces the assumption that all slots are
// busy. The number includes slots that have been released here since. Only the
// first count for a target is used.
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

// RemoveTarget ends this instance's role as home of a target. The open grants
// are dropped from the ledger; their holders release them at the new home.
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

// MostFreeTarget returns the target of a service with the most free slots that
// is not excluded. Ties go to the first name. It returns false if no target
// has a free slot.
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

// ServiceLoad returns the number of busy slots and of slots in service over
// all targets of a service. Targets that are leaving or down are not counted.
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
	grant := Grant{ID: l.incarnation | l.lastSequence&(1<<sequenceBits-1), Target: target, Holder: holder, Issued: now, Expires: expires}
	e.openGrants[grant.ID] = grant
	return grant, nil
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

// Release ends a grant. It returns the grant and whether a slot became free; a
// duplicate, late or unknown release frees none. Releasing a grant of a
// previous home frees one assumed slot and returns a Grant without times and
// holder.
func (l *Ledger) Release(target string, id uint64, cause ReleaseCause) (Grant, bool) {
	e := l.entries[target]
	if e == nil {
		return Grant{}, false
	}
	grant, issuedHere := e.openGrants[id]
	if issuedHere {
		delete(e.openGrants, id)
	} else if !l.releaseAssumed(e, id) {
		return Grant{}, false
	} else {
		grant = Grant{ID: id, Target: target}
	}
	e.adjustToOutcome(cause)
	return grant, true
}

// releaseAssumed frees a slot that a previous home granted. It ignores IDs
// without a sequence number, IDs of this incarnation and repeated releases.
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

// adjustToOutcome updates the target's limit and availability from the way in
// which a request ended.
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

// ProbeSucceeded returns a target that was down to service with one slot.
// Slots of requests that are still running count against it.
func (l *Ledger) ProbeSucceeded(target string) {
	if e := l.entries[target]; e != nil && e.down {
		e.down = false
		e.slotLimit = 1
	}
}

// DownTargets returns the names of the targets that wait for a successful
// probe, sorted.
func (l *Ledger) DownTargets() []string {
	var down []string
	for _, name := range l.Targets() {
		if e := l.entries[name]; e.down && !e.leaving {
			down = append(down, name)
		}
	}
	return down
}

// MarkLeaving stops granting slots of a target. Open grants remain valid until
// they end.
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

// Expire ends all grants and assumed slots that have expired, and returns the
// grants.
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

// Suspend stops granting any slots until Resume. It is called after a detected
// freeze of the process.
func (l *Ledger) Suspend() { l.suspended = true }

// Resume ends a suspension. The caller must first remove the targets whose
// home is now another instance.
func (l *Ledger) Resume() { l.suspended = false }
