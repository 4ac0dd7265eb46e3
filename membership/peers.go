package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Places for peers of the own failure domain and of the own region. The rest
// of MaxPeers is for other regions; places that stay free go to the next group.
const (
	domainPeers = 4
	regionPeers = 2
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// weight ranks a member for another one (the finaliser of splitmix64).
func weight(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ranking keeps the members with the highest weights, heaviest first.
type ranking struct {
	list    [MaxPeers]*record
	weights [MaxPeers]uint64
	count   int
}

func (k *ranking) offer(r *record, w uint64) {
	at := k.count
	if at == MaxPeers {
		at--
		if !heavier(w, r, k.weights[at], k.list[at]) {
			return
		}
	} else {
		k.count++
	}
	for at > 0 && heavier(w, r, k.weights[at-1], k.list[at-1]) {
		k.list[at], k.weights[at] = k.list[at-1], k.weights[at-1]
		at--
	}
	k.list[at], k.weights[at] = r, w
}

func heavier(w uint64, r *record, otherWeight uint64, other *record) bool {
	if w != otherWeight {
		return w > otherWeight
	}
	return strings.Compare(r.Name, other.Name) < 0
}

// peersOf returns the peers that a member chooses, as far as this view tells.
func (t *Tracker) peersOf(of *record) []*record {
	var domain, region, far ranking
	for _, r := range t.all {
		if r == of || r.State == Gone || r.suspected {
			continue
		}
		w := weight(of.hash, r.hash)
		switch {
		case r.Domain == of.Domain:
			domain.offer(r, w)
		case r.Region == of.Region:
			region.offer(r, w)
		default:
			far.offer(r, w)
		}
	}
	return combine(&domain, &region, &far)
}

// combine fills the places of the groups, then the free ones with what is left,
// nearest group first.
func combine(groups ...*ranking) []*record {
	quota := []int{domainPeers, regionPeers, MaxPeers - domainPeers - regionPeers}
	peers := make([]*record, 0, MaxPeers)
	taken := make([]int, len(groups))
	for i, g := range groups {
		taken[i] = min(quota[i], g.count)
		peers = append(peers, g.list[:taken[i]]...)
	}
	for i, g := range groups {
		more := min(MaxPeers-len(peers), g.count-taken[i])
		peers = append(peers, g.list[taken[i]:taken[i]+more]...)
	}
	return peers
}

// round returns the peers of one round of heartbeats. One place goes to the
// suspected members in turn, so that both sides of a healed partition find each
// other.
func (t *Tracker) round(now time.Time) []Update {
	if t.peersAt != t.revision || t.peers == nil {
		t.choosePeers()
	}
	list := make([]Update, 0, MaxPeers)
	probe := t.nextProbe()
	for _, r := range t.peers {
		if probe != nil && len(list) == MaxPeers-1 {
			break
		}
		if r.asked.IsZero() {
			r.asked = now
		}
		list = append(list, r.Update)
	}
	if probe != nil {
		list = append(list, probe.Update)
	}
	return list
}

// choosePeers chooses the peers of the own instance. Former peers are not asked
// any more, so that a heartbeat without an answer says nothing about them.
func (t *Tracker) choosePeers() {
	former := t.peers
	t.peers, t.peersAt = t.peersOf(t.self), t.revision
	for _, r := range former {
		if !slices.Contains(t.peers, r) {
			r.asked = time.Time{}
		}
	}
}

// nextProbe returns the suspected member whose turn it is, or nil.
func (t *Tracker) nextProbe() *record {
	var suspected []*record
	for _, r := range t.all {
		if r.suspected && r.State != Gone {
			suspected = append(suspected, r)
		}
	}
	if len(suspected) == 0 {
		return nil
	}
	t.probes++
	return suspected[(t.probes+int(t.self.hash%uint64(len(suspected))))%len(suspected)]
}

// readsListOften reports whether the own instance is among the first of its
// domain by rendezvous hashing, which read the platform's list often.
func (t *Tracker) readsListOften() bool {
	domain := hashName(t.self.Domain)
	own, better := weight(domain, t.self.hash), 0
	for _, r := range t.all {
		if r != t.self && r.Domain == t.self.Domain && r.State == Alive && weight(domain, r.hash) > own {
			better++
		}
	}
	return better < listReaders
}
