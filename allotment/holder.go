package allotment

import "maps"

// Holder is what one member knows of the tables and of the other members.
type Holder struct {
	name          string
	tables        map[uint64]Table
	newestVersion uint64
	oldestVersion uint64 // Oldest version that some member may still have; see oldest.
	confirmed     map[string]uint64
	gone          map[string]bool
	suspended     bool
	retired       bool
}

// NewHolder returns a holder that knows no table. The name must be unique to
// one incarnation of an instance.
func NewHolder(name string) *Holder {
	return &Holder{name: name, oldestVersion: 1, tables: map[uint64]Table{}, confirmed: map[string]uint64{}, gone: map[string]bool{}}
}

// AddTable adds a table. Tables may arrive in any order and repeatedly. It
// returns a *TableError for an invalid table.
func (h *Holder) AddTable(t Table) error {
	if err := t.Validate(); err != nil {
		return err
	}
	if t.Version < h.oldestVersion {
		return nil
	}
	h.tables[t.Version] = t
	h.newestVersion = max(h.newestVersion, t.Version)
	h.pruneTables()
	return nil
}

// NewestVersion returns the version that this member confirms to others, 0 when it
// knows none.
func (h *Holder) NewestVersion() uint64 { return h.newestVersion }

// SetConfirmed notes that another member knows a version.
func (h *Holder) SetConfirmed(member string, version uint64) {
	if version <= h.confirmed[member] {
		return
	}
	h.confirmed[member] = version
	h.pruneTables()
}

// MarkGone notes that the platform's list calls a member gone.
func (h *Holder) MarkGone(member string) {
	if h.gone[member] {
		return
	}
	h.gone[member] = true
	h.pruneTables()
}

// Suspend sets the share to zero until Resume.
func (h *Holder) Suspend() { h.suspended = true }

// Resume ends a suspension. The caller must have made sure that the holder was
// not reported gone; otherwise it must call Retire.
func (h *Holder) Resume() { h.suspended = false }

// Retire sets the share to zero for ever.
func (h *Holder) Retire() { h.retired = true }

// Share returns what the holder may use now.
func (h *Holder) Share() int64 {
	if h.suspended || h.retired || h.newestVersion == 0 {
		return 0
	}
	least := h.tables[h.newestVersion].Shares[h.name]
	for version := h.oldestVersion; version < h.newestVersion; version++ {
		least = min(least, h.tables[version].Shares[h.name])
	}
	return least
}

// VersionRange returns the oldest version that some member may still have as its
// newest, and the newest version that the holder knows.
func (h *Holder) VersionRange() (oldest, newest uint64) { return h.oldestVersion, h.newestVersion }

func (h *Holder) oldestVersionInUse() uint64 {
	oldest := h.newestVersion
	consider := func(member string) {
		if member != h.name && !h.gone[member] {
			oldest = min(oldest, h.confirmed[member])
		}
	}
	for _, table := range h.tables {
		for member := range table.Shares {
			consider(member)
		}
		for _, member := range table.FormerHolders {
			consider(member)
		}
	}
	return max(oldest, 1)
}

// pruneTables drops the tables that are below the range. The members of dropped
// tables count no more, so that the range may then begin later.
func (h *Holder) pruneTables() {
	for dropped := true; dropped; {
		h.oldestVersion = h.oldestVersionInUse()
		before := len(h.tables)
		maps.DeleteFunc(h.tables, func(version uint64, _ Table) bool { return version < h.oldestVersion })
		dropped = len(h.tables) < before
	}
}
