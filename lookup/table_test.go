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

// scanLongestMatch is the reference implementation: it scans all blocks for the
// longest prefix that contains the address.
func scanLongestMatch(blocks map[netip.Prefix]lookup.Site, address netip.Addr) (lookup.Site, bool) {
	longest, site := -1, lookup.Site(0)
	for prefix, candidate := range blocks {
		if prefix.Contains(address) && prefix.Bits() > longest {
			longest, site = prefix.Bits(), candidate
		}
	}
	return site, longest >= 0
}

// densePrefix returns a prefix of any length from a small part of the address
// space, so that blocks are nested and share first addresses.
func densePrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(2) == 0 {
		address := netip.AddrFrom4([4]byte{10, byte(random.IntN(2)), byte(random.IntN(256)), byte(random.IntN(4) * 64)})
		return netip.PrefixFrom(address, random.IntN(33)).Masked()
	}
	address := [16]byte{0: 0x2a, 1: byte(random.IntN(2)), 7: byte(random.IntN(8)), 8: byte(random.IntN(8)), 15: byte(random.IntN(8))}
	return netip.PrefixFrom(netip.AddrFrom16(address), random.IntN(129)).Masked()
}

func denseAddress(random *rand.Rand) netip.Addr {
	prefix := densePrefix(random)
	if random.IntN(4) == 0 {
		return prefix.Addr().Prev()
	}
	return addressIn(random, prefix)
}

// Guards against wrong results after sequences of changes that include nested
// blocks, chunk splits, removed chunks and the removal of enclosing blocks.
func TestTableEqualsLinearScan(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 1))
		reference := map[netip.Prefix]lookup.Site{}
		var initial []lookup.Block
		for range 1500 {
			b := lookup.Block{Prefix: densePrefix(random), Site: lookup.Site(random.IntN(fullSizeSites))}
			initial = append(initial, b)
			reference[b.Prefix] = b.Site
		}
		table, err := lookup.NewTable(initial)
		require.NoError(t, err)
		for step := range 3000 {
			table = randomChange(t, random, table, reference, step)
			assertSameLookups(t, random, table, reference, seed, step)
		}
	}
}

// randomChange adds or removes a block. It mostly adds in the first half of the
// steps and mostly removes in the second half.
func randomChange(t *testing.T, random *rand.Rand, table *lookup.Table, reference map[netip.Prefix]lookup.Site, step int) *lookup.Table {
	var delta lookup.Delta
	if growing := step < 1500; (random.IntN(10) < 8) == growing {
		b := lookup.Block{Prefix: densePrefix(random), Site: lookup.Site(random.IntN(fullSizeSites))}
		delta.Set = append(delta.Set, b)
		reference[b.Prefix] = b.Site
	} else {
		prefix := densePrefix(random)
		delta.Remove = append(delta.Remove, prefix)
		delete(reference, prefix)
	}
	next, err := table.Apply(delta)
	require.NoError(t, err)
	require.Equal(t, len(reference), next.Len())
	return next
}

func assertSameLookups(t *testing.T, random *rand.Rand, table *lookup.Table, reference map[netip.Prefix]lookup.Site, seed uint64, step int) {
	for range 2 {
		address := denseAddress(random)
		if !address.IsValid() {
			continue
		}
		want, wantOK := scanLongestMatch(reference, address)
		got, ok := table.Lookup(address)
		require.Equal(t, wantOK, ok, "seed %d step %d address %s", seed, step, address)
		require.Equal(t, want, got, "seed %d step %d address %s", seed, step, address)
	}
}

// Guards against changes that become visible in an old table.
func TestApplyLeavesOldTableUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	reference := map[netip.Prefix]lookup.Site{}
	var blocks []lookup.Block
	for range 2000 {
		b := lookup.Block{Prefix: densePrefix(random), Site: 1}
		blocks = append(blocks, b)
		reference[b.Prefix] = b.Site
	}
	old, err := lookup.NewTable(blocks)
	require.NoError(t, err)
	next := old
	for range 500 {
		next, err = next.Apply(lookup.Delta{
			Set:    []lookup.Block{{Prefix: densePrefix(random), Site: 2}},
			Remove: []netip.Prefix{densePrefix(random)},
		})
		require.NoError(t, err)
	}
	for step := range 2000 {
		assertSameLookups(t, random, old, reference, 5, step)
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

// Guards the limits of the full-size table: less than 24 MB of memory and no
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
	random := rand.New(rand.NewPCG(2, 2))
	list := make([]netip.Addr, 1<<16)
	for i := range list {
		list[i] = addressIn(random, blocks[random.IntN(len(blocks))].Prefix)
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

// Guards against a change that rebuilds the table. The number of allocations must
// not depend on the number of blocks, even for a block that encloses all others.
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

// Guards against readers that see only a part of a delta: both blocks of a delta
// must change at the same time.
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
