package allotment

import "fmt"

// Table is one version of the division of a cap. It does not change after it
// is published.
type Table struct {
	Version uint64           `json:"version"` // Consecutive, starting at 1.
	Cap     int64            `json:"cap"`
	Shares  map[string]int64 `json:"shares"` // Keyed by holder name.
	// FormerHolders lists the holders of earlier versions that have no share in
	// this version but may still use an earlier one.
	FormerHolders []string `json:"former,omitempty"`
}

// TableError reports a table that must not be used.
type TableError struct {
	Version uint64
	Problem string
}

func (e *TableError) Error() string {
	return fmt.Sprintf("allotment: table version %d: %s", e.Version, e.Problem)
}

// Validate returns a *TableError if the version is zero, a share is negative
// or the sum of the shares exceeds the cap.
func (t Table) Validate() error {
	if t.Version == 0 {
		return &TableError{Problem: "version is zero"}
	}
	left := t.Cap
	for holder, share := range t.Shares {
		if share < 0 {
			return &TableError{t.Version, "share of holder " + holder + " is negative"}
		}
		if share > left {
			return &TableError{t.Version, "sum of shares exceeds the cap"}
		}
		left -= share
	}
	return nil
}

// FirstTable returns version 1 of a division.
func FirstTable(limit int64, shares map[string]int64) Table {
	return Table{Version: 1, Cap: limit, Shares: shares}
}

// Next returns the table that follows t, with new shares. The function
// finished reports whether a holder without a share in the new table can no
// longer use an older version, either because it is gone or because it has
// confirmed a table without a share for it.
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
