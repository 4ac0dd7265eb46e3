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
	tracker := &Tracker{byName: map[string]*memberRecord{}, responded: map[string]bool{}, refreshed: true}
	tracker.self = &memberRecord{Update: self, hash: hashName(self.Name), listedIncarnation: self.Incarnation}
	tracker.byName[self.Name] = tracker.self
	tracker.records = []*memberRecord{tracker.self}
	tracker.revision = 1
	return tracker
}

// Self returns the own update.
func (tracker *Tracker) Self() Update { return tracker.self.Update }

// ChangeSelf lets change edit the own update. When it does, the counter rises
// and the update is spread at once. Name and incarnation stay.
func (tracker *Tracker) ChangeSelf(now time.Time, change func(*Update)) {
	next := tracker.self.Update
	change(&next)
	next.Name, next.Incarnation, next.Counter = tracker.self.Name, tracker.self.Incarnation, tracker.self.Counter
	if next == tracker.self.Update {
		return
	}
	next.Counter++
	tracker.self.Update = next
	tracker.earlyRound = true
	tracker.recordChange(tracker.self, now)
}

// SetIncarnation gives the own instance a new incarnation, for example after it was
// replaced in a member table while it was frozen.
func (tracker *Tracker) SetIncarnation(now time.Time, incarnation uint64) {
	tracker.self.Incarnation, tracker.self.listedIncarnation, tracker.self.Counter = incarnation, incarnation, 0
	tracker.earlyRound = true
	tracker.recordChange(tracker.self, now)
}

// SelfListedState returns the state of the own instance in the platform's list.
func (tracker *Tracker) SelfListedState() State { return tracker.self.listedState }

// Refreshed reports whether the view is current. It is false from a detected
// freeze until the platform's list was read or half of the peers answered.
func (tracker *Tracker) Refreshed() bool { return tracker.refreshed }

// Revision rises with each change of the view.
func (tracker *Tracker) Revision() uint64 { return tracker.revision }

// View returns the current state of all members.
func (tracker *Tracker) View() *View {
	if tracker.cachedView != nil && tracker.cachedView.Revision == tracker.revision {
		return tracker.cachedView
	}
	view := &View{Revision: tracker.revision, Members: make([]Member, 0, len(tracker.byName))}
	for _, member := range tracker.records {
		view.Members = append(view.Members, Member{Update: member.Update, Suspected: member.suspected})
	}
	slices.SortFunc(view.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	tracker.cachedView = view
	return view
}

// Actions are what a tick asks the caller to do.
type Actions struct {
	Heartbeats []Update // Peers to send a heartbeat to, at most MaxPeers.
	ReadList   bool     // Read the platform's list.
	WasFrozen  bool     // The own instance was frozen; give up grants until Refreshed.
}

// Tick advances the time.
func (tracker *Tracker) Tick(now time.Time) Actions {
	var actions Actions
	if !tracker.lastTick.IsZero() && now.Sub(tracker.lastTick) > FrozenAfter {
		actions.WasFrozen = true
		tracker.resetAfterFreeze(now)
	}
	tracker.lastTick = now
	tracker.detectSilence(now)
	actions.ReadList = tracker.listDue(now)
	if sinceRound := now.Sub(tracker.lastRound); sinceRound >= HeartbeatInterval || tracker.earlyRound && sinceRound >= minRoundInterval {
		tracker.lastRound, tracker.earlyRound = now, false
		actions.Heartbeats = tracker.roundPeers(now)
	}
	return actions
}

// resetAfterFreeze discards all silence that the own freeze explains.
func (tracker *Tracker) resetAfterFreeze(now time.Time) {
	tracker.refreshed = false
	clear(tracker.responded)
	for _, member := range tracker.records {
		member.unansweredSince = time.Time{}
		if !member.lastHeartbeat.IsZero() {
			member.lastHeartbeat = now
		}
		if member.State == Slow && !member.suspected {
			member.silentSince = now
		}
	}
}

func (tracker *Tracker) listDue(now time.Time) bool {
	interval := ReducedListInterval
	if !tracker.listReceived || !tracker.refreshed || tracker.isListReader() {
		interval = ListInterval
	}
	if now.Sub(tracker.lastList) < interval {
		return false
	}
	tracker.lastList = now
	return true
}

// detectSilence marks silent members slow and slow members suspected.
func (tracker *Tracker) detectSilence(now time.Time) {
	removed := false
	for _, member := range tracker.records {
		switch {
		case member == tracker.self:
		case member.State == Alive && tracker.isSilent(member, now):
			member.State = Slow
			member.silentSince = now.Add(-SlowAfter)
			tracker.recordChange(member, now)
		case member.State != Alive && !member.suspected && !member.silentSince.IsZero() && now.Sub(member.silentSince) >= SuspectAfter:
			member.suspected = true
			tracker.revision++
		case tracker.isRemovable(member, now):
			delete(tracker.byName, member.Name)
			tracker.dequeue(member)
			tracker.revision++
			removed = true
		}
	}
	if removed {
		tracker.records = slices.DeleteFunc(tracker.records, func(member *memberRecord) bool { return tracker.byName[member.Name] != member })
	}
}

func (tracker *Tracker) isSilent(member *memberRecord, now time.Time) bool {
	if !member.unansweredSince.IsZero() && now.Sub(member.unansweredSince) >= SlowAfter {
		return true
	}
	if member.lastHeartbeat.IsZero() || now.Sub(member.lastHeartbeat) < HeartbeatInterval+SlowAfter {
		return false
	}
	// The member may have chosen other peers. It is silent only if it still
	// counts this instance among its peers.
	member.lastHeartbeat = time.Time{}
	return slices.Contains(tracker.selectPeers(member), tracker.self)
}

func (tracker *Tracker) isRemovable(member *memberRecord, now time.Time) bool {
	expired := now.Sub(member.lastChange) >= removeAfter
	return expired && (member.State == Gone || member.suspected && !member.inLatestList)
}

// recordChange records a change of a member and queues it for spreading.
func (tracker *Tracker) recordChange(member *memberRecord, now time.Time) {
	member.lastChange = now
	tracker.revision++
	tracker.enqueue(member)
}
