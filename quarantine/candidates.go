package quarantine

import (
	"bytes"
	"crypto/sha256"
)

// candidatesPerDomain is the number of targets of a failure domain that an
// unproven request may reach, and so the number that it can crash.
const candidatesPerDomain = 2

// Target is a target of the request's service. Lists of targets hold those
// that are down or leaving too: otherwise a crash would move the choice to
// targets that are still up.
type Target struct {
	Name   string
	Domain string
}

type scoredTarget struct {
	name  string
	score [sha256.Size]byte
}

// candidates returns the names of the two highest targets of each domain by
// rendezvous hashing.
func candidates(f Fingerprint, targets []Target) map[string]bool {
	best := map[string][]scoredTarget{}
	for _, t := range targets {
		r := scoredTarget{name: t.Name, score: sha256.Sum256(append(f[:], t.Name...))}
		best[t.Domain] = insertByScore(best[t.Domain], r)
	}
	names := map[string]bool{}
	for _, ranks := range best {
		for _, r := range ranks {
			names[r.name] = true
		}
	}
	return names
}

// insertByScore keeps the highest ranks in descending order.
func insertByScore(ranks []scoredTarget, r scoredTarget) []scoredTarget {
	at := len(ranks)
	for at > 0 && bytes.Compare(ranks[at-1].score[:], r.score[:]) < 0 {
		at--
	}
	ranks = append(ranks, scoredTarget{})
	copy(ranks[at+1:], ranks[at:])
	ranks[at] = r
	return ranks[:min(len(ranks), candidatesPerDomain)]
}
