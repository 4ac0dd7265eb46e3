package membership

import (
	"container/list"
	"slices"
	"strings"
	"time"
)

// Times of the protocol.
const (
	HeartbeatInterval = time.Second
	// SlowAfter is the time without an answer, or past the due time of the
	// next heartbeat, after which a member is slow.
	SlowAfter = time.Second
	// SuspectAfter is the time of silence after which a slow member is
	// suspected.
	SuspectAfter = 3 * time.Second
	// FrozenAfter is the gap between two ticks after which an instance treats
	// itself as having been frozen. Ticks should come at least four times in it.
	FrozenAfter = time.Second
	// ListInterval is the time between reads of the platform's list by the
	// first two instances of a domain.
	ListInterval = time.Second
	// SlowListInterval is the time between reads by the other instances, which
	// learn changes from heartbeats: 8,000 instances read 267 times a second.
	SlowListInterval = 30 * time.Second

	// urgentInterval is the shortest time between two rounds of heartbeats. A
	// round is early when a member has left or has refuted that it is slow.
	urgentInterval = 200 * time.Millisecond
	// forgetAfter is the time after which a gone member, or a suspected one
	// that the list does not name, is forgotten.
	forgetAfter = 10 * time.Minute
)

// Bounds of the protocol.
const (
	MaxPeers   = 8
	MaxUpdates = 16
	// MaxMembers bounds the memory that peers can make an instance use.
	MaxMembers = 16384

	listReaders = 2
)

// record is a member with what the own instance knows of it.
type record struct {
	Update
	hash      uint64    // Hash of the name.
	asked     time.Time // First heartbeat to it without an answer; zero when none.
	heardFrom time.Time // Its latest heartbeat; zero when it sends none here.
	slowSince time.Time // Start of the silence of a slow member.
	changed   time.Time // Latest change of its state.
	suspected bool
	listed    bool          // Whether the latest list names it.
	verdict   State         // State in the latest list that named it.
	bound     uint64        // First incarnation known since the list called it alive.
	sends     int           // Times that the update is still to be sent.
	queued    *list.Element // Place in the updates to spread; nil when none.
}

// Tracker keeps the members' states of one instance.
type Tracker struct {
	self     *record
	members  map[string]*record // Includes the own instance.
	all      []*record          // The members in the order in which they became known.
	revision uint64
	pending  list.List // Of *record; updates to spread, freshest first.
	peers    []*record
	peersAt  uint64 // Revision for which peers were chosen.
	probes   int    // Suspected members probed so far.

	lastTick, lastRound, lastList time.Time
	listReceived                  bool
	urgent                        bool
	refreshed                     bool
	answered                      map[string]bool // Peers that answered since the last freeze.
	view                          *View
}

// NewTracker returns the tracker of an instance that knows no other member.
func NewTracker(self Update) *Tracker {
	t := &Tracker{members: map[string]*record{}, answered: map[string]bool{}, refreshed: true}
	t.self = &record{Update: self, hash: hashName(self.Name), bound: self.Incarnation}
	t.members[self.Name] = t.self
	t.all = []*record{t.self}
	t.revision = 1
	return t
}

// Self returns the own update.
func (t *Tracker) Self() Update { return t.self.Update }

// ChangeSelf lets change edit the own update. When it does, the counter rises
// and the update is spread at once. Name and incarnation stay.
func (t *Tracker) ChangeSelf(now time.Time, change func(*Update)) {
	next := t.self.Update
	change(&next)
	next.Name, next.Incarnation, next.Counter = t.self.Name, t.self.Incarnation, t.self.Counter
	if next == t.self.Update {
		return
	}
	next.Counter++
	t.self.Update = next
	t.urgent = true
	t.changedAt(t.self, now)
}

// Reincarnate gives the own instance a new incarnation, for example after it was
// replaced in a member table while it was frozen.
func (t *Tracker) Reincarnate(now time.Time, incarnation uint64) {
	t.self.Incarnation, t.self.bound, t.self.Counter = incarnation, incarnation, 0
	t.urgent = true
	t.changedAt(t.self, now)
}

// SelfListed returns the state of the own instance in the platform's list.
func (t *Tracker) SelfListed() State { return t.self.verdict }

// Refreshed reports whether the view is current. It is false from a detected
// freeze until the platform's list was read or half of the peers answered.
func (t *Tracker) Refreshed() bool { return t.refreshed }

// Revision rises with each change of the view.
func (t *Tracker) Revision() uint64 { return t.revision }

// View returns the current state of all members.
func (t *Tracker) View() *View {
	if t.view != nil && t.view.Revision == t.revision {
		return t.view
	}
	v := &View{Revision: t.revision, Members: make([]Member, 0, len(t.members))}
	for _, r := range t.all {
		v.Members = append(v.Members, Member{Update: r.Update, Suspected: r.suspected})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	t.view = v
	return v
}

// Actions are what a tick asks the caller to do.
type Actions struct {
	Heartbeats []Update // Peers to send a heartbeat to, at most MaxPeers.
	ReadList   bool     // Read the platform's list.
	Frozen     bool     // The own instance was frozen; give up grants until Refreshed.
}

// Tick advances the time.
func (t *Tracker) Tick(now time.Time) Actions {
	var a Actions
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > FrozenAfter {
		a.Frozen = true
		t.thaw(now)
	}
	t.lastTick = now
	t.detectSilence(now)
	a.ReadList = t.listDue(now)
	if due := now.Sub(t.lastRound); due >= HeartbeatInterval || t.urgent && due >= urgentInterval {
		t.lastRound, t.urgent = now, false
		a.Heartbeats = t.round(now)
	}
	return a
}

// thaw discards all silence that the own freeze explains.
func (t *Tracker) thaw(now time.Time) {
	t.refreshed = false
	clear(t.answered)
	for _, r := range t.all {
		r.asked = time.Time{}
		if !r.heardFrom.IsZero() {
			r.heardFrom = now
		}
		if r.State == Slow && !r.suspected {
			r.slowSince = now
		}
	}
}

func (t *Tracker) listDue(now time.Time) bool {
	interval := SlowListInterval
	if !t.listReceived || !t.refreshed || t.readsListOften() {
		interval = ListInterval
	}
	if now.Sub(t.lastList) < interval {
		return false
	}
	t.lastList = now
	return true
}

// detectSilence marks silent members slow and slow members suspected.
func (t *Tracker) detectSilence(now time.Time) {
	forgotten := false
	for _, r := range t.all {
		switch {
		case r == t.self:
		case r.State == Alive && t.silent(r, now):
			r.State = Slow
			r.slowSince = now.Add(-SlowAfter)
			t.changedAt(r, now)
		case r.State != Alive && !r.suspected && !r.slowSince.IsZero() && now.Sub(r.slowSince) >= SuspectAfter:
			r.suspected = true
			t.revision++
		case t.forgettable(r, now):
			delete(t.members, r.Name)
			t.dequeue(r)
			t.revision++
			forgotten = true
		}
	}
	if forgotten {
		t.all = slices.DeleteFunc(t.all, func(r *record) bool { return t.members[r.Name] != r })
	}
}

func (t *Tracker) silent(r *record, now time.Time) bool {
	if !r.asked.IsZero() && now.Sub(r.asked) >= SlowAfter {
		return true
	}
	if r.heardFrom.IsZero() || now.Sub(r.heardFrom) < HeartbeatInterval+SlowAfter {
		return false
	}
	// The member may have chosen other peers. It is silent only if it still
	// counts this instance among its peers.
	r.heardFrom = time.Time{}
	return slices.Contains(t.peersOf(r), t.self)
}

func (t *Tracker) forgettable(r *record, now time.Time) bool {
	old := now.Sub(r.changed) >= forgetAfter
	return old && (r.State == Gone || r.suspected && !r.listed)
}

// changedAt records a change of a member and queues it for spreading.
func (t *Tracker) changedAt(r *record, now time.Time) {
	r.changed = now
	t.revision++
	t.enqueue(r)
}
