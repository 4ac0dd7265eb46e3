package lookup

import (
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// Site is the index of a site in the document's list of sites.
type Site uint16

// Block steers the callers of a prefix to a site.
type Block struct {
	Prefix netip.Prefix
	Site   Site
}

// Delta is a set of changes to a table. Removals are applied first.
type Delta struct {
	Remove []netip.Prefix
	Set    []Block // Adds blocks or replaces their sites.
}

// PrefixError reports a prefix that a table cannot hold.
type PrefixError struct {
	Prefix netip.Prefix
	Cause  string
}

// Error names the prefix and the cause.
func (e *PrefixError) Error() string {
	return fmt.Sprintf("lookup: prefix %s: %s", e.Prefix, e.Cause)
}

// Table maps client blocks to sites by longest match. It is immutable and safe
// for concurrent use.
type Table struct {
	v4, v6 *prefixIndex
}

// NewTable returns a table of the blocks. When a prefix occurs more than once,
// the last one counts. The error is a *PrefixError.
func NewTable(blocks []Block) (*Table, error) {
	var v4, v6 []keyedBlock
	for _, b := range blocks {
		it, is4, err := newKeyedBlock(b)
		if err != nil {
			return nil, err
		}
		if is4 {
			v4 = append(v4, it)
		} else {
			v6 = append(v6, it)
		}
	}
	return &Table{v4: newPrefixIndex(sortAndDeduplicate(v4)), v6: newPrefixIndex(sortAndDeduplicate(v6))}, nil
}

// sortAndDeduplicate orders items and keeps the last one of each prefix.
func sortAndDeduplicate(items []keyedBlock) []keyedBlock {
	slices.SortStableFunc(items, func(a, b keyedBlock) int {
		switch {
		case a.sortsBefore(b):
			return -1
		case b.sortsBefore(a):
			return 1
		}
		return 0
	})
	kept := items[:0]
	for i, it := range items {
		if i+1 < len(items) && items[i+1].key == it.key && items[i+1].bits == it.bits {
			continue
		}
		kept = append(kept, it)
	}
	return kept
}

// newKeyedBlock returns the item of a block and whether it is an IPv4 block.
func newKeyedBlock(b Block) (keyedBlock, bool, error) {
	switch {
	case !b.Prefix.IsValid():
		return keyedBlock{}, false, &PrefixError{Prefix: b.Prefix, Cause: "not valid"}
	case b.Prefix.Addr().Is4In6():
		return keyedBlock{}, false, &PrefixError{Prefix: b.Prefix, Cause: "IPv4-mapped; write it as an IPv4 prefix"}
	}
	k, is4 := keyOf(b.Prefix.Masked().Addr())
	return keyedBlock{key: k, bits: uint8(b.Prefix.Bits()), site: b.Site}, is4, nil
}

// Lookup returns the site of the longest block that contains the address.
func (t *Table) Lookup(address netip.Addr) (Site, bool) {
	if !address.IsValid() {
		return 0, false
	}
	k, is4 := keyOf(address)
	if is4 {
		return t.v4.lookup(k)
	}
	return t.v6.lookup(k)
}

// Get returns the site of exactly this prefix.
func (t *Table) Get(prefix netip.Prefix) (Site, bool) {
	it, is4, err := newKeyedBlock(Block{Prefix: prefix})
	if err != nil {
		return 0, false
	}
	if is4 {
		return t.v4.get(it)
	}
	return t.v6.get(it)
}

// All returns the blocks, IPv4 first, in the order of their first addresses.
func (t *Table) All() iter.Seq[Block] {
	return func(yield func(Block) bool) {
		_ = t.v4.forEach(true, yield) && t.v6.forEach(false, yield)
	}
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.v4.blockCount + t.v6.blockCount }

// Apply returns a table with the changes. The receiver does not change.
// Removing a prefix that is not there has no effect. The error is a
// *PrefixError.
func (t *Table) Apply(d Delta) (*Table, error) {
	edit := &tableEditor{base: t, next: &Table{v4: t.v4, v6: t.v6}}
	for _, prefix := range d.Remove {
		it, is4, err := newKeyedBlock(Block{Prefix: prefix})
		if err != nil {
			return nil, err
		}
		edit.writableIndex(is4).remove(it)
	}
	for _, b := range d.Set {
		it, is4, err := newKeyedBlock(b)
		if err != nil {
			return nil, err
		}
		edit.writableIndex(is4).set(it)
	}
	return edit.next, nil
}

// tableEditor copies the index of a family before its first change.
type tableEditor struct {
	base, next *Table
}

func (e *tableEditor) writableIndex(is4 bool) *prefixIndex {
	if is4 {
		if e.next.v4 == e.base.v4 {
			e.next.v4 = e.base.v4.clone()
		}
		return e.next.v4
	}
	if e.next.v6 == e.base.v6 {
		e.next.v6 = e.base.v6.clone()
	}
	return e.next.v6
}

// AtomicTable holds the table in force. The zero value holds none. Readers are
// never blocked; writers exclude each other.
type AtomicTable struct {
	writers sync.Mutex
	table   atomic.Pointer[Table]
}

// Load returns the table in force, or nil.
func (c *AtomicTable) Load() *Table { return c.table.Load() }

// Store puts a table in force.
func (c *AtomicTable) Store(t *Table) {
	c.writers.Lock()
	defer c.writers.Unlock()
	c.table.Store(t)
}

// Apply changes the table in force; when there is none, it starts from an
// empty one. On an error the table stays as it is.
func (c *AtomicTable) Apply(d Delta) error {
	c.writers.Lock()
	defer c.writers.Unlock()
	t := c.table.Load()
	if t == nil {
		t = &Table{v4: &prefixIndex{}, v6: &prefixIndex{}}
	}
	next, err := t.Apply(d)
	if err != nil {
		return err
	}
	c.table.Store(next)
	return nil
}
