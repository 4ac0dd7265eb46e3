package lookup

import (
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// Site is the index of a site in the policy document's list of sites.
type Site uint16

// Block assigns the callers of an IP prefix to a site.
type Block struct {
	Prefix netip.Prefix
	Site   Site
}

// Delta is a set of changes to a table. Removals are applied before additions.
type Delta struct {
	Remove []netip.Prefix
	Set    []Block // Blocks to add, or to replace if the prefix exists.
}

// PrefixError reports a prefix that a table cannot contain.
type PrefixError struct {
	Prefix netip.Prefix
	Cause  string
}

// Error implements error.
func (e *PrefixError) Error() string {
	return fmt.Sprintf("lookup: prefix %s: %s", e.Prefix, e.Cause)
}

// Table maps client blocks to sites by longest-prefix match. It is immutable and
// safe for concurrent use.
type Table struct {
	v4, v6 *prefixIndex
}

// NewTable returns a table with the given blocks. If a prefix occurs more than
// once, the last occurrence is used. The returned error is a *PrefixError.
func NewTable(blocks []Block) (*Table, error) {
	var v4, v6 []keyedBlock
	for _, b := range blocks {
		keyed, is4, err := newKeyedBlock(b)
		if err != nil {
			return nil, err
		}
		if is4 {
			v4 = append(v4, keyed)
		} else {
			v6 = append(v6, keyed)
		}
	}
	return &Table{v4: newPrefixIndex(sortAndDeduplicate(v4)), v6: newPrefixIndex(sortAndDeduplicate(v6))}, nil
}

// sortAndDeduplicate sorts blocks in place and keeps the last one of each
// prefix.
func sortAndDeduplicate(blocks []keyedBlock) []keyedBlock {
	slices.SortStableFunc(blocks, func(a, b keyedBlock) int {
		switch {
		case a.sortsBefore(b):
			return -1
		case b.sortsBefore(a):
			return 1
		}
		return 0
	})
	kept := blocks[:0]
	for i, block := range blocks {
		if i+1 < len(blocks) && blocks[i+1].key == block.key && blocks[i+1].bits == block.bits {
			continue
		}
		kept = append(kept, block)
	}
	return kept
}

// newKeyedBlock converts a block and reports whether it is an IPv4 block.
func newKeyedBlock(b Block) (keyedBlock, bool, error) {
	switch {
	case !b.Prefix.IsValid():
		return keyedBlock{}, false, &PrefixError{Prefix: b.Prefix, Cause: "not valid"}
	case b.Prefix.Addr().Is4In6():
		return keyedBlock{}, false, &PrefixError{Prefix: b.Prefix, Cause: "IPv4-mapped; write it as an IPv4 prefix"}
	}
	key, is4 := keyOf(b.Prefix.Masked().Addr())
	return keyedBlock{key: key, bits: uint8(b.Prefix.Bits()), site: b.Site}, is4, nil
}

// Lookup returns the site of the block with the longest prefix that contains the
// address.
func (t *Table) Lookup(address netip.Addr) (Site, bool) {
	if !address.IsValid() {
		return 0, false
	}
	key, is4 := keyOf(address)
	if is4 {
		return t.v4.lookup(key)
	}
	return t.v6.lookup(key)
}

// Get returns the site of the block with exactly this prefix.
func (t *Table) Get(prefix netip.Prefix) (Site, bool) {
	keyed, is4, err := newKeyedBlock(Block{Prefix: prefix})
	if err != nil {
		return 0, false
	}
	if is4 {
		return t.v4.get(keyed)
	}
	return t.v6.get(keyed)
}

// All returns the blocks, IPv4 before IPv6, in ascending order of their first
// addresses.
func (t *Table) All() iter.Seq[Block] {
	return func(yield func(Block) bool) {
		_ = t.v4.forEach(true, yield) && t.v6.forEach(false, yield)
	}
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.v4.blockCount + t.v6.blockCount }

// Apply returns a new table with the changes; the receiver is not modified.
// Removing a prefix that the table does not contain has no effect. The returned
// error is a *PrefixError.
func (t *Table) Apply(delta Delta) (*Table, error) {
	edit := &tableEditor{base: t, next: &Table{v4: t.v4, v6: t.v6}}
	for _, prefix := range delta.Remove {
		keyed, is4, err := newKeyedBlock(Block{Prefix: prefix})
		if err != nil {
			return nil, err
		}
		edit.writableIndex(is4).remove(keyed)
	}
	for _, b := range delta.Set {
		keyed, is4, err := newKeyedBlock(b)
		if err != nil {
			return nil, err
		}
		edit.writableIndex(is4).set(keyed)
	}
	return edit.next, nil
}

// tableEditor collects changes to a table. It clones the index of an address
// family before the first change to it.
type tableEditor struct {
	base, next *Table
}

// writableIndex returns the index of an address family that may be modified.
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

// AtomicTable holds the current table. The zero value holds none. Readers are
// never blocked; writers are serialized.
type AtomicTable struct {
	writers sync.Mutex
	table   atomic.Pointer[Table]
}

// Load returns the current table, or nil.
func (atomicTable *AtomicTable) Load() *Table { return atomicTable.table.Load() }

// Store replaces the current table.
func (atomicTable *AtomicTable) Store(t *Table) {
	atomicTable.writers.Lock()
	defer atomicTable.writers.Unlock()
	atomicTable.table.Store(t)
}

// Apply applies changes to the current table, or to an empty table if there is
// none. On an error the current table is not replaced.
func (atomicTable *AtomicTable) Apply(delta Delta) error {
	atomicTable.writers.Lock()
	defer atomicTable.writers.Unlock()
	t := atomicTable.table.Load()
	if t == nil {
		t = &Table{v4: &prefixIndex{}, v6: &prefixIndex{}}
	}
	next, err := t.Apply(delta)
	if err != nil {
		return err
	}
	atomicTable.table.Store(next)
	return nil
}
