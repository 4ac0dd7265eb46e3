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

func (ranked *ranking) insert(member *memberRecord, weight uint64) {
	at := ranked.count
	if at == MaxPeers {
		at--
		if !ranksHigher(weight, member, ranked.weights[at], ranked.records[at]) {
			return
		}
	} else {
		ranked.count++
	}
	for at > 0 && ranksHigher(weight, member, ranked.weights[at-1], ranked.records[at-1]) {
		ranked.records[at], ranked.weights[at] = ranked.records[at-1], ranked.weights[at-1]
		at--
	}
	ranked.records[at], ranked.weights[at] = member, weight
}

func ranksHigher(weight uint64, member *memberRecord, otherWeight uint64, other *memberRecord) bool {
	if weight != otherWeight {
		return weight > otherWeight
	}
	return strings.Compare(member.Name, other.Name) < 0
}

// selectPeers returns the peers that a member chooses, as far as this view tells.
func (tracker *Tracker) selectPeers(member *memberRecord) []*memberRecord {
	var domain, region, far ranking
	for _, candidate := range tracker.records {
		if candidate == member || candidate.State == Gone || candidate.suspected {
			continue
		}
		weight := rendezvousWeight(member.hash, candidate.hash)
		switch {
		case candidate.Domain == member.Domain:
			domain.insert(candidate, weight)
		case candidate.Region == member.Region:
			region.insert(candidate, weight)
		default:
			far.insert(candidate, weight)
		}
	}
	return combineGroups(&domain, &region, &far)
}

// combineGroups fills the places of the groups, then the free ones with what is left,
// nearest group first.
func combineGroups(groups ...*ranking) []*memberRecord {
	quotas := []int{domainPeerQuota, regionPeerQuota, MaxPeers - domainPeerQuota - regionPeerQuota}
	peers := make([]*memberRecord, 0, MaxPeers)
	used := make([]int, len(groups))
	for i, group := range groups {
		used[i] = min(quotas[i], group.count)
		peers = append(peers, group.records[:used[i]]...)
	}
	for i, group := range groups {
		extra := min(MaxPeers-len(peers), group.count-used[i])
		peers = append(peers, group.records[used[i]:used[i]+extra]...)
	}
	return peers
}

// roundPeers returns the peers of one round of heartbeats. One place goes to the
// suspected members in turn, so that both sides of a healed partition find each
// other.
func (tracker *Tracker) roundPeers(now time.Time) []Update {
	if tracker.peersRevision != tracker.revision || tracker.peers == nil {
		tracker.refreshPeers()
	}
	list := make([]Update, 0, MaxPeers)
	probe := tracker.nextProbe()
	for _, peer := range tracker.peers {
		if probe != nil && len(list) == MaxPeers-1 {
			break
		}
		if peer.unansweredSince.IsZero() {
			peer.unansweredSince = now
		}
		list = append(list, peer.Update)
	}
	if probe != nil {
		list = append(list, probe.Update)
	}
	return list
}

// refreshPeers chooses the peers of the own instance. Former peers are not asked
// any more, so that a heartbeat without an answer says nothing about them.
func (tracker *Tracker) refreshPeers() {
	former := tracker.peers
	tracker.peers, tracker.peersRevision = tracker.selectPeers(tracker.self), tracker.revision
	for _, peer := range former {
		if !slices.Contains(tracker.peers, peer) {
			peer.unansweredSince = time.Time{}
		}
	}
}

// nextProbe returns the suspected member whose turn it is, or nil.
func (tracker *Tracker) nextProbe() *memberRecord {
	var suspected []*memberRecord
	for _, member := range tracker.records {
		if member.suspected && member.State != Gone {
			suspected = append(suspected, member)
		}
	}
	if len(suspected) == 0 {
		return nil
	}
	tracker.probeCount++
	return suspected[(tracker.probeCount+int(tracker.self.hash%uint64(len(suspected))))%len(suspected)]
}

// isListReader reports whether the own instance is among the first of its
// domain by rendezvous hashing, which read the platform's list often.
func (tracker *Tracker) isListReader() bool {
	domain := hashName(tracker.self.Domain)
	selfWeight, higher := rendezvousWeight(domain, tracker.self.hash), 0
	for _, member := range tracker.records {
		if member != tracker.self && member.Domain == tracker.self.Domain && member.State == Alive && rendezvousWeight(domain, member.hash) > selfWeight {
			higher++
		}
	}
	return higher < listReadersPerDomain
}
