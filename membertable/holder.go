package membertable

import (
	"slices"

	"github.com/jacinthstall/jacinthstall/allotment"
)

// Holder is what one member knows of its region's table and what it may use.
type Holder struct {
	self      Member
	record    Record
	tables    map[uint64]Table
	shares    *allotment.Holder
	gone      map[string]bool
	suspended bool // Suspended after a freeze, until the record was read again.
}

// NewHolder returns a holder that knows no table.
func NewHolder(self Member) *Holder {
	return &Holder{self: self, tables: map[uint64]Table{}, shares: allotment.NewHolder(self.ID()), gone: map[string]bool{}}
}

// Self returns the member whose holder this is.
func (h *Holder) Self() Member { return h.self }

// ConfirmedVersion returns the version that this member confirms, 0 when it knows none.
func (h *Holder) ConfirmedVersion() uint64 { return h.shares.NewestVersion() }

// VersionRange returns the oldest version that some member may still use, and the
// newest version that this member knows.
func (h *Holder) VersionRange() (oldest, newest uint64) { return h.shares.VersionRange() }

// Record returns the newest record known.
func (h *Holder) Record() Record { return h.record }

// ApplyRecord takes a record and reports whether it is newer than the one known.
func (h *Holder) ApplyRecord(r Record) bool {
	if r.NewestVersion() <= h.record.NewestVersion() {
		return false
	}
	for _, t := range r.Tables {
		if err := h.shares.AddTable(t.shareTable()); err != nil {
			return false
		}
		h.tables[t.Version] = t
	}
	h.record = r
	h.pruneTables()
	h.setConfirmed(h.self, r.NewestVersion())
	return true
}

// pruneTables counts members as gone that the newest table lists neither as
// members nor as former ones.
func (h *Holder) pruneTables() {
	last := h.record.newestTable()
	for _, t := range h.tables {
		for _, m := range append(slices.Clone(t.Members), t.FormerMembers...) {
			if !slices.Contains(last.Members, m) && !slices.Contains(last.FormerMembers, m) {
				h.markGone(m)
			}
		}
	}
	oldest, _ := h.shares.VersionRange()
	for version := range h.tables {
		if version < oldest {
			delete(h.tables, version)
		}
	}
}

func (h *Holder) markGone(m Member) {
	if h.gone[m.ID()] {
		return
	}
	h.gone[m.ID()] = true
	h.shares.MarkGone(m.ID())
}

func (h *Holder) setConfirmed(m Member, version uint64) { h.shares.SetConfirmed(m.ID(), version) }

// SetConfirmed notes the version that another member knows.
func (h *Holder) SetConfirmed(m Member, version uint64) { h.setConfirmed(m, version) }

// MarkGone notes that the platform's list calls a member gone, or that a newer
// incarnation of its instance exists.
func (h *Holder) MarkGone(m Member) { h.markGone(m) }

// Suspend stops the use of shares and homes after a freeze, until Refreshed.
func (h *Holder) Suspend() {
	h.suspended = true
	h.shares.Suspend()
}

// Suspended reports whether the holder waits for Refreshed.
func (h *Holder) Suspended() bool { return h.suspended }

// ResumeAfterRefresh ends a suspension after the newest record was read from the
// platform or from a peer of the own domain. It returns false when that record
// does not list this member any more: the instance must go on with a new
// Holder of a new incarnation.
func (h *Holder) ResumeAfterRefresh() bool {
	if h.record.NewestVersion() > 0 && !slices.Contains(h.record.newestTable().Members, h.self) {
		h.shares.Retire()
		return false
	}
	h.suspended = false
	h.shares.Resume()
	return true
}

// OnlyMemberInDomain reports whether the newest table lists no other member of the
// own domain. Then nobody but the platform's list can have replaced this
// member during a freeze.
func (h *Holder) OnlyMemberInDomain() bool {
	for _, m := range h.record.newestTable().Members {
		if m.Domain == h.self.Domain && m != h.self {
			return false
		}
	}
	return true
}

// Share returns the part of a link's cap that this member may use, from 0 to 1.
func (h *Holder) Share() float64 { return float64(h.shares.Share()) / FullShare }

// Home is the home of a target's slots.
type Home struct {
	Member Member
	// Known is false while the home moves and nobody may grant.
	Known bool
	// NeverMoved is true when no other member was the home in any version since the
	// first, so that no unknown grants can exist.
	NeverMoved bool
}

// Home returns the home of a target that lies in a failure domain.
func (h *Holder) Home(target, domain string) Home {
	oldest, newest := h.shares.VersionRange()
	if newest == 0 || h.suspended {
		return Home{}
	}
	home, ok := h.tables[newest].homeInstance(target, domain)
	if !ok {
		return Home{}
	}
	for version := oldest; version < newest; version++ {
		t, known := h.tables[version]
		before, listed := t.homeInstance(target, domain)
		if !known || !listed || before != home {
			return Home{}
		}
	}
	return Home{Member: home, Known: true, NeverMoved: h.neverMoved(home, target, domain)}
}

// HomeMove is the last change of a target's home.
type HomeMove struct {
	From, To Member // From is zero when the home never moved.
	Version  uint64 // First version with the present home.
}

// LastHomeMove returns the last move of a target's home in the newest record.
func (h *Holder) LastHomeMove(target, domain string) HomeMove {
	var m HomeMove
	for _, t := range slices.Backward(h.record.Tables) {
		home, ok := t.homeInstance(target, domain)
		switch {
		case m.Version == 0 && ok:
			m.To = home
		case m.Version == 0 || !ok:
			return m
		case home != m.To:
			m.From = home
			return m
		}
		m.Version = t.Version
	}
	return m
}

func (h *Holder) neverMoved(home Member, target, domain string) bool {
	if h.record.Tables[0].Version != 1 {
		return false
	}
	for _, t := range h.record.Tables {
		if before, ok := t.homeInstance(target, domain); ok && before != home {
			return false
		}
	}
	return true
}
