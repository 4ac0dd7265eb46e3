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

func (c *candidates) add(instance Instance) {
	c.hashes = append(c.hashes, xxhash.Sum64String(instance.Name))
	c.versions = append(c.versions, xxhash.Sum64String(instance.Name+" "+instance.Address))
	c.instances = append(c.instances, instance)
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
func (c *candidates) rankInto(top *topInstances, skipDomain string, callerHash uint64) {
	threshold := top.threshold
	for i, hash := range c.hashes {
		weight := mixHash(callerHash, hash)
		if weight <= threshold {
			continue
		}
		if skipDomain == "" || c.instances[i].Domain != skipDomain {
			top.insert(weight, i)
			threshold = top.threshold
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
	fleet := &Fleet{domains: map[string]*candidates{}, regions: map[string]*candidates{}}
	for _, instance := range instances {
		if instance.State != InstanceLive {
			continue
		}
		addToIndex(fleet.domains, instance.Domain, instance)
		addToIndex(fleet.regions, instance.Region, instance)
		fleet.liveCount++
	}
	return fleet
}

func addToIndex(index map[string]*candidates, name string, instance Instance) {
	group, ok := index[name]
	if !ok {
		group = &candidates{}
		index[name] = group
	}
	group.add(instance)
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
func mixHash(a, b uint64) uint64 {
	x := a ^ b
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

func (top *topInstances) insert(weight uint64, index int) {
	at := min(top.count, top.limit-1)
	for at > 0 && top.ranking[at-1].weight < weight {
		top.ranking[at] = top.ranking[at-1]
		at--
	}
	top.ranking[at] = rankedInstance{weight: weight, index: index}
	top.count = min(top.count+1, top.limit)
	if top.count == top.limit {
		top.threshold = top.ranking[top.count-1].weight
	}
}
