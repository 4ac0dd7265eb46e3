package slots

import "github.com/cespare/xxhash/v2"

// Member is an entry instance that is listed in a member table.
type Member struct {
	Name   string
	Domain string
}

// HomeInstance returns the name of the home instance of a target. It is chosen
// by rendezvous hashing over the members in the target's failure domain, or
// over all members when that domain has none. The result is "" if there are no
// members.
func HomeInstance(target, domain string, members []Member) string {
	if home := highestWeight(target, members, func(m Member) bool { return m.Domain == domain }); home != "" {
		return home
	}
	return highestWeight(target, members, func(Member) bool { return true })
}

// highestWeight returns the eligible member with the highest weight for the
// target. Equal weights are decided by name.
func highestWeight(target string, members []Member, eligible func(Member) bool) string {
	best, bestWeight := "", uint64(0)
	for _, m := range members {
		if !eligible(m) {
			continue
		}
		weight := RendezvousWeight(target, m.Name)
		if best == "" || weight > bestWeight || (weight == bestWeight && m.Name < best) {
			best, bestWeight = m.Name, weight
		}
	}
	return best
}

// RendezvousWeight returns the rendezvous hashing weight of a member for a
// key. The member with the highest weight owns the key.
func RendezvousWeight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
