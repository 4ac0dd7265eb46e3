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

// lookupRefreshInterval is the interval at which look-ups take over changes of
// the document and of the instances, and waiting look-ups are woken.
const lookupRefreshInterval = 50 * time.Millisecond

// LookupResponse tells a caller which entry instances to use.
type LookupResponse struct {
	// Version changes whenever the response does; it is below 2^53. A caller
	// sends it with its next look-up to wait for a change.
	Version       uint64           `json:"version"`
	PolicyVersion uint64           `json:"policyVersion"` // Version of the document in force.
	TTLMs         int              `json:"ttlMs"`         // How long the response may be cached.
	Site          string           `json:"site"`          // Empty when no client block contains the caller.
	KeyPrefix     string           `json:"keyPrefix"`     // Prefix of idempotency keys.
	Instances     []LookupInstance `json:"instances"`     // In order of preference, at most lookup.MaxInstances.
}

// LookupInstance is one entry instance in a look-up response.
type LookupInstance struct {
	Name    string `json:"name"`
	Address string `json:"address"` // ip:port.
	Domain  string `json:"domain"`
}

// LookupRefusal is the body of the response to a refused look-up.
type LookupRefusal struct {
	Reason    outcome.Reason   `json:"reason"`
	Executed  outcome.Executed `json:"executed"` // Always "no".
	Parameter string           `json:"parameter,omitempty"`
	Cause     string           `json:"cause,omitempty"`
}

// lookupService responds to the look-ups of callers.
type lookupService struct {
	domain    string
	events    *events.Log
	waiters   *lookup.Waiters
	timeAfter func(time.Duration) <-chan time.Time // time.After, or a fake in tests.
	steering  atomic.Pointer[lookup.SteeringPolicy]
	fleet     atomic.Pointer[lookup.Fleet]

	documentChanged atomic.Bool                     // A document was applied since the last refresh.
	appliedDocument atomic.Pointer[policy.Document] // Document at the last refresh.
	refreshMu       sync.Mutex                      // Held while the fields below change.
	snapshot        *configsync.Snapshot
	fleetRevision   uint64 // Revision of the membership that fleet shows.
}

func newLookupService(domain string, l *events.Log) *lookupService {
	lookups := &lookupService{domain: domain, events: l, waiters: lookup.NewWaiters(lookup.MaxWaiting), timeAfter: time.After}
	lookups.fleet.Store(lookup.NewFleet(nil))
	return lookups
}

// applySnapshot makes a document without client blocks current for look-ups,
// together with the blocks of the snapshot it comes from. The error is a
// *lookup.BlockError or one of the snapshot.
func (lookups *lookupService) applySnapshot(document *policy.Document, snapshot *configsync.Snapshot) error {
	lookups.refreshMu.Lock()
	defer lookups.refreshMu.Unlock()
	if err := lookups.applyDocument(document, snapshot.BlockChanges); err != nil {
		return err
	}
	lookups.snapshot = snapshot
	return nil
}

// blockChanges returns the blocks to set and the prefixes to remove since an
// earlier snapshot, or all blocks when from is nil.
type blockChanges func(from *configsync.Snapshot) (set []policy.Block, removed []string, err error)

func (lookups *lookupService) applyDocument(document *policy.Document, changes blockChanges) error {
	steering, changed, err := lookups.buildSteering(document, changes)
	if err != nil {
		lookups.events.EmitFields(&events.LookupTableRejected, events.Uint("policyVersion", document.Version),
			events.String("error", err.Error()))
		return err
	}
	lookups.steering.Store(steering)
	lookups.events.EmitFields(&events.LookupTableBuilt, events.Uint("policyVersion", document.Version),
		events.Int("blocks", int64(steering.BlockCount())), events.Int("changed", int64(changed)))
	lookups.documentChanged.Store(true)
	return nil
}

// buildSteering applies only the blocks that differ from the current snapshot,
// unless the sites changed.
func (lookups *lookupService) buildSteering(document *policy.Document, changes blockChanges) (*lookup.SteeringPolicy, int, error) {
	next, _, err := lookup.NewSteeringPolicy(document, lookups.domain, nil)
	if err != nil {
		return nil, 0, err
	}
	previous, from := lookups.steering.Load(), lookups.snapshot
	if previous == nil || !next.HasSameSites(previous) {
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
		next, err = next.WithAllBlocks(document.Version, delta.Set)
	} else {
		next, err = next.WithTableFrom(previous, delta)
	}
	return next, len(delta.Set) + len(delta.Remove), err
}

// applyInstances makes a revision of the instances current for look-ups and
// reports whether anything changed. A revision that is already current has no
// effect.
func (lookups *lookupService) applyInstances(revision uint64, list func() []lookup.Instance) bool {
	lookups.refreshMu.Lock()
	defer lookups.refreshMu.Unlock()
	if revision == lookups.fleetRevision {
		return false
	}
	lookups.fleetRevision = revision
	lookups.fleet.Store(lookup.NewFleet(list()))
	return true
}

// invalidateInstances makes the next applyInstances take effect at any
// revision, because a document can also change which instances are leaving.
func (lookups *lookupService) invalidateInstances() {
	lookups.refreshMu.Lock()
	defer lookups.refreshMu.Unlock()
	lookups.fleetRevision = 0
}

var errNoDocument = errors.New("entry: no document in force")

// decideOrWait computes the response to a look-up. When the caller asks to wait
// and already has the current response, it waits for a different one until the
// wait time is over, the instance stops or the caller disconnects (ctx).
func (lookups *lookupService) decideOrWait(ctx context.Context, query lookup.Query, decision *lookup.Decision) (*lookup.SteeringPolicy, error) {
	changed := lookups.waiters.Changed()
	steering, err := lookups.decide(query, decision)
	if err != nil || query.Wait == 0 || query.Version != decision.Version {
		lookups.logDecision(query, steering, decision, err, false)
		return steering, err
	}
	if err := lookups.waiters.Acquire(); err != nil {
		lookups.logDecision(query, steering, decision, err, false)
		return steering, err
	}
	defer lookups.waiters.Release()
	expired := lookups.timeAfter(query.Wait)
	for waiting := true; waiting && err == nil && query.Version == decision.Version; {
		select {
		case <-changed:
		case <-expired:
			waiting = false
		case <-lookups.waiters.Done():
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		changed = lookups.waiters.Changed()
		steering, err = lookups.decide(query, decision)
	}
	lookups.logDecision(query, steering, decision, err, true)
	return steering, err
}

func (lookups *lookupService) decide(query lookup.Query, decision *lookup.Decision) (*lookup.SteeringPolicy, error) {
	steering := lookups.steering.Load()
	if steering == nil {
		return nil, errNoDocument
	}
	return steering, steering.Decide(lookups.fleet.Load(), query.Service, query.Caller, decision)
}

func (lookups *lookupService) logDecision(query lookup.Query, steering *lookup.SteeringPolicy, decision *lookup.Decision, err error, waited bool) {
	if err == nil {
		lookup.LogDecision(lookups.events, query, steering, decision, waited)
	}
}

// refusal logs a refused look-up and returns the status and body of the
// response.
func (lookups *lookupService) refusal(err error) (int, LookupRefusal) {
	status, body := 503, LookupRefusal{Reason: outcome.ReasonNoConfig, Executed: outcome.No, Cause: err.Error()}
	var parameter *lookup.ParameterError
	var wait *lookup.WaitError
	switch {
	case errors.As(err, &parameter):
		status, body.Reason = 400, outcome.ReasonBadRequest
		body.Parameter, body.Cause = parameter.Parameter, parameter.Cause
	case errors.As(err, &wait) && wait.Reason == lookup.WaitLimitReached:
		status, body.Reason = 429, outcome.ReasonTooManyWaiting
	case errors.As(err, &wait):
		body.Reason = outcome.ReasonStopping
	}
	lookups.events.EmitFields(&events.LookupRefused, events.String("reason", string(body.Reason)),
		events.String("parameter", body.Parameter), events.String("cause", body.Cause))
	return status, body
}

func (inst *Instance) handleLookup(ctx context.Context, c *app.RequestContext) {
	query, err := lookup.ParseQuery(lookup.Parameters{
		Caller:  c.Query(lookup.ParameterCaller),
		Service: c.Query(lookup.ParameterService),
		Wait:    c.Query(lookup.ParameterWait),
		Version: c.Query(lookup.ParameterVersion),
	}, remoteAddress(c.RemoteAddr()))
	if inst.leaving.Load() {
		c.SetConnectionClose()
	}
	var decision lookup.Decision
	var steering *lookup.SteeringPolicy
	if err == nil {
		steering, err = inst.lookupService.decideOrWait(ctx, query, &decision)
	}
	if err != nil {
		status, body := inst.lookupService.refusal(err)
		c.Response.Header.Set(outcome.HeaderExecuted, string(body.Executed))
		c.Response.Header.Set(outcome.HeaderReason, string(body.Reason))
		c.JSON(status, body)
		return
	}
	inst.metrics.Lookups.Inc(1)
	c.JSON(200, inst.lookupResponse(steering, &decision))
}

func (inst *Instance) lookupResponse(s *lookup.SteeringPolicy, decision *lookup.Decision) LookupResponse {
	response := LookupResponse{
		Version:       decision.Version,
		PolicyVersion: s.Version,
		TTLMs:         s.TTLMs,
		Site:          decision.Site,
		KeyPrefix:     inst.keyPrefix(),
		Instances:     make([]LookupInstance, decision.Count),
	}
	for i, chosen := range decision.Instances[:decision.Count] {
		response.Instances[i] = LookupInstance{Name: chosen.Name, Address: chosen.Address, Domain: chosen.Domain}
	}
	return response
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

// refreshLookups applies changes of the document and of the instances to
// look-ups, and wakes waiting look-ups after a change.
func (inst *Instance) refreshLookups() {
	documentChanged := inst.lookupService.documentChanged.Swap(false)
	// The steering is replaced before the instance's document. A refresh
	// between the two steps must not be the only one that sees the change.
	if document := inst.document.Load(); document != nil && inst.lookupService.appliedDocument.Swap(document) != document {
		documentChanged = true
		inst.lookupService.invalidateInstances()
		if level, err := log.ParseLevel(document.LogLevel); err == nil {
			inst.lookupService.events.SetLevel(level)
		}
	}
	instancesChanged := inst.lookupService.applyInstances(inst.members.revision(), inst.lookupInstances)
	if documentChanged || instancesChanged {
		inst.lookupService.waiters.Notify()
	}
}
