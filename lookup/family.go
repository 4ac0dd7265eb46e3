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
func (b keyedBlock) contains(address addressKey) bool {
	return samePrefix(b.key, address, b.bits)
}

func samePrefix(a, b addressKey, bits uint8) bool {
	if bits <= 64 {
		return (a.hi^b.hi)>>(64-bits) == 0
	}
	return a.hi == b.hi && (a.lo^b.lo)>>(128-bits) == 0
}

// sortsBefore orders items by first address, enclosing blocks first.
func (b keyedBlock) sortsBefore(other keyedBlock) bool {
	if b.key != other.key {
		return b.key.less(other.key)
	}
	return b.bits < other.bits
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

func newChunk(blocks []keyedBlock) chunk {
	c := chunk{entries: make([]chunkEntry, len(blocks))}
	var enclosing []uint16
	for i, block := range blocks {
		if block.key.lo != 0 && c.lo == nil {
			c.lo = make([]uint64, len(blocks))
		}
		if c.lo != nil {
			c.lo[i] = block.key.lo
		}
		for len(enclosing) > 0 && !blocks[enclosing[len(enclosing)-1]].contains(block.key) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		parent := noParent
		if len(enclosing) > 0 {
			parent = enclosing[len(enclosing)-1]
		}
		c.entries[i] = chunkEntry{hi: block.key.hi, bits: block.bits, site: block.site, parent: parent}
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
	for i, entry := range c.entries {
		list[i] = keyedBlock{key: c.keyAt(i), bits: entry.bits, site: entry.site}
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
	start, n := 0, len(entries)
	for n > 3 {
		quarter := n >> 2
		first, second, third := entries[start+quarter].hi, entries[start+2*quarter].hi, entries[start+3*quarter].hi
		step, remaining := 0, quarter
		if first <= hi {
			step = quarter
		}
		if second <= hi {
			step = 2 * quarter
		}
		if third <= hi {
			step, remaining = 3*quarter, n-3*quarter
		}
		start, n = start+step, remaining
	}
	for ; n > 1 && entries[start+1].hi <= hi; n-- {
		start++
	}
	if entries[start].hi > hi {
		return -1
	}
	return start
}

// lookup returns the site of the longest block of the chunk that covers address.
func (c *chunk) lookup(address addressKey) (Site, bool) {
	for i := c.lastAtOrBefore(address); i >= 0; {
		entry := &c.entries[i]
		if samePrefix(c.keyAt(i), address, entry.bits) {
			return entry.site, true
		}
		if entry.parent == noParent {
			break
		}
		i = int(entry.parent)
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
func newPrefixIndex(blocks []keyedBlock) *prefixIndex {
	x := &prefixIndex{blockCount: len(blocks)}
	var enclosing []keyedBlock
	for first := 0; first < len(blocks); {
		end := chunkEnd(blocks, first)
		chunkBlocks := blocks[first:end]
		enclosing = trimToEnclosing(enclosing, chunkBlocks[0].key)
		x.insertChunk(len(x.chunks), chunkBlocks[0].key, indexedChunk{chunk: newChunk(chunkBlocks), enclosing: reversedCopy(enclosing)})
		for _, block := range chunkBlocks {
			enclosing = append(trimToEnclosing(enclosing, block.key), block)
		}
		first = end
	}
	x.startsHi, x.startsLo, x.chunks = slices.Clip(x.startsHi), slices.Clip(x.startsLo), slices.Clip(x.chunks)
	return x
}

// insertChunk puts a slot at index.
func (x *prefixIndex) insertChunk(index int, start addressKey, c indexedChunk) {
	x.startsHi = slices.Insert(x.startsHi, index, start.hi)
	x.startsLo = slices.Insert(x.startsLo, index, start.lo)
	x.chunks = slices.Insert(x.chunks, index, c)
	x.hasLowerHalves = x.hasLowerHalves || start.lo != 0
}

// deleteChunk removes the slot at index.
func (x *prefixIndex) deleteChunk(index int) {
	x.startsHi = slices.Delete(x.startsHi, index, index+1)
	x.startsLo = slices.Delete(x.startsLo, index, index+1)
	x.chunks = slices.Delete(x.chunks, index, index+1)
}

func (x *prefixIndex) start(index int) addressKey {
	return addressKey{hi: x.startsHi[index], lo: x.startsLo[index]}
}

func (x *prefixIndex) setStart(index int, start addressKey) {
	x.startsHi[index], x.startsLo[index] = start.hi, start.lo
	x.hasLowerHalves = x.hasLowerHalves || start.lo != 0
}

// chunkEnd returns the end of a chunk that begins at first. Blocks with the
// same first address (at most 129) stay in one chunk.
func chunkEnd(blocks []keyedBlock, first int) int {
	end := min(first+initialChunkBlocks, len(blocks))
	for end < len(blocks) && blocks[end].key == blocks[end-1].key {
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
func (x *prefixIndex) chunkContaining(address addressKey) int {
	if x.hasLowerHalves {
		return sort.Search(len(x.startsHi), func(i int) bool { return address.less(x.start(i)) }) - 1
	}
	if len(x.startsHi) == 0 {
		return -1
	}
	return lastStartAtOrBefore(x.startsHi, address.hi)
}

// lastStartAtOrBefore returns the index of the last start that is at most hi, or -1.
func lastStartAtOrBefore(starts []uint64, hi uint64) int {
	start := 0
	for n := len(starts); n > 1; {
		half := n >> 1
		if starts[start+half] <= hi {
			start += half
		}
		n -= half
	}
	if starts[start] > hi {
		return -1
	}
	return start
}

func (x *prefixIndex) lookup(address addressKey) (Site, bool) {
	index := x.chunkContaining(address)
	if index < 0 {
		return 0, false
	}
	chunk := &x.chunks[index]
	if site, ok := chunk.lookup(address); ok {
		return site, true
	}
	for _, block := range chunk.enclosing {
		if block.contains(address) {
			return block.site, true
		}
	}
	return 0, false
}

// clone copies the index; chunks are shared.
func (x *prefixIndex) clone() *prefixIndex {
	next := *x
	next.startsHi, next.startsLo = slices.Clone(x.startsHi), slices.Clone(x.startsLo)
	next.chunks = slices.Clone(x.chunks)
	return &next
}

// set adds or replaces a block. It changes f, which must be a clone.
func (x *prefixIndex) set(block keyedBlock) {
	if len(x.chunks) == 0 {
		*x = *newPrefixIndex([]keyedBlock{block})
		return
	}
	index := max(x.chunkContaining(block.key), 0)
	blocks := x.chunks[index].blocks()
	at, found := findBlock(blocks, block)
	if found {
		blocks[at] = block
	} else {
		blocks = slices.Insert(blocks, at, block)
		x.blockCount++
	}
	start := x.start(index)
	if block.key.less(start) {
		start = block.key
	}
	x.replaceChunk(index, start, blocks)
	x.updateEnclosing(block, appendWith)
}

// remove deletes a block and reports whether it was there. It changes f, which
// must be a clone.
func (x *prefixIndex) remove(block keyedBlock) bool {
	index := x.chunkContaining(block.key)
	if index < 0 {
		return false
	}
	blocks := x.chunks[index].blocks()
	at, found := findBlock(blocks, block)
	if !found {
		return false
	}
	x.blockCount--
	x.replaceChunk(index, x.start(index), slices.Delete(blocks, at, at+1))
	x.updateEnclosing(block, appendWithout)
	return true
}

// get returns the site of exactly this block.
func (x *prefixIndex) get(block keyedBlock) (Site, bool) {
	index := x.chunkContaining(block.key)
	if index < 0 {
		return 0, false
	}
	blocks := x.chunks[index].blocks()
	at, found := findBlock(blocks, block)
	if !found {
		return 0, false
	}
	return blocks[at].site, true
}

func findBlock(blocks []keyedBlock, block keyedBlock) (int, bool) {
	at := sort.Search(len(blocks), func(i int) bool { return !blocks[i].sortsBefore(block) })
	return at, at < len(blocks) && blocks[at].key == block.key && blocks[at].bits == block.bits
}

// replaceChunk puts items in the place of the chunk at index, as none, one or two
// chunks.
func (x *prefixIndex) replaceChunk(index int, start addressKey, blocks []keyedBlock) {
	if len(blocks) == 0 {
		x.deleteChunk(index)
		return
	}
	x.setStart(index, start)
	split := splitPoint(blocks)
	x.chunks[index].chunk = newChunk(blocks[:split])
	if split == len(blocks) {
		return
	}
	enclosing := enclosingAfterSplit(x.chunks[index].enclosing, blocks[:split], blocks[split].key)
	x.insertChunk(index+1, blocks[split].key, indexedChunk{chunk: newChunk(blocks[split:]), enclosing: enclosing})
}

// splitPoint returns where to split an overfull chunk, between two different
// first addresses, or len(items) when it need not or cannot be split.
func splitPoint(blocks []keyedBlock) int {
	if len(blocks) <= maxChunkBlocks {
		return len(blocks)
	}
	split := len(blocks) / 2
	for split < len(blocks) && blocks[split].key == blocks[split-1].key {
		split++
	}
	return split
}

// enclosingAfterSplit returns the covers of a chunk that starts at address, given those of
// the chunk that it was split from and the items left there.
func enclosingAfterSplit(outer []keyedBlock, blocks []keyedBlock, address addressKey) []keyedBlock {
	var list []keyedBlock
	for i := len(blocks) - 1; i >= 0; i-- {
		if blocks[i].contains(address) {
			list = append(list, blocks[i])
		}
	}
	for _, block := range outer {
		if block.contains(address) {
			list = append(list, block)
		}
	}
	return list
}

// updateEnclosing rewrites the covers of each slot after the one of it whose first
// address it covers. The new lists share one allocation, since a wide block
// covers thousands of slots.
func (x *prefixIndex) updateEnclosing(block keyedBlock, appendChanged func(to, covers []keyedBlock, block keyedBlock) []keyedBlock) {
	first := sort.Search(len(x.startsHi), func(i int) bool { return block.key.less(x.start(i)) })
	end, total := first, 0
	for end < len(x.chunks) && block.contains(x.start(end)) {
		total += len(x.chunks[end].enclosing) + 1
		end++
	}
	lists := make([]keyedBlock, 0, total)
	for i := first; i < end; i++ {
		begin := len(lists)
		lists = appendChanged(lists, x.chunks[i].enclosing, block)
		x.chunks[i].enclosing = lists[begin:len(lists):len(lists)]
	}
}

// appendWith appends covers with it added or replaced, longest first.
func appendWith(to, enclosing []keyedBlock, block keyedBlock) []keyedBlock {
	i := 0
	for ; i < len(enclosing) && enclosing[i].bits > block.bits; i++ {
		to = append(to, enclosing[i])
	}
	to = append(to, block)
	if i < len(enclosing) && enclosing[i].bits == block.bits {
		i++
	}
	return append(to, enclosing[i:]...)
}

// appendWithout appends covers without it.
func appendWithout(to, enclosing []keyedBlock, block keyedBlock) []keyedBlock {
	for _, other := range enclosing {
		if other.bits != block.bits {
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
func (b keyedBlock) prefix(is4 bool) netip.Prefix {
	if is4 {
		var raw [4]byte
		binary.BigEndian.PutUint32(raw[:], uint32(b.key.hi>>32))
		return netip.PrefixFrom(netip.AddrFrom4(raw), int(b.bits))
	}
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], b.key.hi)
	binary.BigEndian.PutUint64(raw[8:], b.key.lo)
	return netip.PrefixFrom(netip.AddrFrom16(raw), int(b.bits))
}

// forEach calls yield for each block and reports whether it went through all.
func (x *prefixIndex) forEach(is4 bool, yield func(Block) bool) bool {
	for i := range x.chunks {
		for _, block := range x.chunks[i].blocks() {
			if !yield(Block{Prefix: block.prefix(is4), Site: block.site}) {
				return false
			}
		}
	}
	return true
}
