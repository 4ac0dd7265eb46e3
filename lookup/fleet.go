package lookup

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// InstanceState is the state of an entry instance, as far as it affects look-ups.
type InstanceState uint8

// States of an entry instance. Look-ups return live instances only.
const (
	InstanceLive InstanceState = iota
	InstanceSlow
	InstanceLeaving
	InstanceGone
)

// Instance describes an entry instance.
type Instance struct {
	Name    string
	Address string // Address for callers, ip:port.
	Domain  string
	Region  string
	State   InstanceState
}

// candidates holds the live instances of a domain or region. The slices are
// parallel.
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

// estimateThreshold returns a weight that about 2*MaxInstances instances are
// expected to exceed. Ranking only those halves the number of insertions. When
// too few exceed it, the caller ranks again without a threshold.
func (c *candidates) estimateThreshold() uint64 {
	const expected = 2 * MaxInstances
	n := uint64(len(c.hashes))
	if n <= 2*expected {
		return 0
	}
	return math.MaxUint64 - math.MaxUint64/n*expected
}

// rankInto inserts the instances into top, except those in skipDomain.
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

// Fleet indexes the live entry instances by failure domain and by region. It is
// immutable and safe for concurrent use.
type Fleet struct {
	domains   map[string]*candidates
	regions   map[string]*candidates
	liveCount int
}

// NewFleet returns a fleet with the live ones of the given instances.
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

// len returns the number of instances. It is 0 for a nil receiver, which stands
// for a domain or region without live instances.
func (c *candidates) len() int {
	if c == nil {
		return 0
	}
	return len(c.instances)
}

// mixHash combines two hashes with the finalizer of splitmix64. Applied to the
// hashes of a caller and an instance, it gives the instance's weight for
// rendezvous hashing: each caller has its own order of instances, and the loss
// of an instance does not change the order of the others.
func mixHash(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rankedInstance is the index of an instance in candidates, with its weight.
type rankedInstance struct {
	weight uint64
	index  int
}

// topInstances collects the instances with the highest weights, in descending
// order of weight.
type topInstances struct {
	ranking   [MaxInstances]rankedInstance
	count     int
	limit     int    // 1 to MaxInstances.
	threshold uint64 // Instances with a weight up to this value are ignored.
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
