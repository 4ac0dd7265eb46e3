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
	// FanOut is the number of peers that an instance pushes a change to.
	FanOut = 8
)

// Member is a live instance.
type Member struct {
	Name   string
	Domain string
}

// relayTree is the order of the live members of one domain: the watchers first,
// then the members that a change is relayed to. Member i of the relay part has
// the members FanOut*(i+1) to FanOut*(i+1)+FanOut-1 as children.
type relayTree struct {
	watchers []string
	relays   []string
}

// newRelayTree orders the members of a domain by rendezvous hashing. Instances with
// the same view get the same tree.
func newRelayTree(domain string, members []Member) relayTree {
	type scored struct {
		name  string
		score uint64
	}
	var list []scored
	for _, m := range members {
		if m.Domain == domain {
			list = append(list, scored{m.Name, xxhash.Sum64String(domain + "\x00" + m.Name)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.name, b.name))
	})
	var t relayTree
	for i, s := range list {
		if i < WatchersPerDomain {
			t.watchers = append(t.watchers, s.name)
		} else {
			t.relays = append(t.relays, s.name)
		}
	}
	return t
}

func (t relayTree) isWatcher(name string) bool { return slices.Contains(t.watchers, name) }

// children returns the members that a member pushes to. For members outside
// of the relay part these are the first members of it.
func (t relayTree) children(name string) []string {
	first := FanOut * (slices.Index(t.relays, name) + 1)
	if first >= len(t.relays) {
		return nil
	}
	return t.relays[first:min(first+FanOut, len(t.relays))]
}

// ancestors returns the members between a member and the watchers, nearest first,
// and then the watchers.
func (t relayTree) ancestors(name string) []string {
	var list []string
	for i := slices.Index(t.relays, name)/FanOut - 1; i >= 0; i = i/FanOut - 1 {
		list = append(list, t.relays[i])
	}
	for _, watcher := range t.watchers {
		if watcher != name {
			list = append(list, watcher)
		}
	}
	return list
}
