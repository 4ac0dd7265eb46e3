package dispatch

import (
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// Limits and intervals of a Scheduler.
const (
	// TickInterval is the time between calls of Scheduler.Tick.
	TickInterval = 10 * time.Millisecond
	// MaxPeers is the maximum number of instances of the region that receive wants
	// and load reports.
	MaxPeers = 8
	// MaxAges is the maximum number of ages in a want.
	MaxAges = 8
	// MaxAttempts is the maximum number of attempts for one request, each at
	// another target.
	MaxAttempts = 3
	// GrantExpiryMargin is the time between the latest end of a request and the
	// expiry of its slot. It leaves time to cancel the request at the target.
	GrantExpiryMargin = time.Second
	// FreezeThreshold is the time between two events above which the process
	// counts as frozen in between.
	FreezeThreshold = time.Second
	// ProbeInterval is the time between probes of a target that is down.
	ProbeInterval = 100 * time.Millisecond
	// AdmissionFraction is the part of a request's remaining queue time that its
	// expected wait may take up. The rest allows for errors of the estimate.
	AdmissionFraction = 0.8

	// TransportFraction is the part of the round-trip transport delay that counts
	// against a forward. It is below 1 because a forward also shortens the wait of
	// all requests queued behind.
	TransportFraction = 0.6
	// ForwardMargin is the part of another region's queue wait by which the total
	// wait there must be shorter than here. The error of the estimate grows with
	// the wait. Without the margin, regions that are all overloaded would exchange
	// requests that are then refused.
	ForwardMargin = 0.5

	// wantInterval is the time after which an unchanged want is repeated.
	wantInterval = 100 * time.Millisecond
	// wantMaxAge is the age after which a peer's want is ignored.
	wantMaxAge = 3 * wantInterval
	// initialHoldTime is the assumed mean hold time of a slot until requests have
	// ended.
	initialHoldTime = 50 * time.Millisecond
	// holdTimeWeight is the weight of one request in the mean hold time of a slot.
	holdTimeWeight = 1.0 / 64
)

// Config contains the fixed settings of a Scheduler.
type Config struct {
	Self           Member
	Incarnation    uint64        // Must differ between all instances and incarnations of a region.
	MaxQueueLength int           // Maximum number of queued requests for each service.
	GrantTTL       time.Duration // Time to live of a granted slot: the longest deadline plus GrantExpiryMargin.
	// LoadInterval is the time between load reports. LoadMaxAge is the age after
	// which a received report is ignored.
	LoadInterval, LoadMaxAge time.Duration
}

// Member is an entry instance.
type Member struct {
	Name   string
	Region string
	Domain string
}

// Service is a class of requests that the same targets execute.
type Service struct {
	Name         string
	MaxQueueTime time.Duration // Longest time in the queue; 0 means that only the deadline applies.
}

// Target is a target in the scheduler's region.
type Target struct {
	slots.Target
	Home       string // Instance that grants its slots; empty while no instance may.
	NeverMoved bool   // No other instance has granted its slots before.
	// NextHome is the home under the newest table. While the home is moving it is
	// already known, but Home is empty. PreviousHome is the ID of the home before
	// the last move, and HomeSince is the version of the table that made this
	// move.
	NextHome     string
	PreviousHome string
	HomeSince    uint64
	Leaving      bool
}

// View is what the instance knows of the other instances, the services and the
// targets.
type View struct {
	Members        []Member // Live instances of all regions, including this one.
	Services       []Service
	Targets        []Target                 // Targets in the region of this instance.
	TransportDelay map[string]time.Duration // One-way delay to each other region.
	// TableVersion is the version of the newest member table that the instance
	// knows.
	TableVersion uint64
}

// Request is a request that waits for a target.
type Request struct {
	ID        uint64 // Unique within this instance.
	Service   string
	EnteredAt time.Time // Time at which the request entered the system, by the local clock.
	Deadline  time.Time
	Hops      int // Number of times that the request was forwarded.
	Attempts  int // Attempts made so far.
	// Excluded contains the names of targets that must not be chosen. The map must
	// not be modified.
	Excluded map[string]bool

	attempted [MaxAttempts]string
}

// excludes reports whether the request must not be sent to the target.
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

// olderThan reports whether the request entered the system before another.
// Requests with equal times are ordered by ID.
func (r *Request) olderThan(other *Request) bool {
	if !r.EnteredAt.Equal(other.EnteredAt) {
		return r.EnteredAt.Before(other.EnteredAt)
	}
	return r.ID < other.ID
}

// ServiceLoad is the load of one service: of one instance in reports within a
// region, and of a whole region in reports to other regions.
type ServiceLoad struct {
	Service      string
	Queued       int
	Busy         int
	Slots        int           // Slots in service.
	MeanHoldTime time.Duration // Mean time that a request holds a slot.
	Age          time.Duration // Age of the figures when the report was sent.
}

// Inputs contains the figures on which a decision was based.
type Inputs struct {
	Age          time.Duration // Time since the request entered the system.
	Queued       int           // Requests in this instance's queue for the service.
	ExpectedWait time.Duration // Expected wait in this region.
	RemoteWait   time.Duration // Expected wait in the best other region, including transport; 0 if none was considered.
	Limit        time.Duration // Longest expected wait with which the request is accepted.
}

// Action is an instruction that the caller must carry out.
type Action interface{ action() }

// Start sends a request to a target on a granted slot.
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

// Refuse responds to a request without executing it.
type Refuse struct {
	Request   Request
	Reason    outcome.Reason
	WasQueued bool // The request was queued before it was refused.
	Inputs    Inputs
}

// SendWant announces the ages of the oldest queued requests to a home. An
// empty list withdraws the last want.
type SendWant struct {
	To       string
	Service  string
	Sequence uint64
	Ages     []time.Duration
}

// SendGrant grants a slot to a peer.
type SendGrant struct {
	To           string
	Service      string
	Target       string
	GrantID      uint64
	WantSequence uint64 // Sequence of the want that led to the grant.
	TTL          time.Duration
	Age          time.Duration // Age of the announced request for which the slot was granted.
}

// SendRelease returns a slot to the home of its target.
type SendRelease struct {
	To      string
	Target  string
	GrantID uint64
	Cause   slots.ReleaseCause
}

// SendLoad sends a load report to a peer.
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

// Probe checks whether a target that is down responds again.
type Probe struct {
	Target string
}

// RefreshView reads the member table and the list of instances again after a
// freeze.
type RefreshView struct {
	Gap time.Duration // Time between the two events around the freeze.
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
