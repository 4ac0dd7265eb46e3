package allotment

import "maps"

// Holder tracks the tables and confirmations that one member knows, and
// derives the share that this member may use.
type Holder struct {
	name          string
	tables        map[uint64]Table
	newestVersion uint64
	oldestVersion uint64 // Oldest version that some member may still have as its newest.
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

// AddTable adds a table. Tables may arrive in any order and more than once. It
// returns a *TableError if the table is invalid.
func (h *Holder) AddTable(table Table) error {
	if err := table.Validate(); err != nil {
		return err
	}
	if table.Version < h.oldestVersion {
		return nil
	}
	h.tables[table.Version] = table
	h.newestVersion = max(h.newestVersion, table.Version)
	h.pruneTables()
	return nil
}

// NewestVersion returns the newest version that the holder knows, which it
// confirms to other members; 0 if it knows none.
func (h *Holder) NewestVersion() uint64 { return h.newestVersion }

// SetConfirmed records that another member has confirmed a version.
func (h *Holder) SetConfirmed(member string, version uint64) {
	if version <= h.confirmed[member] {
		return
	}
	h.confirmed[member] = version
	h.pruneTables()
}

// MarkGone records that a member is gone according to the platform's list of
// instances.
func (h *Holder) MarkGone(member string) {
	if h.gone[member] {
		return
	}
	h.gone[member] = true
	h.pruneTables()
}

// Suspend sets the share to zero until Resume.
func (h *Holder) Suspend() { h.suspended = true }

// Resume ends a suspension. The caller must have checked that the holder was
// not reported gone; if it was, the caller must call Retire instead.
func (h *Holder) Resume() { h.suspended = false }

// Retire sets the share to zero permanently.
func (h *Holder) Retire() { h.retired = true }

// Share returns the part of the cap that the holder may use now.
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

// VersionRange returns the oldest version that some member may still have as
// its newest, and the newest version that the holder knows.
func (h *Holder) VersionRange() (oldest, newest uint64) { return h.oldestVersion, h.newestVersion }

// oldestVersionInUse returns the lowest version that any listed member which
// is not gone has confirmed, at least 1.
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

// pruneTables drops the tables below the version range. Members that only
// dropped tables list no longer hold back the range, so it repeats until no
// table is dropped.
func (h *Holder) pruneTables() {
	for dropped := true; dropped; {
		h.oldestVersion = h.oldestVersionInUse()
		before := len(h.tables)
		maps.DeleteFunc(h.tables, func(version uint64, _ Table) bool { return version < h.oldestVersion })
		dropped = len(h.tables) < before
	}
}
