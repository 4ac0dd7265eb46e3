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
	// Leaving is a request with a response which says that the target is
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

// busySlots returns the number of slots that are granted here or may have been
// granted by a previous home.
func (state *targetState) busySlots() int { return len(state.openGrants) + len(state.assumedBusy) }

// freeSlots returns the number of slots that may be granted now.
func (state *targetState) freeSlots() int {
	if state.leaving || state.down {
		return 0
	}
	return max(0, min(state.slotLimit, state.target.Slots)-state.busySlots())
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
	if state, ok := l.entries[target.Name]; ok {
		l.updateTarget(state, target)
		return
	}
	state := &targetState{target: target, slotLimit: target.Slots, openGrants: map[uint64]Grant{}, releasedForeign: map[uint64]bool{}}
	if !busyUntil.IsZero() {
		for range target.Slots {
			state.assumedBusy = append(state.assumedBusy, busyUntil)
		}
	}
	l.entries[target.Name] = state
	l.rebuildServiceIndex()
}

// updateTarget changes the number of slots. A target that is limited to fewer
// slots while it recovers keeps its limit.
func (l *Ledger) updateTarget(state *targetState, target Target) {
	if state.slotLimit == state.target.Slots {
		state.slotLimit = target.Slots
	}
	state.target = target
	l.rebuildServiceIndex()
}

// BusySlots returns the number of slots of a target that are granted or
// assumed to be in use.
func (l *Ledger) BusySlots(target string) int {
	if state := l.entries[target]; state != nil {
		return state.busySlots()
	}
	return 0
}

// ApplyHandOff applies the number of slots that were in use when the previous
// home stopped granting them. It replaces the assumption that all slots are
// busy. The number includes slots that have been released here since. Only the
// first count for a target is used.
func (l *Ledger) ApplyHandOff(target string, busy int) {
	state := l.entries[target]
	if state == nil || state.handOffApplied {
		return
	}
	state.handOffApplied = true
	if left := max(0, busy-len(state.releasedForeign)); left < len(state.assumedBusy) {
		state.assumedBusy = state.assumedBusy[:left]
	}
}

// RemoveTarget ends this instance's role as home of a target. The open grants
// are dropped from the ledger; their holders release them at the new home.
func (l *Ledger) RemoveTarget(target string) {
	delete(l.entries, target)
	l.rebuildServiceIndex()
}

// rebuildServiceIndex groups the targets by service in the order of their
// names.
func (l *Ledger) rebuildServiceIndex() {
	l.byService = map[string][]*targetState{}
	for _, name := range l.Targets() {
		state := l.entries[name]
		l.byService[state.target.Service] = append(l.byService[state.target.Service], state)
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
	for _, state := range l.byService[service] {
		if free := state.freeSlots(); free > most && !excluded(state.target.Name) {
			best, most = state.target.Name, free
		}
	}
	return best, most > 0
}

// ServiceLoad returns the number of busy slots and of slots in service over
// all targets of a service. Targets that are leaving or down are not counted.
func (l *Ledger) ServiceLoad(service string) (busy, inService int) {
	for _, state := range l.byService[service] {
		if state.leaving || state.down || l.suspended {
			continue
		}
		busy += state.busySlots()
		inService += min(state.slotLimit, state.target.Slots)
	}
	return busy, inService
}

// Acquire grants one slot of a target until expires, or returns an
// *UnavailableError.
func (l *Ledger) Acquire(now time.Time, target, holder string, expires time.Time) (Grant, error) {
	state := l.entries[target]
	if reason := l.unavailableReason(state); reason != "" {
		return Grant{}, &UnavailableError{Target: target, Reason: reason}
	}
	l.lastSequence++
	grant := Grant{ID: l.incarnation | l.lastSequence&(1<<sequenceBits-1), Target: target, Holder: holder, Issued: now, Expires: expires}
	state.openGrants[grant.ID] = grant
	return grant, nil
}

// unavailableReason returns why no slot of a target can be granted now, or ""
// if one can.
func (l *Ledger) unavailableReason(state *targetState) UnavailableReason {
	switch {
	case state == nil:
		return ReasonNotHome
	case l.suspended:
		return ReasonSuspended
	case state.leaving:
		return ReasonLeaving
	case state.down:
		return ReasonDown
	case state.freeSlots() == 0:
		return ReasonBusy
	}
	return ""
}

// Release ends a grant. It returns the grant and whether a slot became free; a
// duplicate, late or unknown release frees none. Releasing a grant of a
// previous home frees one assumed slot and returns a Grant without times and
// holder.
func (l *Ledger) Release(target string, id uint64, cause ReleaseCause) (Grant, bool) {
	state := l.entries[target]
	if state == nil {
		return Grant{}, false
	}
	grant, issuedHere := state.openGrants[id]
	if issuedHere {
		delete(state.openGrants, id)
	} else if !l.releaseAssumed(state, id) {
		return Grant{}, false
	} else {
		grant = Grant{ID: id, Target: target}
	}
	state.adjustToOutcome(cause)
	return grant, true
}

// releaseAssumed frees a slot that a previous home granted. It ignores IDs
// without a sequence number, IDs of this incarnation and repeated releases.
func (l *Ledger) releaseAssumed(state *targetState, id uint64) bool {
	sequence := id & (1<<sequenceBits - 1)
	issuedHere := id-sequence == l.incarnation
	if sequence == 0 || issuedHere || state.releasedForeign[id] || len(state.assumedBusy) == 0 {
		return false
	}
	state.releasedForeign[id] = true
	state.assumedBusy = state.assumedBusy[1:]
	return true
}

// adjustToOutcome updates the target's limit and availability from the way in
// which a request ended.
func (state *targetState) adjustToOutcome(cause ReleaseCause) {
	switch cause {
	case Answered:
		state.slotLimit = min(state.slotLimit+1, state.target.Slots)
	case Shed:
		state.slotLimit = max(1, min(state.slotLimit, state.busySlots()))
	case ConnectFailed, Crashed:
		state.down = true
	case Leaving:
		state.leaving = true
	}
}

// ProbeSucceeded returns a target that was down to service with one slot.
// Slots of requests that are still running count against it.
func (l *Ledger) ProbeSucceeded(target string) {
	if state := l.entries[target]; state != nil && state.down {
		state.down = false
		state.slotLimit = 1
	}
}

// DownTargets returns the names of the targets that wait for a successful
// probe, sorted.
func (l *Ledger) DownTargets() []string {
	var down []string
	for _, name := range l.Targets() {
		if state := l.entries[name]; state.down && !state.leaving {
			down = append(down, name)
		}
	}
	return down
}

// MarkLeaving stops granting slots of a target. Open grants remain valid until
// they end.
func (l *Ledger) MarkLeaving(target string) {
	if state := l.entries[target]; state != nil {
		state.leaving = true
	}
}

// ClearLeaving returns a target that was leaving to service with one slot.
func (l *Ledger) ClearLeaving(target string) {
	if state := l.entries[target]; state != nil && state.leaving {
		state.leaving = false
		state.slotLimit = 1
	}
}

// Expire ends all grants and assumed slots that have expired, and returns the
// grants.
func (l *Ledger) Expire(now time.Time) []Grant {
	var expired []Grant
	for _, state := range l.entries {
		for id, g := range state.openGrants {
			if !now.Before(g.Expires) {
				delete(state.openGrants, id)
				expired = append(expired, g)
			}
		}
		for len(state.assumedBusy) > 0 && !now.Before(state.assumedBusy[0]) {
			state.assumedBusy = state.assumedBusy[1:]
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
