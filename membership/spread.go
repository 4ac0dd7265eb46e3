package membership

import (
	"math/bits"
	"time"
)

// sendsPerMemberBit times the binary logarithm of the number of members is how
// often an update is sent. Each update reaches 8 peers a second, so that all
// members know it after a few rounds also when messages are lost.
const sendsPerMemberBit = 4

// enqueue puts the update of a member among those to spread. The own update is
// in each heartbeat, and what only the list says each instance reads itself.
func (t *Tracker) enqueue(r *memberRecord) {
	if r == t.self || r.Incarnation == 0 && r.State == Alive {
		return
	}
	if r.queueElement == nil {
		r.queueElement = t.updateQueue.PushFront(r)
	} else {
		t.updateQueue.MoveToFront(r.queueElement)
	}
	r.remainingSends = sendsPerMemberBit * bits.Len(uint(len(t.byName)))
}

// dequeue removes the update of a member from those to spread.
func (t *Tracker) dequeue(r *memberRecord) {
	if r.queueElement != nil {
		t.updateQueue.Remove(r.queueElement)
		r.queueElement, r.remainingSends = nil, 0
	}
}

// UpdatesFor returns the updates to send with a heartbeat or answer to a
// member, at most MaxUpdates, freshest first. What it should know of itself
// comes first.
func (t *Tracker) UpdatesFor(name string) []Update {
	var list []Update
	receiver, known := t.byName[name]
	if known && receiver.State != Alive {
		list = append(list, receiver.Update)
	}
	for e := t.updateQueue.Front(); e != nil && len(list) < MaxUpdates; {
		r := e.Value.(*memberRecord)
		e = e.Next()
		if r != receiver {
			list = append(list, r.Update)
			t.countSend(r)
		}
	}
	return list
}

// countSend counts one sending of an update and ends its spreading after the last.
func (t *Tracker) countSend(r *memberRecord) {
	if r.remainingSends--; r.remainingSends <= 0 {
		t.dequeue(r)
	}
}

// HandleHeartbeat takes a heartbeat of a member with its updates.
func (t *Tracker) HandleHeartbeat(now time.Time, from Update, updates []Update) {
	t.merge(now, from)
	if r, ok := t.byName[from.Name]; ok && r != t.self {
		r.lastHeartbeat = now
	}
	t.mergeUpdates(now, updates)
}

// HandleResponse takes the answer of a member to a heartbeat with its updates.
func (t *Tracker) HandleResponse(now time.Time, from Update, updates []Update) {
	t.merge(now, from)
	if r, ok := t.byName[from.Name]; ok && r != t.self {
		r.unansweredSince = time.Time{}
		t.countResponse(r)
	}
	t.mergeUpdates(now, updates)
}

func (t *Tracker) countResponse(r *memberRecord) {
	if t.refreshed {
		return
	}
	t.responded[r.Name] = true
	if 2*len(t.responded) >= len(t.peers) {
		t.refreshed = true
	}
}

func (t *Tracker) mergeUpdates(now time.Time, updates []Update) {
	for i, u := range updates {
		if i == MaxUpdates {
			return
		}
		t.merge(now, u)
	}
}

// merge takes an update about a member.
func (t *Tracker) merge(now time.Time, u Update) {
	if u.Name == "" || u.State > Gone {
		return
	}
	r, known := t.byName[u.Name]
	switch {
	case r == t.self && known:
		t.refute(now, u)
	case !known && len(t.byName) >= MaxMembers:
	case !known:
		t.addMember(now, u)
	case u.supersedes(r.Update):
		t.replaceUpdate(now, r, u)
	}
}

// refute answers a claim that the own instance is slow with a higher counter.
// A claim that it is leaving or gone is the platform's and stands.
func (t *Tracker) refute(now time.Time, u Update) {
	if u.Incarnation == t.self.Incarnation && u.State == Slow && u.Counter >= t.self.Counter {
		t.self.Counter = u.Counter + 1
		t.earlyRound = true
		t.recordChange(t.self, now)
	}
}

func (t *Tracker) addMember(now time.Time, u Update) *memberRecord {
	r := &memberRecord{Update: u, hash: hashName(u.Name), listedIncarnation: u.Incarnation}
	t.byName[u.Name] = r
	t.records = append(t.records, r)
	t.applyState(now, r, Alive)
	return r
}

func (t *Tracker) replaceUpdate(now time.Time, r *memberRecord, u Update) {
	before := r.State
	if u.Incarnation > r.Incarnation {
		before = Alive
		r.suspected, r.silentSince = false, time.Time{}
		r.unansweredSince = time.Time{}
		if r.listedIncarnation == 0 {
			r.listedIncarnation = u.Incarnation
		}
	}
	r.Update = u
	t.applyState(now, r, before)
}

// applyState brings the times of a member in line with its state.
func (t *Tracker) applyState(now time.Time, r *memberRecord, before State) {
	switch {
	case r.State == Alive:
		r.suspected, r.silentSince, r.unansweredSince = false, time.Time{}, time.Time{}
	case r.State == Slow && before != Slow:
		r.silentSince = now.Add(-SlowAfter)
	}
	if r.State >= Leaving && before < Leaving || before == Slow && r.State == Alive {
		t.earlyRound = true
	}
	t.recordChange(r, now)
}

// HandlePlatformList takes the platform's list. A name that is missing tells nothing, since
// the list lags and may be cut short.
func (t *Tracker) HandlePlatformList(now time.Time, list []ListedMember) {
	if len(list) == 0 {
		return
	}
	t.listReceived, t.refreshed = true, true
	for _, r := range t.records {
		r.inLatestList = false
	}
	for _, l := range list {
		t.applyListed(now, l)
	}
}

func (t *Tracker) applyListed(now time.Time, l ListedMember) {
	r, known := t.byName[l.Name]
	if !known {
		if l.State == Gone || l.Name == "" || len(t.byName) >= MaxMembers {
			return
		}
		r = t.addMember(now, Update{Name: l.Name, Domain: l.Domain, Region: l.Region,
			PeerAddress: l.PeerAddress, CallerAddress: l.CallerAddress})
	}
	r.inLatestList = true
	if l.State == Alive && r.listedState != Alive {
		r.listedIncarnation = r.Incarnation
	}
	r.listedState = l.State
	if l.State < Leaving || r.State >= l.State || r == t.self {
		return
	}
	// A member that restarted may be listed with the state of its earlier
	// incarnation. The list counts for the new one only when that is silent.
	if r.Incarnation != r.listedIncarnation && !r.suspected {
		return
	}
	before := r.State
	r.State = l.State
	t.applyState(now, r, before)
}
