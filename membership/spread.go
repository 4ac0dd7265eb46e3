package membership

import (
	"math/bits"
	"time"
)

// sendsPerLevel times the binary logarithm of the number of members is how
// often an update is sent. Each update reaches 8 peers a second, so that all
// members know it after a few rounds also when messages are lost.
const sendsPerLevel = 4

// enqueue puts the update of a member among those to spread. The own update is
// in each heartbeat, and what only the list says each instance reads itself.
func (t *Tracker) enqueue(r *record) {
	if r == t.self || r.Incarnation == 0 && r.State == Alive {
		return
	}
	if r.queued == nil {
		r.queued = t.pending.PushFront(r)
	} else {
		t.pending.MoveToFront(r.queued)
	}
	r.sends = sendsPerLevel * bits.Len(uint(len(t.members)))
}

// dequeue removes the update of a member from those to spread.
func (t *Tracker) dequeue(r *record) {
	if r.queued != nil {
		t.pending.Remove(r.queued)
		r.queued, r.sends = nil, 0
	}
}

// UpdatesFor returns the updates to send with a heartbeat or answer to a
// member, at most MaxUpdates, freshest first. What it should know of itself
// comes first.
func (t *Tracker) UpdatesFor(name string) []Update {
	var list []Update
	receiver, known := t.members[name]
	if known && receiver.State != Alive {
		list = append(list, receiver.Update)
	}
	for e := t.pending.Front(); e != nil && len(list) < MaxUpdates; {
		r := e.Value.(*record)
		e = e.Next()
		if r != receiver {
			list = append(list, r.Update)
			t.noteSent(r)
		}
	}
	return list
}

// noteSent counts one sending of an update and ends its spreading after the last.
func (t *Tracker) noteSent(r *record) {
	if r.sends--; r.sends <= 0 {
		t.dequeue(r)
	}
}

// Heartbeat takes a heartbeat of a member with its updates.
func (t *Tracker) Heartbeat(now time.Time, from Update, updates []Update) {
	t.merge(now, from)
	if r, ok := t.members[from.Name]; ok && r != t.self {
		r.heardFrom = now
	}
	t.mergeAll(now, updates)
}

// Answer takes the answer of a member to a heartbeat with its updates.
func (t *Tracker) Answer(now time.Time, from Update, updates []Update) {
	t.merge(now, from)
	if r, ok := t.members[from.Name]; ok && r != t.self {
		r.asked = time.Time{}
		t.noteAnswer(r)
	}
	t.mergeAll(now, updates)
}

func (t *Tracker) noteAnswer(r *record) {
	if t.refreshed {
		return
	}
	t.answered[r.Name] = true
	if 2*len(t.answered) >= len(t.peers) {
		t.refreshed = true
	}
}

func (t *Tracker) mergeAll(now time.Time, updates []Update) {
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
	r, known := t.members[u.Name]
	switch {
	case r == t.self && known:
		t.refute(now, u)
	case !known && len(t.members) >= MaxMembers:
	case !known:
		t.add(now, u)
	case u.supersedes(r.Update):
		t.replace(now, r, u)
	}
}

// refute answers a claim that the own instance is slow with a higher counter.
// A claim that it is leaving or gone is the platform's and stands.
func (t *Tracker) refute(now time.Time, u Update) {
	if u.Incarnation == t.self.Incarnation && u.State == Slow && u.Counter >= t.self.Counter {
		t.self.Counter = u.Counter + 1
		t.urgent = true
		t.changedAt(t.self, now)
	}
}

func (t *Tracker) add(now time.Time, u Update) *record {
	r := &record{Update: u, hash: hashName(u.Name), bound: u.Incarnation}
	t.members[u.Name] = r
	t.all = append(t.all, r)
	t.noteState(now, r, Alive)
	return r
}

func (t *Tracker) replace(now time.Time, r *record, u Update) {
	before := r.State
	if u.Incarnation > r.Incarnation {
		before = Alive
		r.suspected, r.slowSince = false, time.Time{}
		r.asked = time.Time{}
		if r.bound == 0 {
			r.bound = u.Incarnation
		}
	}
	r.Update = u
	t.noteState(now, r, before)
}

// noteState brings the times of a member in line with its state.
func (t *Tracker) noteState(now time.Time, r *record, before State) {
	switch {
	case r.State == Alive:
		r.suspected, r.slowSince, r.asked = false, time.Time{}, time.Time{}
	case r.State == Slow && before != Slow:
		r.slowSince = now.Add(-SlowAfter)
	}
	if r.State >= Leaving && before < Leaving || before == Slow && r.State == Alive {
		t.urgent = true
	}
	t.changedAt(r, now)
}

// List takes the platform's list. A name that is missing tells nothing, since
// the list lags and may be cut short.
func (t *Tracker) List(now time.Time, list []Listed) {
	if len(list) == 0 {
		return
	}
	t.listReceived, t.refreshed = true, true
	for _, r := range t.all {
		r.listed = false
	}
	for _, l := range list {
		t.listOne(now, l)
	}
}

func (t *Tracker) listOne(now time.Time, l Listed) {
	r, known := t.members[l.Name]
	if !known {
		if l.State == Gone || l.Name == "" || len(t.members) >= MaxMembers {
			return
		}
		r = t.add(now, Update{Name: l.Name, Domain: l.Domain, Region: l.Region,
			PeerAddress: l.PeerAddress, CallerAddress: l.CallerAddress})
	}
	r.listed = true
	if l.State == Alive && r.verdict != Alive {
		r.bound = r.Incarnation
	}
	r.verdict = l.State
	if l.State < Leaving || r.State >= l.State || r == t.self {
		return
	}
	// A member that restarted may be listed with the state of its earlier
	// incarnation. The list counts for the new one only when that is silent.
	if r.Incarnation != r.bound && !r.suspected {
		return
	}
	before := r.State
	r.State = l.State
	t.noteState(now, r, before)
}
