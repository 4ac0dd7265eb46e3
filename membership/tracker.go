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
	// ReducedListInterval is the time between reads by the other instances, which
	// learn changes from heartbeats: 8,000 instances read 267 times a second.
	ReducedListInterval = 30 * time.Second

	// minRoundInterval is the shortest time between two rounds of heartbeats. A
	// round is early when a member has left or has refuted that it is slow.
	minRoundInterval = 200 * time.Millisecond
	// removeAfter is the time after which a gone member, or a suspected one
	// that the list does not name, is forgotten.
	removeAfter = 10 * time.Minute
)

// Bounds of the protocol.
const (
	MaxPeers   = 8
	MaxUpdates = 16
	// MaxMembers bounds the memory that peers can make an instance use.
	MaxMembers = 16384

	listReadersPerDomain = 2
)

// memberRecord is a member with what the own instance knows of it.
type memberRecord struct {
	Update
	hash              uint64    // Hash of the name.
	unansweredSince   time.Time // First heartbeat to it without an answer; zero when none.
	lastHeartbeat     time.Time // Its latest heartbeat; zero when it sends none here.
	silentSince       time.Time // Start of the silence of a slow member.
	lastChange        time.Time // Latest change of its state.
	suspected         bool
	inLatestList      bool          // Whether the latest list names it.
	listedState       State         // State in the latest list that named it.
	listedIncarnation uint64        // First incarnation known since the list called it alive.
	remainingSends    int           // Times that the update is still to be sent.
	queueElement      *list.Element // Place in the updates to spread; nil when none.
}

// Tracker keeps the members' states of one instance.
type Tracker struct {
	self          *memberRecord
	byName        map[string]*memberRecord // Includes the own instance.
	records       []*memberRecord          // The members in the order in which they became known.
	revision      uint64
	updateQueue   list.List // Of *record; updates to spread, freshest first.
	peers         []*memberRecord
	peersRevision uint64 // Revision for which peers were chosen.
	probeCount    int    // Suspected members probed so far.

	lastTick, lastRound, lastList time.Time
	listReceived                  bool
	earlyRound                    bool
	refreshed                     bool
	responded                     map[string]bool // Peers that answered since the last freeze.
	cachedView                    *View
}

// NewTracker returns the tracker of an instance that knows no other member.
func NewTracker(self Update) *Tracker {
	t := &Tracker{byName: map[string]*memberRecord{}, responded: map[string]bool{}, refreshed: true}
	t.self = &memberRecord{Update: self, hash: hashName(self.Name), listedIncarnation: self.Incarnation}
	t.byName[self.Name] = t.self
	t.records = []*memberRecord{t.self}
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
	t.earlyRound = true
	t.recordChange(t.self, now)
}

// SetIncarnation gives the own instance a new incarnation, for example after it was
// replaced in a member table while it was frozen.
func (t *Tracker) SetIncarnation(now time.Time, incarnation uint64) {
	t.self.Incarnation, t.self.listedIncarnation, t.self.Counter = incarnation, incarnation, 0
	t.earlyRound = true
	t.recordChange(t.self, now)
}

// SelfListedState returns the state of the own instance in the platform's list.
func (t *Tracker) SelfListedState() State { return t.self.listedState }

// Refreshed reports whether the view is current. It is false from a detected
// freeze until the platform's list was read or half of the peers answered.
func (t *Tracker) Refreshed() bool { return t.refreshed }

// Revision rises with each change of the view.
func (t *Tracker) Revision() uint64 { return t.revision }

// View returns the current state of all members.
func (t *Tracker) View() *View {
	if t.cachedView != nil && t.cachedView.Revision == t.revision {
		return t.cachedView
	}
	v := &View{Revision: t.revision, Members: make([]Member, 0, len(t.byName))}
	for _, r := range t.records {
		v.Members = append(v.Members, Member{Update: r.Update, Suspected: r.suspected})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	t.cachedView = v
	return v
}

// Actions are what a tick asks the caller to do.
type Actions struct {
	Heartbeats []Update // Peers to send a heartbeat to, at most MaxPeers.
	ReadList   bool     // Read the platform's list.
	WasFrozen  bool     // The own instance was frozen; give up grants until Refreshed.
}

// Tick advances the time.
func (t *Tracker) Tick(now time.Time) Actions {
	var a Actions
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > FrozenAfter {
		a.WasFrozen = true
		t.resetAfterFreeze(now)
	}
	t.lastTick = now
	t.detectSilence(now)
	a.ReadList = t.listDue(now)
	if due := now.Sub(t.lastRound); due >= HeartbeatInterval || t.earlyRound && due >= minRoundInterval {
		t.lastRound, t.earlyRound = now, false
		a.Heartbeats = t.roundPeers(now)
	}
	return a
}

// resetAfterFreeze discards all silence that the own freeze explains.
func (t *Tracker) resetAfterFreeze(now time.Time) {
	t.refreshed = false
	clear(t.responded)
	for _, r := range t.records {
		r.unansweredSince = time.Time{}
		if !r.lastHeartbeat.IsZero() {
			r.lastHeartbeat = now
		}
		if r.State == Slow && !r.suspected {
			r.silentSince = now
		}
	}
}

func (t *Tracker) listDue(now time.Time) bool {
	interval := ReducedListInterval
	if !t.listReceived || !t.refreshed || t.isListReader() {
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
	for _, r := range t.records {
		switch {
		case r == t.self:
		case r.State == Alive && t.isSilent(r, now):
			r.State = Slow
			r.silentSince = now.Add(-SlowAfter)
			t.recordChange(r, now)
		case r.State != Alive && !r.suspected && !r.silentSince.IsZero() && now.Sub(r.silentSince) >= SuspectAfter:
			r.suspected = true
			t.revision++
		case t.isRemovable(r, now):
			delete(t.byName, r.Name)
			t.dequeue(r)
			t.revision++
			forgotten = true
		}
	}
	if forgotten {
		t.records = slices.DeleteFunc(t.records, func(r *memberRecord) bool { return t.byName[r.Name] != r })
	}
}

func (t *Tracker) isSilent(r *memberRecord, now time.Time) bool {
	if !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= SlowAfter {
		return true
	}
	if r.lastHeartbeat.IsZero() || now.Sub(r.lastHeartbeat) < HeartbeatInterval+SlowAfter {
		return false
	}
	// The member may have chosen other peers. It is silent only if it still
	// counts this instance among its peers.
	r.lastHeartbeat = time.Time{}
	return slices.Contains(t.selectPeers(r), t.self)
}

func (t *Tracker) isRemovable(r *memberRecord, now time.Time) bool {
	old := now.Sub(r.lastChange) >= removeAfter
	return old && (r.State == Gone || r.suspected && !r.inLatestList)
}

// recordChange records a change of a member and queues it for spreading.
func (t *Tracker) recordChange(r *memberRecord, now time.Time) {
	r.lastChange = now
	t.revision++
	t.enqueue(r)
}
