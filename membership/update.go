package membership

// State is the state of a member. Later states win at the same incarnation and
// counter.
type State uint8

// States of a member.
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

// Update is what is known of a member at one incarnation and counter.
type Update struct {
	Name          string
	Domain        string
	Region        string
	PeerAddress   string // ip:port.
	CallerAddress string // ip:port.
	State         State
	Incarnation   uint64 // Unix nanoseconds at process start; 0 when only listed.
	Counter       uint64 // Rises with each change that the member makes.
	KeyEpoch      uint64 // Current epoch of at-most-once keys.
	TableVersion  uint64 // Member table version that the member applies.
	Successor     string // Instance that holds the member's at-most-once records.
}

// supersedes reports whether u replaces old.
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

// ListedMember is an entry of the platform's list.
type ListedMember struct {
	Name          string
	Domain        string
	Region        string
	PeerAddress   string
	CallerAddress string
	State         State // Alive, Leaving or Gone.
}

// Member is a member as a View shows it.
type Member struct {
	Update
	Suspected bool // Slow and silent for at least 3 s.
}

// Usable reports whether the member may be named to callers and given work.
func (m Member) Usable() bool { return m.State == Alive }

// View is the state of all members at one revision, the own instance included.
// It is immutable.
type View struct {
	Revision uint64   // Rises with each change.
	Members  []Member // Sorted by name.
}
