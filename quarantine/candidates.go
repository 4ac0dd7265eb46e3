package quarantine

import (
	"bytes"
	"crypto/sha256"
)

// candidatesPerDomain is the number of targets of a failure domain to which an
// unproven request may go, and therefore the number that it can crash.
const candidatesPerDomain = 2

// Target is a target of the request's service. Lists of targets must include
// targets that are down or leaving. Otherwise a crashed target would be replaced
// as a candidate by one that is still up.
type Target struct {
	Name   string
	Domain string
}

type scoredTarget struct {
	name  string
	score [sha256.Size]byte
}

// candidates returns the names of the targets with the highest rendezvous hashing
// scores, candidatesPerDomain for each domain.
func candidates(fingerprint Fingerprint, targets []Target) map[string]bool {
	best := map[string][]scoredTarget{}
	for _, target := range targets {
		scored := scoredTarget{name: target.Name, score: sha256.Sum256(append(fingerprint[:], target.Name...))}
		best[target.Domain] = insertByScore(best[target.Domain], scored)
	}
	names := map[string]bool{}
	for _, ranking := range best {
		for _, scored := range ranking {
			names[scored.name] = true
		}
	}
	return names
}

// insertByScore inserts a target into a ranking by descending score and returns
// the first candidatesPerDomain targets.
func insertByScore(ranking []scoredTarget, added scoredTarget) []scoredTarget {
	position := len(ranking)
	for position > 0 && bytes.Compare(ranking[position-1].score[:], added.score[:]) < 0 {
		position--
	}
	ranking = append(ranking, scoredTarget{})
	copy(ranking[position+1:], ranking[position:])
	ranking[position] = added
	return ranking[:min(len(ranking), candidatesPerDomain)]
}
