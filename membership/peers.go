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
	domainPeerQuota = 4
	regionPeerQuota = 2
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousWeight ranks a member for another one (the finaliser of splitmix64).
func rendezvousWeight(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ranking keeps the members with the highest weights, heaviest first.
type ranking struct {
	records [MaxPeers]*memberRecord
	weights [MaxPeers]uint64
	count   int
}

func (k *ranking) insert(r *memberRecord, w uint64) {
	at := k.count
	if at == MaxPeers {
		at--
		if !ranksHigher(w, r, k.weights[at], k.records[at]) {
			return
		}
	} else {
		k.count++
	}
	for at > 0 && ranksHigher(w, r, k.weights[at-1], k.records[at-1]) {
		k.records[at], k.weights[at] = k.records[at-1], k.weights[at-1]
		at--
	}
	k.records[at], k.weights[at] = r, w
}

func ranksHigher(w uint64, r *memberRecord, otherWeight uint64, other *memberRecord) bool {
	if w != otherWeight {
		return w > otherWeight
	}
	return strings.Compare(r.Name, other.Name) < 0
}

// selectPeers returns the peers that a member chooses, as far as this view tells.
func (t *Tracker) selectPeers(of *memberRecord) []*memberRecord {
	var domain, region, far ranking
	for _, r := range t.records {
		if r == of || r.State == Gone || r.suspected {
			continue
		}
		w := rendezvousWeight(of.hash, r.hash)
		switch {
		case r.Domain == of.Domain:
			domain.insert(r, w)
		case r.Region == of.Region:
			region.insert(r, w)
		default:
			far.insert(r, w)
		}
	}
	return combineGroups(&domain, &region, &far)
}

// combineGroups fills the places of the groups, then the free ones with what is left,
// nearest group first.
func combineGroups(groups ...*ranking) []*memberRecord {
	quota := []int{domainPeerQuota, regionPeerQuota, MaxPeers - domainPeerQuota - regionPeerQuota}
	peers := make([]*memberRecord, 0, MaxPeers)
	taken := make([]int, len(groups))
	for i, g := range groups {
		taken[i] = min(quota[i], g.count)
		peers = append(peers, g.records[:taken[i]]...)
	}
	for i, g := range groups {
		more := min(MaxPeers-len(peers), g.count-taken[i])
		peers = append(peers, g.records[taken[i]:taken[i]+more]...)
	}
	return peers
}

// roundPeers returns the peers of one round of heartbeats. One place goes to the
// suspected members in turn, so that both sides of a healed partition find each
// other.
func (t *Tracker) roundPeers(now time.Time) []Update {
	if t.peersRevision != t.revision || t.peers == nil {
		t.refreshPeers()
	}
	list := make([]Update, 0, MaxPeers)
	probe := t.nextProbe()
	for _, r := range t.peers {
		if probe != nil && len(list) == MaxPeers-1 {
			break
		}
		if r.unansweredSince.IsZero() {
			r.unansweredSince = now
		}
		list = append(list, r.Update)
	}
	if probe != nil {
		list = append(list, probe.Update)
	}
	return list
}

// refreshPeers chooses the peers of the own instance. Former peers are not asked
// any more, so that a heartbeat without an answer says nothing about them.
func (t *Tracker) refreshPeers() {
	former := t.peers
	t.peers, t.peersRevision = t.selectPeers(t.self), t.revision
	for _, r := range former {
		if !slices.Contains(t.peers, r) {
			r.unansweredSince = time.Time{}
		}
	}
}

// nextProbe returns the suspected member whose turn it is, or nil.
func (t *Tracker) nextProbe() *memberRecord {
	var suspected []*memberRecord
	for _, r := range t.records {
		if r.suspected && r.State != Gone {
			suspected = append(suspected, r)
		}
	}
	if len(suspected) == 0 {
		return nil
	}
	t.probeCount++
	return suspected[(t.probeCount+int(t.self.hash%uint64(len(suspected))))%len(suspected)]
}

// isListReader reports whether the own instance is among the first of its
// domain by rendezvous hashing, which read the platform's list often.
func (t *Tracker) isListReader() bool {
	domain := hashName(t.self.Domain)
	own, better := rendezvousWeight(domain, t.self.hash), 0
	for _, r := range t.records {
		if r != t.self && r.Domain == t.self.Domain && r.State == Alive && rendezvousWeight(domain, r.hash) > own {
			better++
		}
	}
	return better < listReadersPerDomain
}
