// Package moves decides which requests are moved to another region according
// to the policy document.
//
// The decision depends only on the document, the region and a hash of the
// request, so that all instances of a region agree and a retry takes the same
// route. Raising the percentage of a service's only move keeps all requests
// that were already moved. The package opens no connections; its functions are
// safe for concurrent use.
package moves

import (
	"strings"

	"github.com/jacinthstall/jacinthstall/policy"
)

// hashClasses is the number of classes into which hashes are divided; each
// class is one percent of the requests.
const hashClasses = 100

// Route returns the move that applies to a request, or false if the request
// stays in the region. The hash must be evenly distributed; its remainder
// modulo 100 selects the move. The result does not depend on the order of the
// list.
func Route(moves []policy.Move, service, region string, hash uint64) (policy.Move, bool) {
	class := int(hash % hashClasses)
	for _, m := range moves {
		if m.Service != service || m.From != region {
			continue
		}
		start := percentBefore(moves, m)
		if class >= start && class < start+m.Percent {
			return m, true
		}
	}
	return policy.Move{}, false
}

// percentBefore returns the sum of the percentages of all moves of the same
// service and region whose destination sorts before that of m.
func percentBefore(moves []policy.Move, m policy.Move) int {
	sum := 0
	for _, other := range moves {
		if other.Service == m.Service && other.From == m.From && strings.Compare(other.To, m.To) < 0 {
			sum += other.Percent
		}
	}
	return sum
}
