package membertable

import (
	"cmp"
	"slices"
)

// MemberState is the state of a member as one instance sees it.
type MemberState int

const (
	// Alive members are added to the table and remain in it.
	Alive MemberState = iota
	// Unresponsive members remain in the table unless an instance of their own
	// failure domain removes them.
	Unresponsive
	// Leaving members are removed. They confirm the new table before they stop.
	Leaving
	// Gone members are removed.
	Gone
)

// ObservedMember is an instance of the region as one member sees it now.
type ObservedMember struct {
	Member
	State            MemberState
	ConfirmedVersion uint64 // Table version that the member has confirmed.
}

// Propose returns the record that should replace the known one, and whether it
// differs. The view lists the instances of the region as this member sees
// them, including itself.
func (h *Holder) Propose(view []ObservedMember) (Record, bool) {
	last := h.record.newestTable()
	byName := map[string]ObservedMember{}
	for _, o := range view {
		if known, ok := byName[o.Name]; !ok || known.Incarnation < o.Incarnation {
			byName[o.Name] = o
		}
	}
	members := h.proposedMembers(last, byName)
	next := last.next(members, func(m Member) bool { return h.stoppedUsingOldTables(m, byName) })
	if slices.Equal(members, last.Members) && len(next.FormerMembers) == len(last.FormerMembers) {
		return Record{}, false
	}
	return h.record.withTable(next), true
}

// proposedMembers returns the members that remain and the new ones that are
// alive, sorted by name.
func (h *Holder) proposedMembers(last Table, byName map[string]ObservedMember) []Member {
	var out []Member
	for _, m := range last.Members {
		if h.remainsMember(m, byName) {
			out = append(out, m)
		}
	}
	for _, o := range byName {
		if o.State == Alive && !slices.Contains(out, o.Member) {
			out = append(out, o.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// remainsMember reports whether a member of the newest table stays in the
// proposed one.
func (h *Holder) remainsMember(m Member, byName map[string]ObservedMember) bool {
	observed, known := byName[m.Name]
	if !known {
		return true
	}
	if observed.Incarnation > m.Incarnation {
		return false
	}
	switch observed.State {
	case Leaving, Gone:
		return false
	case Unresponsive:
		return m.Domain != h.self.Domain
	}
	return true
}

// stoppedUsingOldTables reports whether a removed member can no longer use an
// older table. This is so if it is gone or replaced, if it has confirmed a
// table that lists it as a former member, or if it is unresponsive in this
// member's own failure domain. In the last case it may only be frozen, but it
// then refreshes the table before it grants anything.
func (h *Holder) stoppedUsingOldTables(m Member, byName map[string]ObservedMember) bool {
	observed, known := byName[m.Name]
	if !known {
		return false
	}
	if observed.Incarnation > m.Incarnation || observed.State == Gone {
		return true
	}
	if observed.State == Unresponsive && m.Domain == h.self.Domain {
		return true
	}
	for _, t := range h.record.Tables {
		if t.Version <= observed.ConfirmedVersion && !slices.Contains(t.Members, m) && slices.Contains(t.FormerMembers, m) {
			return true
		}
	}
	return false
}
