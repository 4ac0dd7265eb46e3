package allotment

import "fmt"

// Table is one version of the division of a cap. A published table is never
// changed.
type Table struct {
	Version uint64           `json:"version"` // Counts from 1 without gaps.
	Cap     int64            `json:"cap"`
	Shares  map[string]int64 `json:"shares"` // By holder.
	// FormerHolders lists the holders of earlier versions that are not in Shares and
	// that may still use an earlier version.
	FormerHolders []string `json:"former,omitempty"`
}

// TableError is a table that must not be used.
type TableError struct {
	Version uint64
	Problem string
}

// Error names the version and the problem.
func (e *TableError) Error() string {
	return fmt.Sprintf("allotment: table version %d: %s", e.Version, e.Problem)
}

// Validate returns a *TableError when the version is zero, a share is negative
// or the sum of the shares exceeds the cap.
func (t Table) Validate() error {
	if t.Version == 0 {
		return &TableError{Problem: "the version is zero"}
	}
	left := t.Cap
	for holder, share := range t.Shares {
		if share < 0 {
			return &TableError{t.Version, "the share of " + holder + " is negative"}
		}
		if share > left {
			return &TableError{t.Version, "the shares exceed the cap"}
		}
		left -= share
	}
	return nil
}

// FirstTable returns version 1 of a table.
func FirstTable(limit int64, shares map[string]int64) Table {
	return Table{Version: 1, Cap: limit, Shares: shares}
}

// Next returns the version after t with other shares. Finished reports whether
// a holder that has no share in the new table can no longer use an older
// version: it is gone, or it has confirmed a table without a share for it.
func (t Table) Next(limit int64, shares map[string]int64, finished func(holder string) bool) Table {
	next := Table{Version: t.Version + 1, Cap: limit, Shares: shares}
	add := func(holder string) {
		if _, stays := shares[holder]; !stays && !finished(holder) {
			next.FormerHolders = append(next.FormerHolders, holder)
		}
	}
	for holder := range t.Shares {
		add(holder)
	}
	for _, holder := range t.FormerHolders {
		add(holder)
	}
	return next
}
