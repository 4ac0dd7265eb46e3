package lookup_test

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/lookup"
)

// scanLongestMatch is the reference: the longest of all blocks that contain the address.
func scanLongestMatch(blocks map[netip.Prefix]lookup.Site, address netip.Addr) (lookup.Site, bool) {
	best, site := -1, lookup.Site(0)
	for p, s := range blocks {
		if p.Contains(address) && p.Bits() > best {
			best, site = p.Bits(), s
		}
	}
	return site, best >= 0
}

// densePrefix draws prefixes of all lengths from a small part of the address
// space, so that blocks nest and share first addresses.
func densePrefix(r *rand.Rand) netip.Prefix {
	if r.IntN(2) == 0 {
		a := netip.AddrFrom4([4]byte{10, byte(r.IntN(2)), byte(r.IntN(256)), byte(r.IntN(4) * 64)})
		return netip.PrefixFrom(a, r.IntN(33)).Masked()
	}
	a := [16]byte{0: 0x2a, 1: byte(r.IntN(2)), 7: byte(r.IntN(8)), 8: byte(r.IntN(8)), 15: byte(r.IntN(8))}
	return netip.PrefixFrom(netip.AddrFrom16(a), r.IntN(129)).Masked()
}

func denseAddress(r *rand.Rand) netip.Addr {
	p := densePrefix(r)
	if r.IntN(4) == 0 {
		return p.Addr().Prev()
	}
	return addressIn(r, p)
}

// Guards against wrong answers after any sequence of changes: nested blocks,
// chunk splits and merges, removal of enclosing blocks.
func TestTableEqualsLinearScan(t *testing.T) {
	for seed := range uint64(4) {
		r := rand.New(rand.NewPCG(seed, 1))
		reference := map[netip.Prefix]lookup.Site{}
		var start []lookup.Block
		for range 1500 {
			b := lookup.Block{Prefix: densePrefix(r), Site: lookup.Site(r.IntN(fullSizeSites))}
			start = append(start, b)
			reference[b.Prefix] = b.Site
		}
		table, err := lookup.NewTable(start)
		require.NoError(t, err)
		for step := range 3000 {
			table = randomChange(t, r, table, reference, step)
			assertSameLookups(t, r, table, reference, seed, step)
		}
	}
}

// randomChange mostly adds in the first half of the steps and mostly removes
// in the second.
func randomChange(t *testing.T, r *rand.Rand, table *lookup.Table, reference map[netip.Prefix]lookup.Site, step int) *lookup.Table {
	var d lookup.Delta
	if growing := step < 1500; (r.IntN(10) < 8) == growing {
		b := lookup.Block{Prefix: densePrefix(r), Site: lookup.Site(r.IntN(fullSizeSites))}
		d.Set = append(d.Set, b)
		reference[b.Prefix] = b.Site
	} else {
		p := densePrefix(r)
		d.Remove = append(d.Remove, p)
		delete(reference, p)
	}
	next, err := table.Apply(d)
	require.NoError(t, err)
	require.Equal(t, len(reference), next.Len())
	return next
}

func assertSameLookups(t *testing.T, r *rand.Rand, table *lookup.Table, reference map[netip.Prefix]lookup.Site, seed uint64, step int) {
	for range 2 {
		address := denseAddress(r)
		if !address.IsValid() {
			continue
		}
		want, wantOK := scanLongestMatch(reference, address)
		got, ok := table.Lookup(address)
		require.Equal(t, wantOK, ok, "seed %d step %d address %s", seed, step, address)
		require.Equal(t, want, got, "seed %d step %d address %s", seed, step, address)
	}
}

// Guards against readers of an old table seeing a change.
func TestApplyLeavesOldTableUnchanged(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	reference := map[netip.Prefix]lookup.Site{}
	var blocks []lookup.Block
	for range 2000 {
		b := lookup.Block{Prefix: densePrefix(r), Site: 1}
		blocks = append(blocks, b)
		reference[b.Prefix] = b.Site
	}
	old, err := lookup.NewTable(blocks)
	require.NoError(t, err)
	next := old
	for range 500 {
		next, err = next.Apply(lookup.Delta{
			Set:    []lookup.Block{{Prefix: densePrefix(r), Site: 2}},
			Remove: []netip.Prefix{densePrefix(r)},
		})
		require.NoError(t, err)
	}
	for step := range 2000 {
		assertSameLookups(t, r, old, reference, 5, step)
	}
}

func TestTableRejectsUnsupportedPrefixes(t *testing.T) {
	for _, p := range []netip.Prefix{{}, netip.MustParsePrefix("::ffff:10.0.0.0/104")} {
		var failure *lookup.PrefixError
		_, err := lookup.NewTable([]lookup.Block{{Prefix: p}})
		require.ErrorAs(t, err, &failure)
		var current lookup.AtomicTable
		require.ErrorAs(t, current.Apply(lookup.Delta{Set: []lookup.Block{{Prefix: p}}}), &failure)
		assert.Nil(t, current.Load())
	}
}

func TestTableTreatsMappedAddressesAsIPv4(t *testing.T) {
	var current lookup.AtomicTable
	require.NoError(t, current.Apply(lookup.Delta{Set: []lookup.Block{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: 3},
		{Prefix: netip.MustParsePrefix("::/0"), Site: 4},
	}}))
	site, ok := current.Load().Lookup(netip.MustParseAddr("::ffff:10.1.2.3"))
	assert.True(t, ok)
	assert.EqualValues(t, 3, site)
	_, ok = current.Load().Lookup(netip.Addr{})
	assert.False(t, ok)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards the bounds of the full-size table: memory under 24 MB and no
// allocation in a look-up.
func TestFullTableKeepsItsBounds(t *testing.T) {
	const maxTableBytes = 24_000_000
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 1)), fullSizeBlocks)
	before := liveHeap()
	table, err := lookup.NewTable(blocks)
	require.NoError(t, err)
	after := liveHeap()
	assert.Less(t, int64(after)-int64(before), int64(maxTableBytes))
	t.Logf("table: %.1f MB", float64(int64(after)-int64(before))/1e6)
	addresses := randomAddresses(blocks)
	i := 0
	assert.Zero(t, testing.AllocsPerRun(10_000, func() {
		table.Lookup(addresses[i%len(addresses)])
		i++
	}))
	runtime.KeepAlive(blocks)
	runtime.KeepAlive(table)
}

func randomAddresses(blocks []lookup.Block) []netip.Addr {
	r := rand.New(rand.NewPCG(2, 2))
	list := make([]netip.Addr, 1<<16)
	for i := range list {
		list[i] = addressIn(r, blocks[r.IntN(len(blocks))].Prefix)
	}
	return list
}

func BenchmarkLookup(b *testing.B) {
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 1)), fullSizeBlocks)
	table, err := lookup.NewTable(blocks)
	require.NoError(b, err)
	addresses := randomAddresses(blocks)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Lookup(addresses[i&(1<<16-1)])
	}
}

func BenchmarkApplyOneBlock(b *testing.B) {
	for _, c := range []struct{ name, prefix string }{{"narrow", "10.1.2.0/24"}, {"all", "0.0.0.0/0"}} {
		b.Run(c.name, func(b *testing.B) {
			table, err := lookup.NewTable(randomBlocks(rand.New(rand.NewPCG(1, 1)), fullSizeBlocks))
			require.NoError(b, err)
			prefix := netip.MustParsePrefix(c.prefix)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table, err = table.Apply(lookup.Delta{Set: []lookup.Block{{Prefix: prefix, Site: lookup.Site(i % fullSizeSites)}}})
				require.NoError(b, err)
			}
		})
	}
}

// Guards against a change that rebuilds the table: the number of allocations
// does not depend on the number of blocks, even for a block that covers all.
func TestOneBlockChangeAllocatesLittle(t *testing.T) {
	const maxAllocations = 16
	for _, count := range []int{10_000, 100_000} {
		table, err := lookup.NewTable(randomBlocks(rand.New(rand.NewPCG(1, 1)), count))
		require.NoError(t, err)
		for _, prefix := range []string{"10.1.2.0/24", "0.0.0.0/0", "2a01::/16"} {
			d := lookup.Delta{Set: []lookup.Block{{Prefix: netip.MustParsePrefix(prefix), Site: 9}}}
			allocations := testing.AllocsPerRun(20, func() { _, _ = table.Apply(d) })
			assert.LessOrEqual(t, allocations, float64(maxAllocations), "%d blocks, %s", count, prefix)
		}
	}
}

// Guards against a reader that sees a mix of two tables: both blocks of a
// delta change at once.
func TestReadersSeeDeltasAtomically(t *testing.T) {
	const changes = 2000
	low, high := netip.MustParsePrefix("10.0.0.0/24"), netip.MustParsePrefix("2a00::/48")
	set := func(site lookup.Site) lookup.Delta {
		return lookup.Delta{Set: []lookup.Block{{Prefix: low, Site: site}, {Prefix: high, Site: site}}}
	}
	var current lookup.AtomicTable
	require.NoError(t, current.Apply(set(0)))
	var readers sync.WaitGroup
	var done atomic.Bool
	for range 3 {
		readers.Go(func() {
			for !done.Load() {
				table := current.Load()
				first, _ := table.Lookup(low.Addr())
				second, _ := table.Lookup(high.Addr())
				if first != second {
					t.Errorf("sites %d and %d in one table", first, second)
					return
				}
			}
		})
	}
	for i := range changes {
		require.NoError(t, current.Apply(set(lookup.Site(i))))
	}
	done.Store(true)
	readers.Wait()
}
