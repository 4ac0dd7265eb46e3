// Package moves decides which requests a move of the policy document shifts to
// another region.
//
// The decision is a function of the document, the region and a hash of the
// request, so that all instances of a region agree and a repeated request takes
// the same way. Raising the percentage of a service's only move keeps every
// request that it moved before. The package opens no sockets; its functions are
// safe for concurrent use.
package moves

import (
	"strings"

	"github.com/jacinthstall/jacinthstall/policy"
)

// hashClasses is the number of classes that hashes are divided into.
const hashClasses = 100

// Route returns the move that a request of a service belongs to, or false when
// the request stays in the region. The hash must be evenly distributed; its
// remainder by 100 selects the move. The result does not depend on the order of
// the list.
func Route(list []policy.Move, service, region string, hash uint64) (policy.Move, bool) {
	class := int(hash % hashClasses)
	for _, m := range list {
		if m.Service != service || m.From != region {
			continue
		}
		start := percentBefore(list, m)
		if class >= start && class < start+m.Percent {
			return m, true
		}
	}
	return policy.Move{}, false
}

// percentBefore returns the percentage of the moves of the same service and region
// whose destination sorts before that of m.
func percentBefore(list []policy.Move, m policy.Move) int {
	sum := 0
	for _, other := range list {
		if other.Service == m.Service && other.From == m.From && strings.Compare(other.To, m.To) < 0 {
			sum += other.Percent
		}
	}
	return sum
}
