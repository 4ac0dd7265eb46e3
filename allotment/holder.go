package allotment

import "maps"

// Holder is what one member knows of the tables and of the other members.
type Holder struct {
	name      string
	tables    map[uint64]Table
	newest    uint64
	first     uint64 // Oldest version that some member may still have; see oldest.
	confirmed map[string]uint64
	gone      map[string]bool
	suspended bool
	retired   bool
}

// NewHolder returns a holder that knows no table. The name must be unique to
// one incarnation of an instance.
func NewHolder(name string) *Holder {
	return &Holder{name: name, first: 1, tables: map[uint64]Table{}, confirmed: map[string]uint64{}, gone: map[string]bool{}}
}

// Learn adds a table. Tables may arrive in any order and repeatedly. It
// returns a *TableError for an invalid table.
func (h *Holder) Learn(t Table) error {
	if err := t.Validate(); err != nil {
		return err
	}
	if t.Version < h.first {
		return nil
	}
	h.tables[t.Version] = t
	h.newest = max(h.newest, t.Version)
	h.forget()
	return nil
}

// Newest returns the version that this member confirms to others, 0 when it
// knows none.
func (h *Holder) Newest() uint64 { return h.newest }

// Confirm notes that another member knows a version.
func (h *Holder) Confirm(member string, version uint64) {
	if version <= h.confirmed[member] {
		return
	}
	h.confirmed[member] = version
	h.forget()
}

// Gone notes that the platform's list calls a member gone.
func (h *Holder) Gone(member string) {
	if h.gone[member] {
		return
	}
	h.gone[member] = true
	h.forget()
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
	if h.suspended || h.retired || h.newest == 0 {
		return 0
	}
	least := h.tables[h.newest].Shares[h.name]
	for version := h.first; version < h.newest; version++ {
		least = min(least, h.tables[version].Shares[h.name])
	}
	return least
}

// Range returns the oldest version that some member may still have as its
// newest, and the newest version that the holder knows.
func (h *Holder) Range() (oldest, newest uint64) { return h.first, h.newest }

func (h *Holder) oldest() uint64 {
	oldest := h.newest
	consider := func(member string) {
		if member != h.name && !h.gone[member] {
			oldest = min(oldest, h.confirmed[member])
		}
	}
	for _, table := range h.tables {
		for member := range table.Shares {
			consider(member)
		}
		for _, member := range table.Former {
			consider(member)
		}
	}
	return max(oldest, 1)
}

// forget drops the tables that are below the range. The members of dropped
// tables count no more, so that the range may then begin later.
func (h *Holder) forget() {
	for dropped := true; dropped; {
		h.first = h.oldest()
		before := len(h.tables)
		maps.DeleteFunc(h.tables, func(version uint64, _ Table) bool { return version < h.first })
		dropped = len(h.tables) < before
	}
}
