package membertable

import (
	"slices"

	"github.com/jacinthstall/jacinthstall/allotment"
)

// Holder tracks the member table that one member knows and the versions that
// other members have confirmed. From these it derives what the member may use.
type Holder struct {
	self      Member
	record    Record
	tables    map[uint64]Table
	shares    *allotment.Holder
	gone      map[string]bool
	suspended bool // Set after a freeze until the record has been read again.
}

// NewHolder returns a holder that knows no table.
func NewHolder(self Member) *Holder {
	return &Holder{self: self, tables: map[uint64]Table{}, shares: allotment.NewHolder(self.ID()), gone: map[string]bool{}}
}

// Self returns the member that this holder belongs to.
func (h *Holder) Self() Member { return h.self }

// ConfirmedVersion returns the version that this member confirms to others, 0
// if it knows none.
func (h *Holder) ConfirmedVersion() uint64 { return h.shares.NewestVersion() }

// VersionRange returns the oldest version that some member may still use, and
// the newest version that this member knows.
func (h *Holder) VersionRange() (oldest, newest uint64) { return h.shares.VersionRange() }

// Record returns the newest record that this member knows.
func (h *Holder) Record() Record { return h.record }

// ApplyRecord replaces the known record if the given one is newer and valid,
// and reports whether it did.
func (h *Holder) ApplyRecord(record Record) bool {
	if record.NewestVersion() <= h.record.NewestVersion() {
		return false
	}
	for _, t := range record.Tables {
		if err := h.shares.AddTable(t.shareTable()); err != nil {
			return false
		}
		h.tables[t.Version] = t
	}
	h.record = record
	h.pruneTables()
	h.setConfirmed(h.self, record.NewestVersion())
	return true
}

// pruneTables marks all members as gone that the newest table lists neither as
// members nor as former members, and drops the tables below the version range.
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

// SetConfirmed records the version that another member has confirmed.
func (h *Holder) SetConfirmed(m Member, version uint64) { h.setConfirmed(m, version) }

// MarkGone records that a member is gone according to the platform's list, or
// that a newer incarnation of its instance exists.
func (h *Holder) MarkGone(m Member) { h.markGone(m) }

// Suspend stops the use of shares and homes after a freeze, until
// ResumeAfterRefresh.
func (h *Holder) Suspend() {
	h.suspended = true
	h.shares.Suspend()
}

// Suspended reports whether the holder is suspended until ResumeAfterRefresh.
func (h *Holder) Suspended() bool { return h.suspended }

// ResumeAfterRefresh ends a suspension. The caller must have read the newest
// record from the platform or from a peer in the same failure domain. It
// returns false if that record no longer lists this member; the instance must
// then continue with a new Holder for a new incarnation.
func (h *Holder) ResumeAfterRefresh() bool {
	if h.record.NewestVersion() > 0 && !slices.Contains(h.record.newestTable().Members, h.self) {
		h.shares.Retire()
		return false
	}
	h.suspended = false
	h.shares.Resume()
	return true
}

// OnlyMemberInDomain reports whether the newest table lists no other member in
// this member's failure domain. In that case only the platform's list can have
// led to the replacement of this member during a freeze.
func (h *Holder) OnlyMemberInDomain() bool {
	for _, m := range h.record.newestTable().Members {
		if m.Domain == h.self.Domain && m != h.self {
			return false
		}
	}
	return true
}

// Share returns the fraction of a link's cap that this member may use, from 0
// to 1.
func (h *Holder) Share() float64 { return float64(h.shares.Share()) / FullShare }

// Home is the home instance of a target.
type Home struct {
	Member Member
	// Known is false while the home is moving and no instance may grant slots.
	Known bool
	// NeverMoved is true if no other member has been the home in any version since
	// the first. Then no grants of a previous home can exist.
	NeverMoved bool
}

// Home returns the home of a target in a failure domain. It is known only if
// all versions in the range have the same home and the holder is not
// suspended.
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
	From, To Member // From is zero if the home has not moved.
	Version  uint64 // First version with the current home.
}

// LastHomeMove returns the last move of a target's home that the newest record
// shows.
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

// neverMoved reports whether the record shows the whole history of tables, and
// home is the target's home in all of them.
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
