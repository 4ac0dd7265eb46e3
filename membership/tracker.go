package membership

import (
	"container/list"
	"slices"
	"strings"
	"time"
)

// Time constants of the protocol.
const (
	HeartbeatInterval = time.Second
	// SlowAfter is the time after which a member becomes slow: since the first
	// heartbeat to it without a response, or since its next heartbeat was due.
	SlowAfter = time.Second
	// SuspectAfter is the duration of silence after which a slow member is
	// suspected.
	SuspectAfter = 3 * time.Second
	// FrozenAfter is the time between two ticks above which an instance
	// assumes that its process was frozen. Tick should be called at least four
	// times within this period.
	FrozenAfter = time.Second
	// ListInterval is the time between reads of the platform's list by the two
	// designated list readers of a failure domain.
	ListInterval = time.Second
	// ReducedListInterval is the time between reads of the platform's list by
	// the other instances, which learn about changes from heartbeats. With
	// 8,000 instances this causes 267 reads per second.
	ReducedListInterval = 30 * time.Second

	// minRoundInterval is the minimum time between two rounds of heartbeats. A
	// round is sent before HeartbeatInterval has passed when a member is leaving
	// or gone, when a member has refuted that it is slow, or when the local
	// instance has changed.
	minRoundInterval = 200 * time.Millisecond
	// removeAfter is the time without a change after which a member is removed
	// if it is gone, or if it is suspected and not in the platform's list.
	removeAfter = 10 * time.Minute
)

// Limits of the protocol.
const (
	MaxPeers   = 8
	MaxUpdates = 16
	// MaxMembers limits the memory that peers can cause an instance to allocate.
	MaxMembers = 16384

	// listReadersPerDomain is the number of instances per failure domain that
	// read the platform's list every ListInterval.
	listReadersPerDomain = 2
)

// memberRecord is a member's update together with the local instance's
// observations of the member.
type memberRecord struct {
	Update
	hash              uint64    // Hash of the name.
	unansweredSince   time.Time // Time of the first heartbeat to it without a response; zero if none.
	lastHeartbeat     time.Time // Time of its latest heartbeat; zero if none was received or its absence has been handled.
	silentSince       time.Time // Start of the silence that made the member slow; zero if none.
	lastChange        time.Time // Time of the latest change of the update or state.
	suspected         bool
	inLatestList      bool          // Whether the latest platform list contains it.
	listedState       State         // State in the latest platform list that contained it.
	listedIncarnation uint64        // Incarnation that listedState applies to: the first known since it was listed as alive.
	remainingSends    int           // Number of times that the update is still to be sent.
	queueElement      *list.Element // Element of Tracker.updateQueue; nil if not queued.
}

// Tracker tracks the states of all members on behalf of the local instance.
type Tracker struct {
	self          *memberRecord
	byName        map[string]*memberRecord // Includes the local instance.
	records       []*memberRecord          // All members in the order in which they were added.
	revision      uint64
	updateQueue   list.List // Members (*memberRecord) whose updates are to be sent, latest change first.
	peers         []*memberRecord
	peersRevision uint64 // Revision at which peers were selected.
	probeCount    int    // Number of probes sent to suspected members.

	lastTick, lastRound, lastList time.Time
	listReceived                  bool
	earlyRound                    bool // Whether to send the next round after minRoundInterval.
	refreshed                     bool
	responded                     map[string]bool // Members that responded since the last freeze.
	cachedView                    *View
}

// NewTracker returns a tracker whose only member is the local instance.
func NewTracker(self Update) *Tracker {
	tracker := &Tracker{byName: map[string]*memberRecord{}, responded: map[string]bool{}, refreshed: true}
	tracker.self = &memberRecord{Update: self, hash: hashName(self.Name), listedIncarnation: self.Incarnation}
	tracker.byName[self.Name] = tracker.self
	tracker.records = []*memberRecord{tracker.self}
	tracker.revision = 1
	return tracker
}

// Self returns the update of the local instance.
func (tracker *Tracker) Self() Update { return tracker.self.Update }

// ChangeSelf modifies the update of the local instance by calling change. If the
// update differs afterwards, its counter is incremented and an early round of
// heartbeats distributes it. Changes to the name, incarnation and counter are
// discarded.
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

// SetIncarnation sets a new incarnation of the local instance, for example after
// a member table replaced the instance while its process was frozen.
func (tracker *Tracker) SetIncarnation(now time.Time, incarnation uint64) {
	tracker.self.Incarnation, tracker.self.listedIncarnation, tracker.self.Counter = incarnation, incarnation, 0
	tracker.earlyRound = true
	tracker.recordChange(tracker.self, now)
}

// SelfListedState returns the state of the local instance in the platform's list.
func (tracker *Tracker) SelfListedState() State { return tracker.self.listedState }

// Refreshed reports whether the view is current. It is false from the detection
// of a freeze until the platform's list has been read or enough members (half the
// number of peers) have responded.
func (tracker *Tracker) Refreshed() bool { return tracker.refreshed }

// Revision returns the revision of the view, which is incremented with each
// change.
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

// Actions states what the caller of Tick must do.
type Actions struct {
	Heartbeats []Update // Peers to send a heartbeat to, at most MaxPeers.
	ReadList   bool     // Read the platform's list.
	WasFrozen  bool     // The local process was frozen; do not use grants until Refreshed.
}

// Tick advances the time to now and returns the actions that are due.
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

// resetAfterFreeze restarts the measurement of silence for members that may have
// appeared silent only because the local process was frozen.
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

// listDue reports whether to read the platform's list now.
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

// detectSilence marks silent members as slow, marks slow members as suspected
// after SuspectAfter, and removes members that are removable.
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
	// The member may have selected other peers. It is silent only if the local
	// instance is still one of its peers.
	member.lastHeartbeat = time.Time{}
	return slices.Contains(tracker.selectPeers(member), tracker.self)
}

func (tracker *Tracker) isRemovable(member *memberRecord, now time.Time) bool {
	expired := now.Sub(member.lastChange) >= removeAfter
	return expired && (member.State == Gone || member.suspected && !member.inLatestList)
}

// recordChange records a change of a member and queues its update for sending.
func (tracker *Tracker) recordChange(member *memberRecord, now time.Time) {
	member.lastChange = now
	tracker.revision++
	tracker.enqueue(member)
}
