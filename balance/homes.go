package balance

// maxHomesPerObject bounds the homes of one object.
const maxHomesPerObject = 4

// homeTableKey names one of the homes of an object of a service in a table of homes.
// Number 0 stands for the first one.
func homeTableKey(service string, object uint64, number int) uint32 {
	if number > 0 {
		object = mix(object, uint64(number))
	}
	return shortHash(mix(hashOf(service), object))
}

// tableHome returns the target that a table names for a home of an object, or nil.
func (b *Balancer) tableHome(s *service, region string, object uint64, number int) *target {
	table := b.state.HomeTables[region]
	if table == nil {
		return nil
	}
	hash, moved := table.Objects[homeTableKey(s.name, object, number)]
	if !moved {
		return nil
	}
	if t := s.targetsByHash[hash]; t != nil && t.region == region {
		return t
	}
	return nil
}

// homeTargets returns the homes of an object in a region, whether they can be used
// or not.
func (b *Balancer) homeTargets(s *service, region string, object uint64) []*target {
	first := b.tableHome(s, region, object, 0)
	if first == nil {
		first = rendezvousTarget(s.targetsByRegion[region], object)
	}
	if first == nil {
		return nil
	}
	homes := []*target{first}
	for number := 1; number < maxHomesPerObject; number++ {
		if t := b.tableHome(s, region, object, number); t != nil {
			homes = append(homes, t)
		}
	}
	return homes
}

// rendezvousTarget returns the target that rendezvous hashing gives an object.
func rendezvousTarget(list []*target, object uint64) *target {
	var best *target
	var rank uint64
	for _, t := range list {
		if r := mix(object, t.hash); best == nil || r > rank {
			best, rank = t, r
		}
	}
	return best
}
