package slots

import "github.com/cespare/xxhash/v2"

// Member is an instance of a member table.
type Member struct {
	Name   string
	Domain string
}

// Home returns the name of the home instance of a target: the first by
// rendezvous hashing over the members of the target's failure domain, or over
// all members when the domain has none. It returns "" for an empty table.
func Home(target, domain string, members []Member) string {
	if home := first(target, members, func(m Member) bool { return m.Domain == domain }); home != "" {
		return home
	}
	return first(target, members, func(Member) bool { return true })
}

func first(target string, members []Member, eligible func(Member) bool) string {
	best, bestWeight := "", uint64(0)
	for _, m := range members {
		if !eligible(m) {
			continue
		}
		weight := Weight(target, m.Name)
		if best == "" || weight > bestWeight || (weight == bestWeight && m.Name < best) {
			best, bestWeight = m.Name, weight
		}
	}
	return best
}

// Weight is the rendezvous weight of a member for a key.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
