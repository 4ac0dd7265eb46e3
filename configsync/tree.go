package configsync

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// WatchersPerDomain is the number of instances of a domain that watch the head record.
	WatchersPerDomain = 2
	// FanOut is the number of children of an instance in the relay tree.
	FanOut = 8
)

// Member identifies a live instance.
type Member struct {
	Name   string
	Domain string
}

// relayTree is the tree along which a change is pushed within one failure
// domain. The watchers read the change from the platform and push it to the
// first FanOut relays. The children of the relay at index i are the relays at
// indexes FanOut*(i+1) to FanOut*(i+1)+FanOut-1.
type relayTree struct {
	watchers []string
	relays   []string
}

// newRelayTree orders the members of a domain by rendezvous hashing. Instances
// that know the same members compute the same tree.
func newRelayTree(domain string, members []Member) relayTree {
	type scored struct {
		name  string
		score uint64
	}
	var candidates []scored
	for _, member := range members {
		if member.Domain == domain {
			candidates = append(candidates, scored{member.Name, xxhash.Sum64String(domain + "\x00" + member.Name)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.name, b.name))
	})
	var tree relayTree
	for i, candidate := range candidates {
		if i < WatchersPerDomain {
			tree.watchers = append(tree.watchers, candidate.name)
		} else {
			tree.relays = append(tree.relays, candidate.name)
		}
	}
	return tree
}

func (tree relayTree) isWatcher(name string) bool { return slices.Contains(tree.watchers, name) }

// children returns the members that a member pushes to. For a name that is not
// a relay, these are the first FanOut relays.
func (tree relayTree) children(name string) []string {
	firstChild := FanOut * (slices.Index(tree.relays, name) + 1)
	if firstChild >= len(tree.relays) {
		return nil
	}
	return tree.relays[firstChild:min(firstChild+FanOut, len(tree.relays))]
}

// ancestors returns the relays on the path from a member to the root, nearest
// first, followed by the watchers other than the member itself.
func (tree relayTree) ancestors(name string) []string {
	var names []string
	for i := slices.Index(tree.relays, name)/FanOut - 1; i >= 0; i = i/FanOut - 1 {
		names = append(names, tree.relays[i])
	}
	for _, watcher := range tree.watchers {
		if watcher != name {
			names = append(names, watcher)
		}
	}
	return names
}
