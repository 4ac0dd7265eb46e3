package lookup

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

const (
	// maxChunkBlocks is the largest number of blocks of a chunk; a fuller one is
	// split into two halves.
	maxChunkBlocks = 128
	// initialChunkBlocks is the number of blocks of a chunk in a table built at once.
	// It leaves room for additions before a split.
	initialChunkBlocks = 96
	// noParent marks a block that no other block of its chunk encloses.
	noParent = ^uint16(0)
)

// addressKey is the first address of a block. An IPv4 address is in the upper 32 bits
// of hi.
type addressKey struct{ hi, lo uint64 }

func (k addressKey) less(other addressKey) bool {
	return k.hi < other.hi || k.hi == other.hi && k.lo < other.lo
}

// keyedBlock is one block: its first address, prefix length and site.
type keyedBlock struct {
	key  addressKey
	bits uint8
	site Site
}

// contains reports whether address is in the block.
func (it keyedBlock) contains(address addressKey) bool {
	return samePrefix(it.key, address, it.bits)
}

func samePrefix(a, b addressKey, bits uint8) bool {
	if bits <= 64 {
		return (a.hi^b.hi)>>(64-bits) == 0
	}
	return a.hi == b.hi && (a.lo^b.lo)>>(128-bits) == 0
}

// sortsBefore orders items by first address, enclosing blocks first.
func (it keyedBlock) sortsBefore(other keyedBlock) bool {
	if it.key != other.key {
		return it.key.less(other.key)
	}
	return it.bits < other.bits
}

// chunkEntry is a block of a chunk. It is 16 bytes, so that the last steps of a
// search, the prefix length and the site share one cache line.
type chunkEntry struct {
	hi     uint64
	bits   uint8
	site   Site
	parent uint16 // Index of the smallest enclosing block of the chunk.
}

// chunk holds the blocks whose first address is in [start of its slot, start
// of the next slot). It is immutable.
type chunk struct {
	entries []chunkEntry
	lo      []uint64 // Lower halves of the first addresses; nil when all are zero.
}

func newChunk(items []keyedBlock) chunk {
	c := chunk{entries: make([]chunkEntry, len(items))}
	var enclosing []uint16
	for i, it := range items {
		if it.key.lo != 0 && c.lo == nil {
			c.lo = make([]uint64, len(items))
		}
		if c.lo != nil {
			c.lo[i] = it.key.lo
		}
		for len(enclosing) > 0 && !items[enclosing[len(enclosing)-1]].contains(it.key) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		parent := noParent
		if len(enclosing) > 0 {
			parent = enclosing[len(enclosing)-1]
		}
		c.entries[i] = chunkEntry{hi: it.key.hi, bits: it.bits, site: it.site, parent: parent}
		enclosing = append(enclosing, uint16(i))
	}
	return c
}

func (c *chunk) keyAt(i int) addressKey {
	k := addressKey{hi: c.entries[i].hi}
	if c.lo != nil {
		k.lo = c.lo[i]
	}
	return k
}

func (c *chunk) blocks() []keyedBlock {
	list := make([]keyedBlock, len(c.entries), len(c.entries)+1)
	for i, e := range c.entries {
		list[i] = keyedBlock{key: c.keyAt(i), bits: e.bits, site: e.site}
	}
	return list
}

// lastAtOrBefore returns the index of the last block that starts at or before address,
// or -1.
func (c *chunk) lastAtOrBefore(address addressKey) int {
	if c.lo != nil {
		return sort.Search(len(c.entries), func(i int) bool { return address.less(c.keyAt(i)) }) - 1
	}
	return lastEntryAtOrBefore(c.entries, address.hi)
}

// lastEntryAtOrBefore returns the index of the last entry whose upper half is at most
// hi, or -1. Each step reads three entries that do not depend on each other,
// which overlaps their cache misses; a binary search takes them one by one.
func lastEntryAtOrBefore(entries []chunkEntry, hi uint64) int {
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
func (c *chunk) lookup(address addressKey) (Site, bool) {
	for i := c.lastAtOrBefore(address); i >= 0; {
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

// indexedChunk is a chunk in the index of a family, with the blocks of earlier chunks
// that cover its first address, longest first. A block of an earlier chunk
// that covers any address of the chunk covers its first address too.
type indexedChunk struct {
	chunk
	enclosing []keyedBlock
}

// prefixIndex is the persistent index of one address family.
type prefixIndex struct {
	startsHi       []uint64 // Upper half of the first address of each slot.
	startsLo       []uint64 // Lower half.
	hasLowerHalves bool     // Whether a lower half may be other than zero.
	chunks         []indexedChunk
	blockCount     int // Number of blocks.
}

// newPrefixIndex builds the index of sorted items with different prefixes.
func newPrefixIndex(items []keyedBlock) *prefixIndex {
	f := &prefixIndex{blockCount: len(items)}
	var enclosing []keyedBlock
	for first := 0; first < len(items); {
		end := chunkEnd(items, first)
		part := items[first:end]
		enclosing = trimToEnclosing(enclosing, part[0].key)
		f.insertChunk(len(f.chunks), part[0].key, indexedChunk{chunk: newChunk(part), enclosing: reversedCopy(enclosing)})
		for _, it := range part {
			enclosing = append(trimToEnclosing(enclosing, it.key), it)
		}
		first = end
	}
	f.startsHi, f.startsLo, f.chunks = slices.Clip(f.startsHi), slices.Clip(f.startsLo), slices.Clip(f.chunks)
	return f
}

// insertChunk puts a slot at index.
func (f *prefixIndex) insertChunk(index int, start addressKey, s indexedChunk) {
	f.startsHi = slices.Insert(f.startsHi, index, start.hi)
	f.startsLo = slices.Insert(f.startsLo, index, start.lo)
	f.chunks = slices.Insert(f.chunks, index, s)
	f.hasLowerHalves = f.hasLowerHalves || start.lo != 0
}

// deleteChunk removes the slot at index.
func (f *prefixIndex) deleteChunk(index int) {
	f.startsHi = slices.Delete(f.startsHi, index, index+1)
	f.startsLo = slices.Delete(f.startsLo, index, index+1)
	f.chunks = slices.Delete(f.chunks, index, index+1)
}

func (f *prefixIndex) start(index int) addressKey {
	return addressKey{hi: f.startsHi[index], lo: f.startsLo[index]}
}

func (f *prefixIndex) setStart(index int, start addressKey) {
	f.startsHi[index], f.startsLo[index] = start.hi, start.lo
	f.hasLowerHalves = f.hasLowerHalves || start.lo != 0
}

// chunkEnd returns the end of a chunk that begins at first. Blocks with the
// same first address (at most 129) stay in one chunk.
func chunkEnd(items []keyedBlock, first int) int {
	end := min(first+initialChunkBlocks, len(items))
	for end < len(items) && items[end].key == items[end-1].key {
		end++
	}
	return end
}

// trimToEnclosing removes the items from the end of a chain that do not cover
// address.
func trimToEnclosing(chain []keyedBlock, address addressKey) []keyedBlock {
	for len(chain) > 0 && !chain[len(chain)-1].contains(address) {
		chain = chain[:len(chain)-1]
	}
	return chain
}

func reversedCopy(chain []keyedBlock) []keyedBlock {
	if len(chain) == 0 {
		return nil
	}
	list := slices.Clone(chain)
	slices.Reverse(list)
	return list
}

// chunkContaining returns the index of the slot that holds address, or -1.
func (f *prefixIndex) chunkContaining(address addressKey) int {
	if f.hasLowerHalves {
		return sort.Search(len(f.startsHi), func(i int) bool { return address.less(f.start(i)) }) - 1
	}
	if len(f.startsHi) == 0 {
		return -1
	}
	return lastStartAtOrBefore(f.startsHi, address.hi)
}

// lastStartAtOrBefore returns the index of the last start that is at most hi, or -1.
func lastStartAtOrBefore(starts []uint64, hi uint64) int {
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

func (f *prefixIndex) lookup(address addressKey) (Site, bool) {
	index := f.chunkContaining(address)
	if index < 0 {
		return 0, false
	}
	s := &f.chunks[index]
	if site, ok := s.lookup(address); ok {
		return site, true
	}
	for _, it := range s.enclosing {
		if it.contains(address) {
			return it.site, true
		}
	}
	return 0, false
}

// clone copies the index; chunks are shared.
func (f *prefixIndex) clone() *prefixIndex {
	next := *f
	next.startsHi, next.startsLo = slices.Clone(f.startsHi), slices.Clone(f.startsLo)
	next.chunks = slices.Clone(f.chunks)
	return &next
}

// set adds or replaces a block. It changes f, which must be a clone.
func (f *prefixIndex) set(it keyedBlock) {
	if len(f.chunks) == 0 {
		*f = *newPrefixIndex([]keyedBlock{it})
		return
	}
	index := max(f.chunkContaining(it.key), 0)
	items := f.chunks[index].blocks()
	at, found := findBlock(items, it)
	if found {
		items[at] = it
	} else {
		items = slices.Insert(items, at, it)
		f.blockCount++
	}
	start := f.start(index)
	if it.key.less(start) {
		start = it.key
	}
	f.replaceChunk(index, start, items)
	f.updateEnclosing(it, appendWith)
}

// remove deletes a block and reports whether it was there. It changes f, which
// must be a clone.
func (f *prefixIndex) remove(it keyedBlock) bool {
	index := f.chunkContaining(it.key)
	if index < 0 {
		return false
	}
	items := f.chunks[index].blocks()
	at, found := findBlock(items, it)
	if !found {
		return false
	}
	f.blockCount--
	f.replaceChunk(index, f.start(index), slices.Delete(items, at, at+1))
	f.updateEnclosing(it, appendWithout)
	return true
}

// get returns the site of exactly this block.
func (f *prefixIndex) get(it keyedBlock) (Site, bool) {
	index := f.chunkContaining(it.key)
	if index < 0 {
		return 0, false
	}
	items := f.chunks[index].blocks()
	at, found := findBlock(items, it)
	if !found {
		return 0, false
	}
	return items[at].site, true
}

func findBlock(items []keyedBlock, it keyedBlock) (int, bool) {
	at := sort.Search(len(items), func(i int) bool { return !items[i].sortsBefore(it) })
	return at, at < len(items) && items[at].key == it.key && items[at].bits == it.bits
}

// replaceChunk puts items in the place of the chunk at index, as none, one or two
// chunks.
func (f *prefixIndex) replaceChunk(index int, start addressKey, items []keyedBlock) {
	if len(items) == 0 {
		f.deleteChunk(index)
		return
	}
	f.setStart(index, start)
	half := splitPoint(items)
	f.chunks[index].chunk = newChunk(items[:half])
	if half == len(items) {
		return
	}
	covers := enclosingAfterSplit(f.chunks[index].enclosing, items[:half], items[half].key)
	f.insertChunk(index+1, items[half].key, indexedChunk{chunk: newChunk(items[half:]), enclosing: covers})
}

// splitPoint returns where to split an overfull chunk, between two different
// first addresses, or len(items) when it need not or cannot be split.
func splitPoint(items []keyedBlock) int {
	if len(items) <= maxChunkBlocks {
		return len(items)
	}
	half := len(items) / 2
	for half < len(items) && items[half].key == items[half-1].key {
		half++
	}
	return half
}

// enclosingAfterSplit returns the covers of a chunk that starts at address, given those of
// the chunk that it was split from and the items left there.
func enclosingAfterSplit(outer []keyedBlock, items []keyedBlock, address addressKey) []keyedBlock {
	var list []keyedBlock
	for i := len(items) - 1; i >= 0; i-- {
		if items[i].contains(address) {
			list = append(list, items[i])
		}
	}
	for _, it := range outer {
		if it.contains(address) {
			list = append(list, it)
		}
	}
	return list
}

// updateEnclosing rewrites the covers of each slot after the one of it whose first
// address it covers. The new lists share one allocation, since a wide block
// covers thousands of slots.
func (f *prefixIndex) updateEnclosing(it keyedBlock, appendChanged func(to, covers []keyedBlock, it keyedBlock) []keyedBlock) {
	first := sort.Search(len(f.startsHi), func(i int) bool { return it.key.less(f.start(i)) })
	end, total := first, 0
	for end < len(f.chunks) && it.contains(f.start(end)) {
		total += len(f.chunks[end].enclosing) + 1
		end++
	}
	lists := make([]keyedBlock, 0, total)
	for i := first; i < end; i++ {
		begin := len(lists)
		lists = appendChanged(lists, f.chunks[i].enclosing, it)
		f.chunks[i].enclosing = lists[begin:len(lists):len(lists)]
	}
}

// appendWith appends covers with it added or replaced, longest first.
func appendWith(to, covers []keyedBlock, it keyedBlock) []keyedBlock {
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
func appendWithout(to, covers []keyedBlock, it keyedBlock) []keyedBlock {
	for _, other := range covers {
		if other.bits != it.bits {
			to = append(to, other)
		}
	}
	return to
}

// keyOf returns the key of an address and whether it is an IPv4 address;
// IPv4-mapped addresses count as IPv4.
func keyOf(address netip.Addr) (addressKey, bool) {
	if address.Is4() || address.Is4In6() {
		raw := address.As4()
		return addressKey{hi: uint64(binary.BigEndian.Uint32(raw[:])) << 32}, true
	}
	raw := address.As16()
	return addressKey{hi: binary.BigEndian.Uint64(raw[:8]), lo: binary.BigEndian.Uint64(raw[8:])}, false
}

// prefix returns the prefix of a block.
func (it keyedBlock) prefix(is4 bool) netip.Prefix {
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

// forEach calls yield for each block and reports whether it went through all.
func (f *prefixIndex) forEach(is4 bool, yield func(Block) bool) bool {
	for i := range f.chunks {
		for _, it := range f.chunks[i].blocks() {
			if !yield(Block{Prefix: it.prefix(is4), Site: it.site}) {
				return false
			}
		}
	}
	return true
}
