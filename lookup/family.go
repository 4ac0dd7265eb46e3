package lookup

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

const (
	// maxChunk is the largest number of blocks of a chunk; a fuller one is
	// split into two halves.
	maxChunk = 128
	// fillChunk is the number of blocks of a chunk in a table built at once.
	// It leaves room for additions before a split.
	fillChunk = 96
	// noParent marks a block that no other block of its chunk encloses.
	noParent = ^uint16(0)
)

// key is the first address of a block. An IPv4 address is in the upper 32 bits
// of hi.
type key struct{ hi, lo uint64 }

func (k key) less(other key) bool {
	return k.hi < other.hi || k.hi == other.hi && k.lo < other.lo
}

// item is one block: its first address, prefix length and site.
type item struct {
	key  key
	bits uint8
	site Site
}

// covers reports whether address is in the block.
func (it item) covers(address key) bool {
	return samePrefix(it.key, address, it.bits)
}

func samePrefix(a, b key, bits uint8) bool {
	if bits <= 64 {
		return (a.hi^b.hi)>>(64-bits) == 0
	}
	return a.hi == b.hi && (a.lo^b.lo)>>(128-bits) == 0
}

// before orders items by first address, enclosing blocks first.
func (it item) before(other item) bool {
	if it.key != other.key {
		return it.key.less(other.key)
	}
	return it.bits < other.bits
}

// entry is a block of a chunk. It is 16 bytes, so that the last steps of a
// search, the prefix length and the site share one cache line.
type entry struct {
	hi     uint64
	bits   uint8
	site   Site
	parent uint16 // Index of the smallest enclosing block of the chunk.
}

// chunk holds the blocks whose first address is in [start of its slot, start
// of the next slot). It is immutable.
type chunk struct {
	entries []entry
	lo      []uint64 // Lower halves of the first addresses; nil when all are zero.
}

func newChunk(items []item) chunk {
	c := chunk{entries: make([]entry, len(items))}
	var enclosing []uint16
	for i, it := range items {
		if it.key.lo != 0 && c.lo == nil {
			c.lo = make([]uint64, len(items))
		}
		if c.lo != nil {
			c.lo[i] = it.key.lo
		}
		for len(enclosing) > 0 && !items[enclosing[len(enclosing)-1]].covers(it.key) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		parent := noParent
		if len(enclosing) > 0 {
			parent = enclosing[len(enclosing)-1]
		}
		c.entries[i] = entry{hi: it.key.hi, bits: it.bits, site: it.site, parent: parent}
		enclosing = append(enclosing, uint16(i))
	}
	return c
}

func (c *chunk) keyAt(i int) key {
	k := key{hi: c.entries[i].hi}
	if c.lo != nil {
		k.lo = c.lo[i]
	}
	return k
}

func (c *chunk) items() []item {
	list := make([]item, len(c.entries), len(c.entries)+1)
	for i, e := range c.entries {
		list[i] = item{key: c.keyAt(i), bits: e.bits, site: e.site}
	}
	return list
}

// last returns the index of the last block that starts at or before address,
// or -1.
func (c *chunk) last(address key) int {
	if c.lo != nil {
		return sort.Search(len(c.entries), func(i int) bool { return address.less(c.keyAt(i)) }) - 1
	}
	return lastEntry(c.entries, address.hi)
}

// lastEntry returns the index of the last entry whose upper half is at most
// hi, or -1. Each step reads three entries that do not depend on each other,
// which overlaps their cache misses; a binary search takes them one by one.
func lastEntry(entries []entry, hi uint64) int {
	base, n := 0, len(entries)
	for n > 3 {
		quarter := n >> 2
		first, second, third := entries[base+quarter].hi, entries[base+2*quarter].hi, entries[base+3*quarter].hi
		step, rest := 0, quarter
		if first <= hi {
			step = quarter
		}
		if second <= hi {
			step = 2 * quarter
		}
		if third <= hi {
			step, rest = 3*quarter, n-3*quarter
		}
		base, n = base+step, rest
	}
	for ; n > 1 && entries[base+1].hi <= hi; n-- {
		base++
	}
	if entries[base].hi > hi {
		return -1
	}
	return base
}

// lookup returns the site of the longest block of the chunk that covers address.
func (c *chunk) lookup(address key) (Site, bool) {
	for i := c.last(address); i >= 0; {
		e := &c.entries[i]
		if samePrefix(c.keyAt(i), address, e.bits) {
			return e.site, true
		}
		if e.parent == noParent {
			break
		}
		i = int(e.parent)
	}
	return 0, false
}

// slot is a chunk in the index of a family, with the blocks of earlier chunks
// that cover its first address, longest first. A block of an earlier chunk
// that covers any address of the chunk covers its first address too.
type slot struct {
	chunk
	covers []item
}

// family is the persistent index of one address family.
type family struct {
	starts   []uint64 // Upper half of the first address of each slot.
	startsLo []uint64 // Lower half.
	wide     bool     // Whether a lower half may be other than zero.
	slots    []slot
	size     int // Number of blocks.
}

// newFamily builds the index of sorted items with different prefixes.
func newFamily(items []item) *family {
	f := &family{size: len(items)}
	var enclosing []item
	for first := 0; first < len(items); {
		end := chunkEnd(items, first)
		part := items[first:end]
		enclosing = coveringOnly(enclosing, part[0].key)
		f.insert(len(f.slots), part[0].key, slot{chunk: newChunk(part), covers: longestFirst(enclosing)})
		for _, it := range part {
			enclosing = append(coveringOnly(enclosing, it.key), it)
		}
		first = end
	}
	f.starts, f.startsLo, f.slots = slices.Clip(f.starts), slices.Clip(f.startsLo), slices.Clip(f.slots)
	return f
}

// insert puts a slot at index.
func (f *family) insert(index int, start key, s slot) {
	f.starts = slices.Insert(f.starts, index, start.hi)
	f.startsLo = slices.Insert(f.startsLo, index, start.lo)
	f.slots = slices.Insert(f.slots, index, s)
	f.wide = f.wide || start.lo != 0
}

// delete removes the slot at index.
func (f *family) delete(index int) {
	f.starts = slices.Delete(f.starts, index, index+1)
	f.startsLo = slices.Delete(f.startsLo, index, index+1)
	f.slots = slices.Delete(f.slots, index, index+1)
}

func (f *family) start(index int) key {
	return key{hi: f.starts[index], lo: f.startsLo[index]}
}

func (f *family) setStart(index int, start key) {
	f.starts[index], f.startsLo[index] = start.hi, start.lo
	f.wide = f.wide || start.lo != 0
}

// chunkEnd returns the end of a chunk that begins at first. Blocks with the
// same first address (at most 129) stay in one chunk.
func chunkEnd(items []item, first int) int {
	end := min(first+fillChunk, len(items))
	for end < len(items) && items[end].key == items[end-1].key {
		end++
	}
	return end
}

// coveringOnly removes the items from the end of a chain that do not cover
// address.
func coveringOnly(chain []item, address key) []item {
	for len(chain) > 0 && !chain[len(chain)-1].covers(address) {
		chain = chain[:len(chain)-1]
	}
	return chain
}

func longestFirst(chain []item) []item {
	if len(chain) == 0 {
		return nil
	}
	list := slices.Clone(chain)
	slices.Reverse(list)
	return list
}

// slotOf returns the index of the slot that holds address, or -1.
func (f *family) slotOf(address key) int {
	if f.wide {
		return sort.Search(len(f.starts), func(i int) bool { return address.less(f.start(i)) }) - 1
	}
	if len(f.starts) == 0 {
		return -1
	}
	return lastStart(f.starts, address.hi)
}

// lastStart returns the index of the last start that is at most hi, or -1.
func lastStart(starts []uint64, hi uint64) int {
	base := 0
	for n := len(starts); n > 1; {
		half := n >> 1
		if starts[base+half] <= hi {
			base += half
		}
		n -= half
	}
	if starts[base] > hi {
		return -1
	}
	return base
}

func (f *family) lookup(address key) (Site, bool) {
	index := f.slotOf(address)
	if index < 0 {
		return 0, false
	}
	s := &f.slots[index]
	if site, ok := s.lookup(address); ok {
		return site, true
	}
	for _, it := range s.covers {
		if it.covers(address) {
			return it.site, true
		}
	}
	return 0, false
}

// clone copies the index; chunks are shared.
func (f *family) clone() *family {
	next := *f
	next.starts, next.startsLo = slices.Clone(f.starts), slices.Clone(f.startsLo)
	next.slots = slices.Clone(f.slots)
	return &next
}

// set adds or replaces a block. It changes f, which must be a clone.
func (f *family) set(it item) {
	if len(f.slots) == 0 {
		*f = *newFamily([]item{it})
		return
	}
	index := max(f.slotOf(it.key), 0)
	items := f.slots[index].items()
	at, found := position(items, it)
	if found {
		items[at] = it
	} else {
		items = slices.Insert(items, at, it)
		f.size++
	}
	start := f.start(index)
	if it.key.less(start) {
		start = it.key
	}
	f.replace(index, start, items)
	f.changeCovers(it, appendWith)
}

// remove deletes a block and reports whether it was there. It changes f, which
// must be a clone.
func (f *family) remove(it item) bool {
	index := f.slotOf(it.key)
	if index < 0 {
		return false
	}
	items := f.slots[index].items()
	at, found := position(items, it)
	if !found {
		return false
	}
	f.size--
	f.replace(index, f.start(index), slices.Delete(items, at, at+1))
	f.changeCovers(it, appendWithout)
	return true
}

// get returns the site of exactly this block.
func (f *family) get(it item) (Site, bool) {
	index := f.slotOf(it.key)
	if index < 0 {
		return 0, false
	}
	items := f.slots[index].items()
	at, found := position(items, it)
	if !found {
		return 0, false
	}
	return items[at].site, true
}

func position(items []item, it item) (int, bool) {
	at := sort.Search(len(items), func(i int) bool { return !items[i].before(it) })
	return at, at < len(items) && items[at].key == it.key && items[at].bits == it.bits
}

// replace puts items in the place of the chunk at index, as none, one or two
// chunks.
func (f *family) replace(index int, start key, items []item) {
	if len(items) == 0 {
		f.delete(index)
		return
	}
	f.setStart(index, start)
	half := splitPoint(items)
	f.slots[index].chunk = newChunk(items[:half])
	if half == len(items) {
		return
	}
	covers := coversOf(f.slots[index].covers, items[:half], items[half].key)
	f.insert(index+1, items[half].key, slot{chunk: newChunk(items[half:]), covers: covers})
}

// splitPoint returns where to split an overfull chunk, between two different
// first addresses, or len(items) when it need not or cannot be split.
func splitPoint(items []item) int {
	if len(items) <= maxChunk {
		return len(items)
	}
	half := len(items) / 2
	for half < len(items) && items[half].key == items[half-1].key {
		half++
	}
	return half
}

// coversOf returns the covers of a chunk that starts at address, given those of
// the chunk that it was split from and the items left there.
func coversOf(outer []item, items []item, address key) []item {
	var list []item
	for i := len(items) - 1; i >= 0; i-- {
		if items[i].covers(address) {
			list = append(list, items[i])
		}
	}
	for _, it := range outer {
		if it.covers(address) {
			list = append(list, it)
		}
	}
	return list
}

// changeCovers rewrites the covers of each slot after the one of it whose first
// address it covers. The new lists share one allocation, since a wide block
// covers thousands of slots.
func (f *family) changeCovers(it item, appendChanged func(to, covers []item, it item) []item) {
	first := sort.Search(len(f.starts), func(i int) bool { return it.key.less(f.start(i)) })
	end, total := first, 0
	for end < len(f.slots) && it.covers(f.start(end)) {
		total += len(f.slots[end].covers) + 1
		end++
	}
	lists := make([]item, 0, total)
	for i := first; i < end; i++ {
		begin := len(lists)
		lists = appendChanged(lists, f.slots[i].covers, it)
		f.slots[i].covers = lists[begin:len(lists):len(lists)]
	}
}

// appendWith appends covers with it added or replaced, longest first.
func appendWith(to, covers []item, it item) []item {
	i := 0
	for ; i < len(covers) && covers[i].bits > it.bits; i++ {
		to = append(to, covers[i])
	}
	to = append(to, it)
	if i < len(covers) && covers[i].bits == it.bits {
		i++
	}
	return append(to, covers[i:]...)
}

// appendWithout appends covers without it.
func appendWithout(to, covers []item, it item) []item {
	for _, other := range covers {
		if other.bits != it.bits {
			to = append(to, other)
		}
	}
	return to
}

// keyOf returns the key of an address and whether it is an IPv4 address;
// IPv4-mapped addresses count as IPv4.
func keyOf(address netip.Addr) (key, bool) {
	if address.Is4() || address.Is4In6() {
		raw := address.As4()
		return key{hi: uint64(binary.BigEndian.Uint32(raw[:])) << 32}, true
	}
	raw := address.As16()
	return key{hi: binary.BigEndian.Uint64(raw[:8]), lo: binary.BigEndian.Uint64(raw[8:])}, false
}

// prefix returns the prefix of a block.
func (it item) prefix(is4 bool) netip.Prefix {
	if is4 {
		var raw [4]byte
		binary.BigEndian.PutUint32(raw[:], uint32(it.key.hi>>32))
		return netip.PrefixFrom(netip.AddrFrom4(raw), int(it.bits))
	}
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], it.key.hi)
	binary.BigEndian.PutUint64(raw[8:], it.key.lo)
	return netip.PrefixFrom(netip.AddrFrom16(raw), int(it.bits))
}

// each calls yield for each block and reports whether it went through all.
func (f *family) each(is4 bool, yield func(Block) bool) bool {
	for i := range f.slots {
		for _, it := range f.slots[i].items() {
			if !yield(Block{Prefix: it.prefix(is4), Site: it.site}) {
				return false
			}
		}
	}
	return true
}
