package dispatch

import (
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// Limits and intervals of a Scheduler.
const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 10 * time.Millisecond
	// MaxPeers bounds the instances of the region that get wants and loads.
	MaxPeers = 8
	// MaxAges bounds the ages in one want.
	MaxAges = 8
	// MaxAttempts bounds the targets tried for one request.
	MaxAttempts = 3
	// GrantExpiryMargin is the time between the latest end of a request and the
	// expiry of its slot. It covers the cancellation at the target.
	GrantExpiryMargin = time.Second
	// FreezeThreshold is the time between two events after which the instance
	// counts as frozen in between.
	FreezeThreshold = time.Second
	// ProbeInterval is the time between probes of a target that is down.
	ProbeInterval = 100 * time.Millisecond
	// AdmissionFraction is the part of a request's time limit in the queue that its
	// expected wait may take. The rest covers the error of the estimate.
	AdmissionFraction = 0.8

	// TransportFraction is the part of the transport there and back that counts
	// against a forward. It is below 1 since a forward also shortens the wait of
	// all requests queued behind.
	TransportFraction = 0.6
	// ForwardMargin is the part of the wait in the queue of another region by
	// which forwarding there must be better. The error of the estimates grows
	// with the wait; without the margin, regions that are all overloaded exchange
	// requests that are then refused.
	ForwardMargin = 0.5

	wantInterval = 100 * time.Millisecond
	wantMaxAge   = 3 * wantInterval
	// initialHoldTime is the assumed time that a request holds a slot until the
	// first ones have ended.
	initialHoldTime = 50 * time.Millisecond
	// holdTimeWeight is the weight of one request in the mean time of a slot.
	holdTimeWeight = 1.0 / 64
)

// Config holds the fixed settings of a Scheduler.
type Config struct {
	Self           Member
	Incarnation    uint64        // Must differ between all homes of a region.
	MaxQueueLength int           // Bound of the queue of each service, in requests.
	GrantTTL       time.Duration // Time to live of a granted slot: the longest deadline plus GrantMargin.
	// LoadInterval is the time between load reports. LoadLife is the age at
	// which a report is ignored.
	LoadInterval, LoadMaxAge time.Duration
}

// Member is an entry instance.
type Member struct {
	Name   string
	Region string
	Domain string
}

// Service is a kind of request.
type Service struct {
	Name         string
	MaxQueueTime time.Duration // Longest time in the queue; 0 means that only the deadline counts.
}

// Target is a target of the scheduler's region.
type Target struct {
	slots.Target
	Home       string // Instance that grants its slots now; empty when there is none.
	NeverMoved bool   // No instance has granted its slots before.
	// NextHome is the home under the newest table, known before Home while the home
	// moves. Previous identifies the home before the last move, and Since is the
	// version of the table with that move.
	NextHome     string
	PreviousHome string
	HomeSince    uint64
	Leaving      bool
}

// View is what the instance knows of its surroundings.
type View struct {
	Members        []Member // Live instances of all regions, with this one.
	Services       []Service
	Targets        []Target                 // Targets of the own region.
	TransportDelay map[string]time.Duration // One-way delay to each other region.
	// TableVersion is the newest member table that the instance knows.
	TableVersion uint64
}

// Request is a request that waits for a target.
type Request struct {
	ID        uint64 // Unique in this instance.
	Service   string
	EnteredAt time.Time // When the request entered the system, by the local clock.
	Deadline  time.Time
	Hops      int // Times that the request was forwarded.
	Attempts  int // Targets tried so far.
	// Excluded names targets that must not be chosen; it must not change.
	Excluded map[string]bool

	attempted [MaxAttempts]string
}

func (r *Request) excludes(target string) bool {
	if r.Excluded[target] {
		return true
	}
	for _, name := range r.attempted[:min(r.Attempts, MaxAttempts)] {
		if name == target {
			return true
		}
	}
	return false
}

func (r *Request) olderThan(other *Request) bool {
	if !r.EnteredAt.Equal(other.EnteredAt) {
		return r.EnteredAt.Before(other.EnteredAt)
	}
	return r.ID < other.ID
}

// ServiceLoad is the load of one service, of one instance when it is exchanged inside
// a region and of the whole region when it is sent to another one.
type ServiceLoad struct {
	Service      string
	Queued       int
	Busy         int
	Slots        int           // Slots in service.
	MeanHoldTime time.Duration // Mean time that a request holds a slot.
	Age          time.Duration // Age of the figures when sent.
}

// Inputs are the figures that decided an action.
type Inputs struct {
	Age          time.Duration // Time since the request entered the system.
	Queued       int           // Requests in the own queue of the service.
	ExpectedWait time.Duration // In the own region.
	RemoteWait   time.Duration // In the chosen region, with the transport; 0 when none was weighed.
	Limit        time.Duration // Longest wait that the request may expect.
}

// Action is what the caller must carry out.
type Action interface{ action() }

// Start sends a request to a target under a granted slot.
type Start struct {
	Request Request
	Target  string
	Home    string
	GrantID uint64
	EndBy   time.Time // The request must have ended by then.
	Inputs  Inputs
}

// Forward relays a request to an instance of another region.
type Forward struct {
	Request  Request
	Region   string
	Instance string
	Inputs   Inputs
}

// Refuse answers a request without executing it.
type Refuse struct {
	Request   Request
	Reason    outcome.Reason
	WasQueued bool // The request was in the queue before.
	Inputs    Inputs
}

// SendWant announces the ages of the oldest queued requests to a home. An
// empty list cancels the last want.
type SendWant struct {
	To       string
	Service  string
	Sequence uint64
	Ages     []time.Duration
}

// SendGrant offers a slot to a peer.
type SendGrant struct {
	To           string
	Service      string
	Target       string
	GrantID      uint64
	WantSequence uint64 // Sequence of the want that the grant answers.
	TTL          time.Duration
	Age          time.Duration // Age of the request for which the slot is meant.
}

// SendRelease returns a slot to its home.
type SendRelease struct {
	To      string
	Target  string
	GrantID uint64
	Cause   slots.ReleaseCause
}

// SendLoad reports the load to a peer.
type SendLoad struct {
	To   string
	Load ServiceLoad
}

// SendHandOff tells the next home of a target how many slots were in use when
// this instance stopped granting them.
type SendHandOff struct {
	To        string
	Target    string
	BusySlots int
	// TableVersion is the newest member table that this instance knows.
	TableVersion uint64
}

// Probe checks a target that is down.
type Probe struct {
	Target string
}

// RefreshView reads the member table and the list of instances again.
type RefreshView struct {
	Gap time.Duration // Time between the last two events.
}

func (Start) action()       {}
func (Forward) action()     {}
func (Refuse) action()      {}
func (SendWant) action()    {}
func (SendGrant) action()   {}
func (SendRelease) action() {}
func (SendLoad) action()    {}
func (SendHandOff) action() {}
func (Probe) action()       {}
func (RefreshView) action() {}
