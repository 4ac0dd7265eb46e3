package steering

import (
	"maps"
	"slices"
	"time"
)

// Target is one incarnation of a target.
type Target struct {
	ID        string
	StartedMs int64 // Start time in Unix milliseconds; distinguishes incarnations with the same ID.
	Service   string
	Address   string // ip:port.
	Domain    string
	Slots     int
	Draining  bool
	// ColdUntil is when the target becomes warm according to its record.
	ColdUntil time.Time
}

// SameIncarnation reports whether both records describe the same incarnation.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.StartedMs == o.StartedMs && t.Address == o.Address
}

// Instance is an entry instance, this one or a peer.
type Instance struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Address     string `json:"address"` // For callers, ip:port.
	PeerAddress string `json:"peerAddress"`
	Incarnation uint64 `json:"incarnation"`
	// Capacity is the capacity to work for peers (relay requests, watch the
	// store, send digests), derived from processor and network link. 1 stands
	// for a large instance; 0 means unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

// State is an instance's immutable state of the deployment at one store
// revision.
type State struct {
	Revision   uint64
	Config     *Config // Nil until the first configuration has been read.
	Targets    map[string]*Target
	Evacuated  map[string]bool // Failure domains whose targets get no requests.
	Instances  map[string]Instance
	HomeTables map[string]*HomeTable // By region.
	CrashTable *CrashTable           // Nil if there is none.

	targetsByService map[string][]*Target
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Targets: map[string]*Target{}, Evacuated: map[string]bool{}, Instances: map[string]Instance{},
		HomeTables: map[string]*HomeTable{}}
}

// TargetsOf returns the targets of a service in no particular order. The
// caller must not modify the slice.
func (state *State) TargetsOf(service string) []*Target { return state.targetsByService[service] }

// Services returns the names of services that have or had targets.
func (state *State) Services() []string { return slices.Collect(maps.Keys(state.targetsByService)) }

// Usable reports whether the target may receive new requests.
func (state *State) Usable(t *Target) bool { return !t.Draining && !state.Evacuated[t.Domain] }

// Update is a change to the State. Each kind of record has its own
// implementations.
type Update interface{ apply(*stateBuilder) }

// ConfigUpdate sets the operators' configuration. It is ignored unless the
// version is newer than the current one.
type ConfigUpdate struct{ Config *Config }

func (update ConfigUpdate) apply(builder *stateBuilder) {
	if builder.Config == nil || update.Config.Version > builder.Config.Version {
		builder.Config = update.Config
	}
}

// TargetUpdate adds or replaces a target.
type TargetUpdate struct{ Target *Target }

func (update TargetUpdate) apply(builder *stateBuilder) {
	builder.updateTarget(update.Target.ID, update.Target)
}

// TargetRemoval removes a target whose record is gone.
type TargetRemoval struct{ ID string }

func (removal TargetRemoval) apply(builder *stateBuilder) { builder.updateTarget(removal.ID, nil) }

// EvacuationUpdate starts or ends the evacuation of a failure domain.
type EvacuationUpdate struct {
	Domain string
	Active bool
}

func (update EvacuationUpdate) apply(builder *stateBuilder) {
	copyOnWrite(&builder.Evacuated, &builder.copied.evacuated)
	if update.Active {
		builder.Evacuated[update.Domain] = true
	} else {
		delete(builder.Evacuated, update.Domain)
	}
}

// InstanceUpdate adds or replaces a registered instance.
type InstanceUpdate struct{ Instance Instance }

func (update InstanceUpdate) apply(builder *stateBuilder) {
	copyOnWrite(&builder.Instances, &builder.copied.instances)
	builder.Instances[update.Instance.Name] = update.Instance
}

// InstanceRemoval removes an instance whose registration has ended.
type InstanceRemoval struct{ Name string }

func (removal InstanceRemoval) apply(builder *stateBuilder) {
	copyOnWrite(&builder.Instances, &builder.copied.instances)
	delete(builder.Instances, removal.Name)
}
