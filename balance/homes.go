package balance

// maxHomesOfObject bounds the homes of one object.
const maxHomesOfObject = 4

// homeKey names one of the homes of an object of a service in a table of homes.
// Number 0 stands for the first one.
func homeKey(service string, object uint64, number int) uint32 {
	if number > 0 {
		object = mix(object, uint64(number))
	}
	return short(mix(hashOf(service), object))
}

// movedTo returns the target that a table names for a home of an object, or nil.
func (b *Balancer) movedTo(s *service, region string, object uint64, number int) *target {
	table := b.world.Homes[region]
	if table == nil {
		return nil
	}
	hash, moved := table.Objects[homeKey(s.name, object, number)]
	if !moved {
		return nil
	}
	if t := s.byHash[hash]; t != nil && t.region == region {
		return t
	}
	return nil
}

// homesOf returns the homes of an object in a region, whether they can be used
// or not.
func (b *Balancer) homesOf(s *service, region string, object uint64) []*target {
	first := b.movedTo(s, region, object, 0)
	if first == nil {
		first = highest(s.targets[region], object)
	}
	if first == nil {
		return nil
	}
	homes := []*target{first}
	for number := 1; number < maxHomesOfObject; number++ {
		if t := b.movedTo(s, region, object, number); t != nil {
			homes = append(homes, t)
		}
	}
	return homes
}

// highest returns the target that rendezvous hashing gives an object.
func highest(list []*target, object uint64) *target {
	var best *target
	var rank uint64
	for _, t := range list {
		if r := mix(object, t.hash); best == nil || r > rank {
			best, rank = t, r
		}
	}
	return best
}
