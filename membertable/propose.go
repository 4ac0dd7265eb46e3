package membertable

import (
	"cmp"
	"slices"
)

// MemberState is what an instance believes of a member.
type MemberState int

const (
	// Alive members are added to the table and stay in it.
	Alive MemberState = iota
	// Unresponsive members stay, unless an instance of their own domain removes them.
	Unresponsive
	// Leaving members are removed; they confirm the table before they stop.
	Leaving
	// Gone members are removed.
	Gone
)

// ObservedMember is the current view of one instance of the region.
type ObservedMember struct {
	Member
	State            MemberState
	ConfirmedVersion uint64 // Table version that the member confirmed.
}

// Propose returns the record that should replace the known one, and whether it
// differs. View lists the instances of the region as self sees them, with self.
func (h *Holder) Propose(view []ObservedMember) (Record, bool) {
	last := h.record.newestTable()
	byName := map[string]ObservedMember{}
	for _, o := range view {
		if known, ok := byName[o.Name]; !ok || known.Incarnation < o.Incarnation {
			byName[o.Name] = o
		}
	}
	members := h.proposedMembers(last, byName)
	former := last.next(members, func(m Member) bool { return h.stoppedUsingOldTables(m, byName) })
	if slices.Equal(members, last.Members) && len(former.FormerMembers) == len(last.FormerMembers) {
		return Record{}, false
	}
	return h.record.withTable(former), true
}

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

func (h *Holder) remainsMember(m Member, byName map[string]ObservedMember) bool {
	o, known := byName[m.Name]
	if !known {
		return true
	}
	if o.Incarnation > m.Incarnation {
		return false
	}
	switch o.State {
	case Leaving, Gone:
		return false
	case Unresponsive:
		return m.Domain != h.self.Domain
	}
	return true
}

// stoppedUsingOldTables reports whether a removed member can no longer use an older table:
// it is gone or replaced, it confirmed a table without it, or it is silent in
// the own domain, where a member that resumes after a freeze refreshes the
// table before it grants anything.
func (h *Holder) stoppedUsingOldTables(m Member, byName map[string]ObservedMember) bool {
	o, known := byName[m.Name]
	if !known {
		return false
	}
	if o.Incarnation > m.Incarnation || o.State == Gone {
		return true
	}
	if o.State == Unresponsive && m.Domain == h.self.Domain {
		return true
	}
	for _, t := range h.record.Tables {
		if t.Version <= o.ConfirmedVersion && !slices.Contains(t.Members, m) && slices.Contains(t.FormerMembers, m) {
			return true
		}
	}
	return false
}
