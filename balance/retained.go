package balance

import (
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// What a target states about itself holds for its incarnation, not for its record: a
// record may disappear while the target still responds, and return, for example after
// the store was restored to an older state.

const (
	// statementTTL is how long the statements of an incarnation are kept after its
	// record is gone.
	statementTTL = 10 * time.Minute
	// maxRetained limits the incarnations without a record whose statements are kept.
	// The oldest are dropped first.
	maxRetained = 1024
	// maxPendingLimits limits the reported limits of targets that are not in use.
	maxPendingLimits = 1024
)

// incarnation identifies one run of a target.
type incarnation struct {
	id        string
	startedMs int64
	address   string
}

func incarnationOf(record *steering.Target) incarnation {
	return incarnation{record.ID, record.StartedMs, record.Address}
}

// currentTarget returns the state of a target if its current record describes the
// same incarnation as the given one; otherwise nil.
func (balancer *Balancer) currentTarget(record *steering.Target) *target {
	if t := balancer.targets[record.ID]; t != nil && t.record.SameIncarnation(record) {
		return t
	}
	return nil
}

// availabilityOf returns the statements of an incarnation, which it creates on the
// first one. The incarnation may have no record at present.
func (balancer *Balancer) availabilityOf(now time.Time, record *steering.Target) *availability {
	key := incarnationOf(record)
	state := balancer.availabilities[key]
	if state == nil {
		state = &availability{}
		balancer.availabilities[key] = state
		if t := balancer.currentTarget(record); t != nil {
			t.availability = state
		}
	}
	state.refreshedAt = now
	return state
}

// retainStatements keeps the statements of a target whose record has disappeared or
// describes another incarnation now.
func (balancer *Balancer) retainStatements(now time.Time, t *target) {
	state := balancer.availabilityOf(now, t.record)
	state.limit, state.coldUntil = t.limit, t.coldUntil
	delete(balancer.statedTargets, t)
}

// restoreStatements applies the statements that were kept of a target's incarnation.
func (balancer *Balancer) restoreStatements(now time.Time, t *target) {
	state := balancer.availabilities[incarnationOf(t.record)]
	if state == nil {
		if balancer.otherIncarnationKnown(t.record) {
			t.limit.at = now // Statements of the previous incarnation are void.
		}
		return
	}
	t.availability = state
	t.coldUntil = state.coldUntil
	source := LimitFromPeer
	if state.limit.firsthand {
		source = LimitFromResponse
	}
	if state.limit.Active {
		balancer.setLimit(now, t, state.limit, source)
	} else {
		t.limit = state.limit
	}
}

// otherIncarnationKnown reports whether another incarnation of a target was known
// lately.
func (balancer *Balancer) otherIncarnationKnown(record *steering.Target) bool {
	for key := range balancer.availabilities {
		if key.id == record.ID && key != incarnationOf(record) {
			return true
		}
	}
	return false
}

// expireRetained drops the statements of incarnations whose records have been gone for
// long, and the oldest beyond maxRetained.
func (balancer *Balancer) expireRetained(now time.Time) {
	var retained []incarnation
	for key, state := range balancer.availabilities {
		switch t := balancer.targets[key.id]; {
		case t != nil && t.availability == state:
		case !state.paused && now.Sub(state.refreshedAt) > statementTTL:
			delete(balancer.availabilities, key)
		default:
			retained = append(retained, key)
		}
	}
	if len(retained) > maxRetained {
		slices.SortFunc(retained, func(a, b incarnation) int {
			return balancer.availabilities[a].refreshedAt.Compare(balancer.availabilities[b].refreshedAt)
		})
		for _, key := range retained[:len(retained)-maxRetained] {
			delete(balancer.availabilities, key)
		}
	}
	for hash, statement := range balancer.pendingLimits {
		if now.Sub(statement.at) > statementTTL {
			delete(balancer.pendingLimits, hash)
		}
	}
}

// addPendingLimit keeps a reported statement about a target that is not in use: its
// record may not have arrived yet, or its failure domain is evacuated.
func (balancer *Balancer) addPendingLimit(now time.Time, hash uint32, statement LimitStatement) {
	known, ok := balancer.pendingLimits[hash]
	at := now.Add(-statement.Age)
	if ok && !at.After(known.at) || !ok && len(balancer.pendingLimits) >= maxPendingLimits {
		return
	}
	balancer.pendingLimits[hash] = limitStatement{RateLimit: statement.RateLimit, at: at}
}

// applyPendingLimits applies the statements that were reported before the targets of a
// service were in use.
func (balancer *Balancer) applyPendingLimits(now time.Time, svc *service) {
	for hash, statement := range balancer.pendingLimits {
		if t := svc.targetsByHash[hash]; t != nil {
			delete(balancer.pendingLimits, hash)
			balancer.applyStatement(now, t, LimitStatement{RateLimit: statement.RateLimit, Age: now.Sub(statement.at)}, LimitFromPeer)
		}
	}
}
