package slots

import "github.com/cespare/xxhash/v2"

// Member is an instance of a member table.
type Member struct {
	Name   string
	Domain string
}

// HomeInstance returns the name of the home instance of a target: the first by
// rendezvous hashing over the members of the target's failure domain, or over
// all members when the domain has none. It returns "" for an empty table.
func HomeInstance(target, domain string, members []Member) string {
	if home := highestWeight(target, members, func(m Member) bool { return m.Domain == domain }); home != "" {
		return home
	}
	return highestWeight(target, members, func(Member) bool { return true })
}

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

// RendezvousWeight is the rendezvous weight of a member for a key.
func RendezvousWeight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
