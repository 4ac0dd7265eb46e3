package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Number of peers in the instance's failure domain and in its region. The
// remaining places up to MaxPeers are for other regions. Unused places are filled
// from the other groups.
const (
	domainPeerQuota = 4
	regionPeerQuota = 2
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousWeight returns the weight of member b for member a, given the hashes
// of their names. It uses the finalizer of splitmix64.
func rendezvousWeight(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ranking collects the members with the highest weights in descending order.
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

// ranksHigher compares two members by weight and, if the weights are equal, by
// name.
func ranksHigher(weight uint64, member *memberRecord, otherWeight uint64, other *memberRecord) bool {
	if weight != otherWeight {
		return weight > otherWeight
	}
	return strings.Compare(member.Name, other.Name) < 0
}

// selectPeers returns the peers that a member would select if it had the same
// view as the local instance.
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

// combineGroups returns peers from each group up to its quota. It fills unused
// places with the remaining members, nearest group first.
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

// roundPeers returns the peers for one round of heartbeats. If there are
// suspected members, one place is given to them in turn, so that both sides of a
// network partition find each other after it has healed.
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

// refreshPeers selects the peers of the local instance again. Former peers no
// longer receive heartbeats, so a missing response from them is ignored.
func (tracker *Tracker) refreshPeers() {
	former := tracker.peers
	tracker.peers, tracker.peersRevision = tracker.selectPeers(tracker.self), tracker.revision
	for _, peer := range former {
		if !slices.Contains(tracker.peers, peer) {
			peer.unansweredSince = time.Time{}
		}
	}
}

// nextProbe returns the next suspected member to probe, or nil if there is none.
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

// isListReader reports whether the local instance is one of the
// listReadersPerDomain instances of its failure domain that rendezvous hashing
// designates to read the platform's list every ListInterval.
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
