package membership

import (
	"math/bits"
	"time"
)

// sendsPerMemberBit determines how often an update is sent: this number times the
// bit length of the number of members. Each instance sends an update to 8 peers
// per second, so that all members receive it after a few rounds even if messages
// are lost.
const sendsPerMemberBit = 4

// enqueue adds the update of a member to the updates to send. It skips the update
// of the local instance, which every heartbeat contains, and members that are
// known only from the platform's list, which every instance reads itself.
func (tracker *Tracker) enqueue(member *memberRecord) {
	if member == tracker.self || member.Incarnation == 0 && member.State == Alive {
		return
	}
	if member.queueElement == nil {
		member.queueElement = tracker.updateQueue.PushFront(member)
	} else {
		tracker.updateQueue.MoveToFront(member.queueElement)
	}
	member.remainingSends = sendsPerMemberBit * bits.Len(uint(len(tracker.byName)))
}

// dequeue removes the update of a member from the updates to send.
func (tracker *Tracker) dequeue(member *memberRecord) {
	if member.queueElement != nil {
		tracker.updateQueue.Remove(member.queueElement)
		member.queueElement, member.remainingSends = nil, 0
	}
}

// UpdatesFor returns the updates to send to a member with a heartbeat or
// response, at most MaxUpdates, latest change first. If the receiver is not
// considered alive, its own update comes first, so that it learns this.
func (tracker *Tracker) UpdatesFor(name string) []Update {
	var list []Update
	receiver, known := tracker.byName[name]
	if known && receiver.State != Alive {
		list = append(list, receiver.Update)
	}
	for element := tracker.updateQueue.Front(); element != nil && len(list) < MaxUpdates; {
		member := element.Value.(*memberRecord)
		element = element.Next()
		if member != receiver {
			list = append(list, member.Update)
			tracker.countSend(member)
		}
	}
	return list
}

// countSend records that an update was sent and dequeues it after the last time.
func (tracker *Tracker) countSend(member *memberRecord) {
	if member.remainingSends--; member.remainingSends <= 0 {
		tracker.dequeue(member)
	}
}

// HandleHeartbeat processes a heartbeat from a member and the updates in it.
func (tracker *Tracker) HandleHeartbeat(now time.Time, from Update, updates []Update) {
	tracker.merge(now, from)
	if member, ok := tracker.byName[from.Name]; ok && member != tracker.self {
		member.lastHeartbeat = now
	}
	tracker.mergeUpdates(now, updates)
}

// HandleResponse processes a member's response to a heartbeat and the updates in
// it.
func (tracker *Tracker) HandleResponse(now time.Time, from Update, updates []Update) {
	tracker.merge(now, from)
	if member, ok := tracker.byName[from.Name]; ok && member != tracker.self {
		member.unansweredSince = time.Time{}
		tracker.countResponse(member)
	}
	tracker.mergeUpdates(now, updates)
}

// countResponse ends the state after a freeze when enough members have responded.
func (tracker *Tracker) countResponse(member *memberRecord) {
	if tracker.refreshed {
		return
	}
	tracker.responded[member.Name] = true
	if 2*len(tracker.responded) >= len(tracker.peers) {
		tracker.refreshed = true
	}
}

func (tracker *Tracker) mergeUpdates(now time.Time, updates []Update) {
	for i, update := range updates {
		if i == MaxUpdates {
			return
		}
		tracker.merge(now, update)
	}
}

// merge applies an update about a member if it supersedes the known one. Updates
// with an empty name or an unknown state are ignored.
func (tracker *Tracker) merge(now time.Time, update Update) {
	if update.Name == "" || update.State > Gone {
		return
	}
	member, known := tracker.byName[update.Name]
	switch {
	case member == tracker.self && known:
		tracker.refute(now, update)
	case !known && len(tracker.byName) >= MaxMembers:
	case !known:
		tracker.addMember(now, update)
	case update.supersedes(member.Update):
		tracker.replaceUpdate(now, member, update)
	}
}

// refute raises the counter of the local instance above that of an update which
// claims that the instance is slow. Updates with the state leaving or gone
// originate from the platform and are not refuted.
func (tracker *Tracker) refute(now time.Time, update Update) {
	if update.Incarnation == tracker.self.Incarnation && update.State == Slow && update.Counter >= tracker.self.Counter {
		tracker.self.Counter = update.Counter + 1
		tracker.earlyRound = true
		tracker.recordChange(tracker.self, now)
	}
}

func (tracker *Tracker) addMember(now time.Time, update Update) *memberRecord {
	member := &memberRecord{Update: update, hash: hashName(update.Name), listedIncarnation: update.Incarnation}
	tracker.byName[update.Name] = member
	tracker.records = append(tracker.records, member)
	tracker.applyState(now, member, Alive)
	return member
}

func (tracker *Tracker) replaceUpdate(now time.Time, member *memberRecord, update Update) {
	previous := member.State
	if update.Incarnation > member.Incarnation {
		previous = Alive
		member.suspected, member.silentSince = false, time.Time{}
		member.unansweredSince = time.Time{}
		if member.listedIncarnation == 0 {
			member.listedIncarnation = update.Incarnation
		}
	}
	member.Update = update
	tracker.applyState(now, member, previous)
}

// applyState adjusts a member's observations after its state has changed from
// previous.
func (tracker *Tracker) applyState(now time.Time, member *memberRecord, previous State) {
	switch {
	case member.State == Alive:
		member.suspected, member.silentSince, member.unansweredSince = false, time.Time{}, time.Time{}
	case member.State == Slow && previous != Slow:
		member.silentSince = now.Add(-SlowAfter)
	}
	if member.State >= Leaving && previous < Leaving || previous == Slow && member.State == Alive {
		tracker.earlyRound = true
	}
	tracker.recordChange(member, now)
}

// HandlePlatformList processes the platform's list. The state of a member that
// the list does not contain is not changed, because the list may be out of date
// or truncated.
func (tracker *Tracker) HandlePlatformList(now time.Time, list []ListedMember) {
	if len(list) == 0 {
		return
	}
	tracker.listReceived, tracker.refreshed = true, true
	for _, member := range tracker.records {
		member.inLatestList = false
	}
	for _, listed := range list {
		tracker.applyListed(now, listed)
	}
}

func (tracker *Tracker) applyListed(now time.Time, listed ListedMember) {
	member, known := tracker.byName[listed.Name]
	if !known {
		if listed.State == Gone || listed.Name == "" || len(tracker.byName) >= MaxMembers {
			return
		}
		member = tracker.addMember(now, Update{Name: listed.Name, Domain: listed.Domain, Region: listed.Region,
			PeerAddress: listed.PeerAddress, CallerAddress: listed.CallerAddress})
	}
	member.inLatestList = true
	if listed.State == Alive && member.listedState != Alive {
		member.listedIncarnation = member.Incarnation
	}
	member.listedState = listed.State
	if listed.State < Leaving || member.State >= listed.State || member == tracker.self {
		return
	}
	// After a restart, the list may still show the state of the previous
	// incarnation. The listed state is applied to the new incarnation only if
	// that is suspected.
	if member.Incarnation != member.listedIncarnation && !member.suspected {
		return
	}
	previous := member.State
	member.State = listed.State
	tracker.applyState(now, member, previous)
}
