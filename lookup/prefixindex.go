package lookup

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

const (
	// maxChunkBlocks is the number of blocks above which a chunk is split into
	// two halves.
	maxChunkBlocks = 128
	// initialChunkBlocks is the number of blocks per chunk in a newly built
	// table. It leaves room for additions before a chunk is split.
	initialChunkBlocks = 96
	// noParent marks a block that is not enclosed by another block of its chunk.
	noParent = ^uint16(0)
)

// addressKey is an address as a pair of sortable numbers. An IPv4 address
// occupies the upper 32 bits of hi.
type addressKey struct{ hi, lo uint64 }

func (k addressKey) less(other addressKey) bool {
	return k.hi < other.hi || k.hi == other.hi && k.lo < other.lo
}

// keyedBlock is a block with its first address as the sort key.
type keyedBlock struct {
	key  addressKey
	bits uint8 // Prefix length.
	site Site
}

// contains reports whether address is in the block.
func (b keyedBlock) contains(address addressKey) bool {
	return samePrefix(b.key, address, b.bits)
}

// samePrefix reports whether the first bits of a and b are equal.
func samePrefix(a, b addressKey, bits uint8) bool {
	if bits <= 64 {
		return (a.hi^b.hi)>>(64-bits) == 0
	}
	return a.hi == b.hi && (a.lo^b.lo)>>(128-bits) == 0
}

// sortsBefore orders blocks by first address. A block sorts before the blocks
// that it encloses.
func (b keyedBlock) sortsBefore(other keyedBlock) bool {
	if b.key != other.key {
		return b.key.less(other.key)
	}
	return b.bits < other.bits
}

// chunkEntry is a block of a chunk. Its size is 16 bytes, so that the last steps
// of a search and the reads of prefix length and site access one cache line.
type chunkEntry struct {
	hi     uint64
	bits   uint8
	site   Site
	parent uint16 // Index of the smallest enclosing block in the chunk, or noParent.
}

// chunk holds the blocks whose first address is at or after the start of the
// chunk and before the start of the next one. It is immutable.
type chunk struct {
	entries []chunkEntry
	lo      []uint64 // Lower halves of the first addresses; nil if all are zero.
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

// keyAt returns the first address of block i.
func (c *chunk) keyAt(i int) addressKey {
	k := addressKey{hi: c.entries[i].hi}
	if c.lo != nil {
		k.lo = c.lo[i]
	}
	return k
}

// blocks returns a copy of the blocks with capacity for one more.
func (c *chunk) blocks() []keyedBlock {
	list := make([]keyedBlock, len(c.entries), len(c.entries)+1)
	for i, entry := range c.entries {
		list[i] = keyedBlock{key: c.keyAt(i), bits: entry.bits, site: entry.site}
	}
	return list
}

// lastAtOrBefore returns the index of the last block whose first address is at
// most address, or -1.
func (c *chunk) lastAtOrBefore(address addressKey) int {
	if c.lo != nil {
		return sort.Search(len(c.entries), func(i int) bool { return address.less(c.keyAt(i)) }) - 1
	}
	return lastEntryAtOrBefore(c.entries, address.hi)
}

// lastEntryAtOrBefore returns the index of the last entry whose upper half is at
// most hi, or -1. Each step reads three independent entries, so that their cache
// misses overlap; in a binary search each read depends on the previous one.
func lastEntryAtOrBefore(entries []chunkEntry, hi uint64) int {
	low, n := 0, len(entries)
	for n > 3 {
		quarter := n >> 2
		first, second, third := entries[low+quarter].hi, entries[low+2*quarter].hi, entries[low+3*quarter].hi
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
		low, n = low+step, remaining
	}
	for ; n > 1 && entries[low+1].hi <= hi; n-- {
		low++
	}
	if entries[low].hi > hi {
		return -1
	}
	return low
}

// lookup returns the site of the longest prefix in the chunk that contains
// address.
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

// indexedChunk is a chunk of a prefixIndex. A block of an earlier chunk that
// contains any address of the chunk also contains the chunk's start, so enclosing
// is complete for look-ups in the chunk.
type indexedChunk struct {
	chunk
	enclosing []keyedBlock // Blocks of earlier chunks that contain the start, longest prefix first.
}

// prefixIndex is the persistent index of the blocks of one address family. The
// slices startsHi, startsLo and chunks are parallel.
type prefixIndex struct {
	startsHi       []uint64 // Upper half of the start address of each chunk.
	startsLo       []uint64 // Lower half.
	hasLowerHalves bool     // False if all values of startsLo are zero.
	chunks         []indexedChunk
	blockCount     int
}

// newPrefixIndex builds the index of sorted blocks with distinct prefixes.
func newPrefixIndex(blocks []keyedBlock) *prefixIndex {
	prefixes := &prefixIndex{blockCount: len(blocks)}
	var enclosing []keyedBlock
	for first := 0; first < len(blocks); {
		end := chunkEnd(blocks, first)
		chunkBlocks := blocks[first:end]
		enclosing = trimToEnclosing(enclosing, chunkBlocks[0].key)
		prefixes.insertChunk(len(prefixes.chunks), chunkBlocks[0].key, indexedChunk{chunk: newChunk(chunkBlocks), enclosing: reversedCopy(enclosing)})
		for _, block := range chunkBlocks {
			enclosing = append(trimToEnclosing(enclosing, block.key), block)
		}
		first = end
	}
	prefixes.startsHi, prefixes.startsLo, prefixes.chunks = slices.Clip(prefixes.startsHi), slices.Clip(prefixes.startsLo), slices.Clip(prefixes.chunks)
	return prefixes
}

// insertChunk inserts a chunk at index.
func (prefixes *prefixIndex) insertChunk(index int, start addressKey, c indexedChunk) {
	prefixes.startsHi = slices.Insert(prefixes.startsHi, index, start.hi)
	prefixes.startsLo = slices.Insert(prefixes.startsLo, index, start.lo)
	prefixes.chunks = slices.Insert(prefixes.chunks, index, c)
	prefixes.hasLowerHalves = prefixes.hasLowerHalves || start.lo != 0
}

func (prefixes *prefixIndex) deleteChunk(index int) {
	prefixes.startsHi = slices.Delete(prefixes.startsHi, index, index+1)
	prefixes.startsLo = slices.Delete(prefixes.startsLo, index, index+1)
	prefixes.chunks = slices.Delete(prefixes.chunks, index, index+1)
}

// start returns the start address of the chunk at index.
func (prefixes *prefixIndex) start(index int) addressKey {
	return addressKey{hi: prefixes.startsHi[index], lo: prefixes.startsLo[index]}
}

func (prefixes *prefixIndex) setStart(index int, start addressKey) {
	prefixes.startsHi[index], prefixes.startsLo[index] = start.hi, start.lo
	prefixes.hasLowerHalves = prefixes.hasLowerHalves || start.lo != 0
}

// chunkEnd returns the end of a chunk that begins at first. Blocks with the same
// first address, of which there are at most 129, stay in one chunk.
func chunkEnd(blocks []keyedBlock, first int) int {
	end := min(first+initialChunkBlocks, len(blocks))
	for end < len(blocks) && blocks[end].key == blocks[end-1].key {
		end++
	}
	return end
}

// trimToEnclosing removes blocks from the end of a chain of nested blocks until
// the last one contains address.
func trimToEnclosing(chain []keyedBlock, address addressKey) []keyedBlock {
	for len(chain) > 0 && !chain[len(chain)-1].contains(address) {
		chain = chain[:len(chain)-1]
	}
	return chain
}

// reversedCopy returns the blocks of a chain with the longest prefix first.
func reversedCopy(chain []keyedBlock) []keyedBlock {
	if len(chain) == 0 {
		return nil
	}
	list := slices.Clone(chain)
	slices.Reverse(list)
	return list
}

// chunkContaining returns the index of the last chunk whose start is at most
// address, or -1.
func (prefixes *prefixIndex) chunkContaining(address addressKey) int {
	if prefixes.hasLowerHalves {
		return sort.Search(len(prefixes.startsHi), func(i int) bool { return address.less(prefixes.start(i)) }) - 1
	}
	if len(prefixes.startsHi) == 0 {
		return -1
	}
	return lastStartAtOrBefore(prefixes.startsHi, address.hi)
}

// lastStartAtOrBefore returns the index of the last start that is at most hi, or
// -1.
func lastStartAtOrBefore(starts []uint64, hi uint64) int {
	low := 0
	for n := len(starts); n > 1; {
		half := n >> 1
		if starts[low+half] <= hi {
			low += half
		}
		n -= half
	}
	if starts[low] > hi {
		return -1
	}
	return low
}

// lookup returns the site of the longest prefix that contains address.
func (prefixes *prefixIndex) lookup(address addressKey) (Site, bool) {
	index := prefixes.chunkContaining(address)
	if index < 0 {
		return 0, false
	}
	chunk := &prefixes.chunks[index]
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

// clone returns a copy of the index that shares the chunks.
func (prefixes *prefixIndex) clone() *prefixIndex {
	next := *prefixes
	next.startsHi, next.startsLo = slices.Clone(prefixes.startsHi), slices.Clone(prefixes.startsLo)
	next.chunks = slices.Clone(prefixes.chunks)
	return &next
}

// set adds or replaces a block. It modifies the receiver, which must be a clone
// that readers cannot access yet.
func (prefixes *prefixIndex) set(block keyedBlock) {
	if len(prefixes.chunks) == 0 {
		*prefixes = *newPrefixIndex([]keyedBlock{block})
		return
	}
	index := max(prefixes.chunkContaining(block.key), 0)
	blocks := prefixes.chunks[index].blocks()
	at, found := findBlock(blocks, block)
	if found {
		blocks[at] = block
	} else {
		blocks = slices.Insert(blocks, at, block)
		prefixes.blockCount++
	}
	start := prefixes.start(index)
	if block.key.less(start) {
		start = block.key
	}
	prefixes.replaceChunk(index, start, blocks)
	prefixes.updateEnclosing(block, appendWith)
}

// remove deletes a block and reports whether it existed. It modifies the
// receiver, which must be a clone that readers cannot access yet.
func (prefixes *prefixIndex) remove(block keyedBlock) bool {
	index := prefixes.chunkContaining(block.key)
	if index < 0 {
		return false
	}
	blocks := prefixes.chunks[index].blocks()
	at, found := findBlock(blocks, block)
	if !found {
		return false
	}
	prefixes.blockCount--
	prefixes.replaceChunk(index, prefixes.start(index), slices.Delete(blocks, at, at+1))
	prefixes.updateEnclosing(block, appendWithout)
	return true
}

// get returns the site of the block with the same prefix as block.
func (prefixes *prefixIndex) get(block keyedBlock) (Site, bool) {
	index := prefixes.chunkContaining(block.key)
	if index < 0 {
		return 0, false
	}
	blocks := prefixes.chunks[index].blocks()
	at, found := findBlock(blocks, block)
	if !found {
		return 0, false
	}
	return blocks[at].site, true
}

// findBlock returns the position of the block with the same prefix, or the
// position at which to insert it, and reports whether it exists.
func findBlock(blocks []keyedBlock, block keyedBlock) (int, bool) {
	at := sort.Search(len(blocks), func(i int) bool { return !blocks[i].sortsBefore(block) })
	return at, at < len(blocks) && blocks[at].key == block.key && blocks[at].bits == block.bits
}

// replaceChunk replaces the chunk at index by no chunk, one chunk or two chunks,
// depending on the number of blocks.
func (prefixes *prefixIndex) replaceChunk(index int, start addressKey, blocks []keyedBlock) {
	if len(blocks) == 0 {
		prefixes.deleteChunk(index)
		return
	}
	prefixes.setStart(index, start)
	split := splitPoint(blocks)
	prefixes.chunks[index].chunk = newChunk(blocks[:split])
	if split == len(blocks) {
		return
	}
	enclosing := enclosingAfterSplit(prefixes.chunks[index].enclosing, blocks[:split], blocks[split].key)
	prefixes.insertChunk(index+1, blocks[split].key, indexedChunk{chunk: newChunk(blocks[split:]), enclosing: enclosing})
}

// splitPoint returns the index at which to split the blocks of a chunk, which is
// between two different first addresses. It returns len(blocks) if the chunk is
// small enough or cannot be split.
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

// enclosingAfterSplit returns the enclosing blocks of a chunk that starts at
// address. Outer are the enclosing blocks of the chunk that it was split from,
// blocks those that remain in that chunk.
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

// updateEnclosing updates the enclosing blocks of each later chunk whose start is
// in block. The new lists share one allocation, because a short prefix contains
// the starts of thousands of chunks.
func (prefixes *prefixIndex) updateEnclosing(block keyedBlock, appendChanged func(to, enclosing []keyedBlock, block keyedBlock) []keyedBlock) {
	first := sort.Search(len(prefixes.startsHi), func(i int) bool { return block.key.less(prefixes.start(i)) })
	end, total := first, 0
	for end < len(prefixes.chunks) && block.contains(prefixes.start(end)) {
		total += len(prefixes.chunks[end].enclosing) + 1
		end++
	}
	lists := make([]keyedBlock, 0, total)
	for i := first; i < end; i++ {
		listStart := len(lists)
		lists = appendChanged(lists, prefixes.chunks[i].enclosing, block)
		prefixes.chunks[i].enclosing = lists[listStart:len(lists):len(lists)]
	}
}

// appendWith appends enclosing to a list, with block added or replaced, longest
// prefix first.
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

// appendWithout appends enclosing without block to a list.
func appendWithout(to, enclosing []keyedBlock, block keyedBlock) []keyedBlock {
	for _, other := range enclosing {
		if other.bits != block.bits {
			to = append(to, other)
		}
	}
	return to
}

// keyOf returns the key of an address and reports whether it is an IPv4 address.
// IPv4-mapped IPv6 addresses are treated as IPv4.
func keyOf(address netip.Addr) (addressKey, bool) {
	if address.Is4() || address.Is4In6() {
		raw := address.As4()
		return addressKey{hi: uint64(binary.BigEndian.Uint32(raw[:])) << 32}, true
	}
	raw := address.As16()
	return addressKey{hi: binary.BigEndian.Uint64(raw[:8]), lo: binary.BigEndian.Uint64(raw[8:])}, false
}

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

// forEach calls yield for each block until yield returns false. It reports
// whether yield returned true for all blocks.
func (prefixes *prefixIndex) forEach(is4 bool, yield func(Block) bool) bool {
	for i := range prefixes.chunks {
		for _, block := range prefixes.chunks[i].blocks() {
			if !yield(Block{Prefix: block.prefix(is4), Site: block.site}) {
				return false
			}
		}
	}
	return true
}
