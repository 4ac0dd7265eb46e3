package balance

// maxHomesPerObject limits the number of home targets of one object.
const maxHomesPerObject = 4

// homeTableKey returns the key of an object's home target in a home table. An
// object's home targets are numbered from 0.
func homeTableKey(service string, objectHash uint64, number int) uint32 {
	if number > 0 {
		objectHash = mix(objectHash, uint64(number))
	}
	return shortHash(mix(hashOf(service), objectHash))
}

// tableHome returns the home target with the given number from the region's
// home table, or nil.
func (balancer *Balancer) tableHome(svc *service, region string, objectHash uint64, number int) *target {
	table := balancer.state.HomeTables[region]
	if table == nil {
		return nil
	}
	hash, moved := table.Objects[homeTableKey(svc.name, objectHash, number)]
	if !moved {
		return nil
	}
	if t := svc.targetsByHash[hash]; t != nil && t.region == region {
		return t
	}
	return nil
}

// homeTargets returns the home targets of an object in a region, including
// targets that currently get no requests.
func (balancer *Balancer) homeTargets(svc *service, region string, objectHash uint64) []*target {
	first := balancer.tableHome(svc, region, objectHash, 0)
	if first == nil {
		first = rendezvousTarget(svc.targetsByRegion[region], objectHash)
	}
	if first == nil {
		return nil
	}
	homes := []*target{first}
	for number := 1; number < maxHomesPerObject; number++ {
		if t := balancer.tableHome(svc, region, objectHash, number); t != nil {
			homes = append(homes, t)
		}
	}
	return homes
}

// rendezvousTarget returns the target with the highest rendezvous hash for an
// object.
func rendezvousTarget(targets []*target, objectHash uint64) *target {
	var best *target
	var rank uint64
	for _, t := range targets {
		if r := mix(objectHash, t.hash); best == nil || r > rank {
			best, rank = t, r
		}
	}
	return best
}
