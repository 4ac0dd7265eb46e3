package lookup

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// InstanceState is the state of an entry instance as far as look-ups need it.
type InstanceState uint8

// States of an instance. Only live instances are named to callers.
const (
	InstanceLive InstanceState = iota
	InstanceSlow
	InstanceLeaving
	InstanceGone
)

// Instance is one entry instance.
type Instance struct {
	Name    string
	Address string // Caller address, ip:port.
	Domain  string
	Region  string
	State   InstanceState
}

// candidates are the live instances of a domain or region.
type candidates struct {
	hashes    []uint64 // Hash of each instance's name.
	versions  []uint64 // Hash of each instance's name and address.
	instances []Instance
}

func (c *candidates) add(in Instance) {
	c.hashes = append(c.hashes, xxhash.Sum64String(in.Name))
	c.versions = append(c.versions, xxhash.Sum64String(in.Name+" "+in.Address))
	c.instances = append(c.instances, in)
}

// estimateThreshold returns a weight that about twice MaxInstances of the instances
// exceed. Starting from it halves the insertions into the ranking; when too few
// exceed it, the ranking is repeated without it.
func (c *candidates) estimateThreshold() uint64 {
	const expected = 2 * MaxInstances
	n := uint64(len(c.hashes))
	if n <= 2*expected {
		return 0
	}
	return math.MaxUint64 - math.MaxUint64/n*expected
}

// rankInto offers the instances outside the skipped domain to b.
func (c *candidates) rankInto(b *topInstances, skipDomain string, caller uint64) {
	lowest := b.threshold
	for i, hash := range c.hashes {
		weight := mixHash(caller, hash)
		if weight <= lowest {
			continue
		}
		if skipDomain == "" || c.instances[i].Domain != skipDomain {
			b.insert(weight, i)
			lowest = b.threshold
		}
	}
}

// Fleet indexes the live instances by failure domain and by region. It is
// immutable and safe for concurrent use.
type Fleet struct {
	domains   map[string]*candidates
	regions   map[string]*candidates
	liveCount int
}

// NewFleet returns the index of the live ones among the instances.
func NewFleet(instances []Instance) *Fleet {
	f := &Fleet{domains: map[string]*candidates{}, regions: map[string]*candidates{}}
	for _, in := range instances {
		if in.State != InstanceLive {
			continue
		}
		addToIndex(f.domains, in.Domain, in)
		addToIndex(f.regions, in.Region, in)
		f.liveCount++
	}
	return f
}

func addToIndex(index map[string]*candidates, name string, in Instance) {
	list, ok := index[name]
	if !ok {
		list = &candidates{}
		index[name] = list
	}
	list.add(in)
}

// LiveCount returns the number of live instances.
func (f *Fleet) LiveCount() int { return f.liveCount }

// len returns the number of instances, 0 for a domain or region without any.
func (c *candidates) len() int {
	if c == nil {
		return 0
	}
	return len(c.instances)
}

// mixHash returns the weight of an instance for a caller (the finaliser of
// splitmix64). Each caller ranks the instances in its own order, and the loss
// of one instance leaves the order of the others as it is.
func mixHash(caller, instance uint64) uint64 {
	x := caller ^ instance
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rankedInstance is the place of an instance in its list, with its weight.
type rankedInstance struct {
	weight uint64
	index  int
}

// topInstances keeps the instances with the highest weights in order.
type topInstances struct {
	ranking   [MaxInstances]rankedInstance
	count     int
	limit     int    // 1 to MaxInstances.
	threshold uint64 // Weights up to it are not needed.
}

func (b *topInstances) insert(weight uint64, index int) {
	at := min(b.count, b.limit-1)
	for at > 0 && b.ranking[at-1].weight < weight {
		b.ranking[at] = b.ranking[at-1]
		at--
	}
	b.ranking[at] = rankedInstance{weight: weight, index: index}
	b.count = min(b.count+1, b.limit)
	if b.count == b.limit {
		b.threshold = b.ranking[b.count-1].weight
	}
}
