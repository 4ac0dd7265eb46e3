package membership

// State is the state of a member. At the same incarnation and counter, a later
// state takes precedence.
type State uint8

// States of a member. Their order is their precedence.
const (
	Alive State = iota
	Slow
	Leaving
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "slow", "leaving", "gone"}[s&3]
}

// Update describes a member at one incarnation and counter.
type Update struct {
	Name          string
	Domain        string
	Region        string
	PeerAddress   string // ip:port.
	CallerAddress string // ip:port.
	State         State
	Incarnation   uint64 // Unix nanoseconds at process start; 0 if known only from the platform's list.
	Counter       uint64 // Incremented by the member with each of its changes.
	KeyEpoch      uint64 // Current epoch of the member's at-most-once keys.
	TableVersion  uint64 // Version of the member table that the member uses.
	Successor     string // Name of the instance that holds the member's at-most-once records.
}

// supersedes reports whether u takes precedence over old.
func (u Update) supersedes(old Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	if old.State == Gone {
		return false
	}
	if u.Counter != old.Counter {
		return u.Counter > old.Counter
	}
	return u.State > old.State
}

// ListedMember is a member in the platform's list.
type ListedMember struct {
	Name          string
	Domain        string
	Region        string
	PeerAddress   string
	CallerAddress string
	State         State // Alive, Leaving or Gone.
}

// Member is the state of a member in a View.
type Member struct {
	Update
	Suspected bool // Whether the member has been silent for at least SuspectAfter.
}

// Usable reports whether callers may be sent to the member and whether it may be
// given work.
func (m Member) Usable() bool { return m.State == Alive }

// View is the state of all members, including the local instance, at one
// revision. It is immutable.
type View struct {
	Revision uint64   // Incremented with each change.
	Members  []Member // Sorted by name.
}
