package balance

// ranksBefore reports whether one live instance ranks before another for a target,
// by proximity and then by rendezvous hashing.
func (balancer *Balancer) ranksBefore(i, other int, t *target) bool {
	near, otherNear := balancer.proximity(i, t), balancer.proximity(other, t)
	if near != otherNear {
		return near > otherNear
	}
	return mix(t.hash, balancer.instanceHashes[i]) > mix(t.hash, balancer.instanceHashes[other])
}

// firstInstance returns the index of the live instance that ranks first for a
// target, or -1 if there is none.
func (balancer *Balancer) firstInstance(t *target) int {
	first := -1
	for i := range balancer.liveInstances {
		if first < 0 || balancer.ranksBefore(i, first, t) {
			first = i
		}
	}
	return first
}

// proximity returns 2 for an instance in the target's failure domain, 1 for
// one in its region and 0 for others.
func (balancer *Balancer) proximity(i int, t *target) int {
	switch {
	case balancer.liveInstances[i].Domain == t.record.Domain:
		return 2
	case balancer.liveInstances[i].Region == t.region:
		return 1
	}
	return 0
}
