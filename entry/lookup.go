package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
)

// lookupRefreshInterval is the interval at which changes of the document and of the
// instances are put in force for look-ups, and waiting look-ups are woken.
const lookupRefreshInterval = 50 * time.Millisecond

// LookupResponse tells a caller which entry instances to use.
type LookupResponse struct {
	// Version changes with the answer; it is below 2^53. A caller passes it
	// with the next look-up to wait for a change.
	Version       uint64           `json:"version"`
	PolicyVersion uint64           `json:"policyVersion"` // Version of the document in force.
	TTLMs         int              `json:"ttlMs"`         // Time that the answer may be cached.
	Site          string           `json:"site"`          // Empty when no client block contains the caller.
	KeyPrefix     string           `json:"keyPrefix"`     // Prefix of idempotency keys.
	Instances     []LookupInstance `json:"instances"`     // Preferred first, at most lookup.MaxInstances.
}

// LookupInstance is one entry instance of a look-up answer.
type LookupInstance struct {
	Name    string `json:"name"`
	Address string `json:"address"` // ip:port.
	Domain  string `json:"domain"`
}

// LookupRefusal is the body of a look-up that is not answered.
type LookupRefusal struct {
	Reason    outcome.Reason   `json:"reason"`
	Executed  outcome.Executed `json:"executed"` // Always "no".
	Parameter string           `json:"parameter,omitempty"`
	Cause     string           `json:"cause,omitempty"`
}

// lookupService answers the look-ups of an instance.
type lookupService struct {
	domain    string
	events    *events.Log
	waiters   *lookup.Waiters
	timeAfter func(time.Duration) <-chan time.Time // time.After, or a test's clock.
	steering  atomic.Pointer[lookup.SteeringPolicy]
	fleet     atomic.Pointer[lookup.Fleet]

	documentChanged atomic.Bool                     // A document was put in force since the last refresh.
	appliedDocument atomic.Pointer[policy.Document] // Document at the last refresh.
	refreshMu       sync.Mutex                      // Held while the fields below change.
	snapshot        *configsync.Snapshot
	fleetRevision   uint64 // Revision of the members that fleet shows.
}

func newLookupService(domain string, l *events.Log) *lookupService {
	s := &lookupService{domain: domain, events: l, waiters: lookup.NewWaiters(lookup.MaxWaiting), timeAfter: time.After}
	s.fleet.Store(lookup.NewFleet(nil))
	return s
}

// applySnapshot puts a document without client blocks in force for look-ups,
// with the blocks of the snapshot that it is from. The error is a
// *lookup.BlockError or one of the snapshot.
func (s *lookupService) applySnapshot(d *policy.Document, snapshot *configsync.Snapshot) error {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	if err := s.applyDocument(d, snapshot.BlockChanges); err != nil {
		return err
	}
	s.snapshot = snapshot
	return nil
}

// blockChanges returns the blocks to set and the prefixes to remove since an
// earlier snapshot; all blocks when it is nil.
type blockChanges func(from *configsync.Snapshot) (set []policy.Block, removed []string, err error)

func (s *lookupService) applyDocument(d *policy.Document, changes blockChanges) error {
	steering, changed, err := s.buildSteering(d, changes)
	if err != nil {
		s.events.EmitFields(&events.LookupTableRejected, events.Uint("policyVersion", d.Version),
			events.String("error", err.Error()))
		return err
	}
	s.steering.Store(steering)
	s.events.EmitFields(&events.LookupTableBuilt, events.Uint("policyVersion", d.Version),
		events.Int("blocks", int64(steering.BlockCount())), events.Int("changed", int64(changed)))
	s.documentChanged.Store(true)
	return nil
}

// buildSteering changes only the blocks that differ from the snapshot in force, unless
// the sites changed.
func (s *lookupService) buildSteering(d *policy.Document, changes blockChanges) (*lookup.SteeringPolicy, int, error) {
	next, _, err := lookup.NewSteeringPolicy(d, s.domain, nil)
	if err != nil {
		return nil, 0, err
	}
	before, from := s.steering.Load(), s.snapshot
	if before == nil || !next.HasSameSites(before) {
		from = nil
	}
	set, removed, err := changes(from)
	if err != nil {
		return nil, 0, err
	}
	delta, err := next.ParseDelta(set, removed)
	if err != nil {
		return nil, 0, err
	}
	if from == nil {
		next, err = next.WithAllBlocks(d.Version, delta.Set)
	} else {
		next, err = next.WithTableFrom(before, delta)
	}
	return next, len(delta.Set) + len(delta.Remove), err
}

// applyInstances puts a state of the instances in force for look-ups. It reports
// whether it did; a revision that is in force already has no effect.
func (s *lookupService) applyInstances(revision uint64, list func() []lookup.Instance) bool {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	if revision == s.fleetRevision {
		return false
	}
	s.fleetRevision = revision
	s.fleet.Store(lookup.NewFleet(list()))
	return true
}

// invalidateInstances makes the next useInstances take effect at any revision.
// Which instances are leaving is also a matter of the document.
func (s *lookupService) invalidateInstances() {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	s.fleetRevision = 0
}

// errNoDocument reports that there is no document yet.
var errNoDocument = errors.New("entry: no document in force")

// decideOrWait decides a look-up. When the caller asks to wait and has the current
// answer, it waits for another one until the wait ends, the instance stops or
// the caller disconnects (ctx).
func (s *lookupService) decideOrWait(ctx context.Context, q lookup.Query, a *lookup.Decision) (*lookup.SteeringPolicy, error) {
	changed := s.waiters.Changed()
	steering, err := s.decide(q, a)
	if err != nil || q.Wait == 0 || q.Version != a.Version {
		s.logDecision(q, steering, a, err, false)
		return steering, err
	}
	if err := s.waiters.Acquire(); err != nil {
		s.logDecision(q, steering, a, err, false)
		return steering, err
	}
	defer s.waiters.Release()
	expired := s.timeAfter(q.Wait)
	for waiting := true; waiting && err == nil && q.Version == a.Version; {
		select {
		case <-changed:
		case <-expired:
			waiting = false
		case <-s.waiters.Done():
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		changed = s.waiters.Changed()
		steering, err = s.decide(q, a)
	}
	s.logDecision(q, steering, a, err, true)
	return steering, err
}

func (s *lookupService) decide(q lookup.Query, a *lookup.Decision) (*lookup.SteeringPolicy, error) {
	steering := s.steering.Load()
	if steering == nil {
		return nil, errNoDocument
	}
	return steering, steering.Decide(s.fleet.Load(), q.Service, q.Caller, a)
}

func (s *lookupService) logDecision(q lookup.Query, steering *lookup.SteeringPolicy, a *lookup.Decision, err error, waited bool) {
	if err == nil {
		lookup.LogDecision(s.events, q, steering, a, waited)
	}
}

// refusal logs a refused look-up and returns its status and body.
func (s *lookupService) refusal(err error) (int, LookupRefusal) {
	status, r := 503, LookupRefusal{Reason: outcome.ReasonNoConfig, Executed: outcome.No, Cause: err.Error()}
	var parameter *lookup.ParameterError
	var wait *lookup.WaitError
	switch {
	case errors.As(err, &parameter):
		status, r.Reason = 400, outcome.ReasonBadRequest
		r.Parameter, r.Cause = parameter.Parameter, parameter.Cause
	case errors.As(err, &wait) && wait.Reason == lookup.WaitLimitReached:
		status, r.Reason = 429, outcome.ReasonTooManyWaiting
	case errors.As(err, &wait):
		r.Reason = outcome.ReasonStopping
	}
	s.events.EmitFields(&events.LookupRefused, events.String("reason", string(r.Reason)),
		events.String("parameter", r.Parameter), events.String("cause", r.Cause))
	return status, r
}

func (in *Instance) handleLookup(ctx context.Context, c *app.RequestContext) {
	q, err := lookup.ParseQuery(lookup.Parameters{
		Caller:  c.Query(lookup.ParameterCaller),
		Service: c.Query(lookup.ParameterService),
		Wait:    c.Query(lookup.ParameterWait),
		Version: c.Query(lookup.ParameterVersion),
	}, remoteAddress(c.RemoteAddr()))
	if in.leaving.Load() {
		c.SetConnectionClose()
	}
	var a lookup.Decision
	var steering *lookup.SteeringPolicy
	if err == nil {
		steering, err = in.lookupService.decideOrWait(ctx, q, &a)
	}
	if err != nil {
		status, body := in.lookupService.refusal(err)
		c.Response.Header.Set(outcome.HeaderExecuted, string(body.Executed))
		c.Response.Header.Set(outcome.HeaderReason, string(body.Reason))
		c.JSON(status, body)
		return
	}
	in.metrics.Lookups.Inc(1)
	c.JSON(200, in.lookupResponse(steering, &a))
}

func (in *Instance) lookupResponse(s *lookup.SteeringPolicy, a *lookup.Decision) LookupResponse {
	answer := LookupResponse{
		Version:       a.Version,
		PolicyVersion: s.Version,
		TTLMs:         s.TTLMs,
		Site:          a.Site,
		KeyPrefix:     in.keyPrefix(),
		Instances:     make([]LookupInstance, a.Count),
	}
	for i, chosen := range a.Instances[:a.Count] {
		answer.Instances[i] = LookupInstance{Name: chosen.Name, Address: chosen.Address, Domain: chosen.Domain}
	}
	return answer
}

func remoteAddress(a net.Addr) netip.Addr {
	if a == nil {
		return netip.Addr{}
	}
	p, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr()
}

// refreshLookups puts the document and the instances in force for look-ups and
// wakes waiting look-ups after a change.
func (in *Instance) refreshLookups() {
	documentChanged := in.lookupService.documentChanged.Swap(false)
	// The steering changes before the instance's document does, so a refresh
	// in between must not be the only one that sees the change.
	if d := in.document.Load(); d != nil && in.lookupService.appliedDocument.Swap(d) != d {
		documentChanged = true
		in.lookupService.invalidateInstances()
		if level, err := log.ParseLevel(d.LogLevel); err == nil {
			in.lookupService.events.SetLevel(level)
		}
	}
	instancesChanged := in.lookupService.applyInstances(in.members.revision(), in.lookupInstances)
	if documentChanged || instancesChanged {
		in.lookupService.waiters.Notify()
	}
}
