package steering

import (
	"maps"
	"slices"
	"time"
)

// Target is one incarnation of a target.
type Target struct {
	ID        string
	StartedMs int64 // Unix milliseconds of its start; tells incarnations with one ID apart.
	Service   string
	Address   string // ip:port.
	Domain    string
	Slots     int
	Draining  bool
	// ColdUntil is when the target has warmed up, as far as its own record says.
	ColdUntil time.Time
}

// SameIncarnation reports whether two records are of the same incarnation.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.StartedMs == o.StartedMs && t.Address == o.Address
}

// Instance is another entry instance, or this one.
type Instance struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Address     string `json:"address"` // For callers, ip:port.
	PeerAddress string `json:"peerAddress"`
	Incarnation uint64 `json:"incarnation"`
	// Capacity tells how much an instance can carry for others, by its processor
	// and its link. 1 stands for a large instance; 0 means not known.
	Capacity float64 `json:"capacity,omitempty"`
}

// State is what an instance believes at one revision of the store.
type State struct {
	Revision   uint64
	Config     *Config // Nil before the first one was read.
	Targets    map[string]*Target
	Evacuated  map[string]bool // Failure domains whose targets get no requests.
	Instances  map[string]Instance
	HomeTables map[string]*HomeTable // By region.

	targetsByService map[string][]*Target
}

// NewState returns a world without facts.
func NewState() *State {
	return &State{Targets: map[string]*Target{}, Evacuated: map[string]bool{}, Instances: map[string]Instance{},
		HomeTables: map[string]*HomeTable{}}
}

// TargetsOf returns the targets of a service, in no order. The slice must not be changed.
func (w *State) TargetsOf(service string) []*Target { return w.targetsByService[service] }

// Services returns the names of the services that have or had targets.
func (w *State) Services() []string { return slices.Collect(maps.Keys(w.targetsByService)) }

// Usable reports whether new requests may go to the target.
func (w *State) Usable(t *Target) bool { return !t.Draining && !w.Evacuated[t.Domain] }

// Update is one statement about the deployment. Exactly one implementation
// exists for each kind of record.
type Update interface{ apply(*stateBuilder) }

// ConfigUpdate states the operators' configuration. An older one than that in
// force is ignored.
type ConfigUpdate struct{ Config *Config }

func (f ConfigUpdate) apply(d *stateBuilder) {
	if d.Config == nil || f.Config.Version > d.Config.Version {
		d.Config = f.Config
	}
}

// TargetUpdate states the condition of a target.
type TargetUpdate struct{ Target *Target }

func (f TargetUpdate) apply(d *stateBuilder) { d.updateTarget(f.Target.ID, f.Target) }

// TargetRemoval states that a target has no record any more.
type TargetRemoval struct{ ID string }

func (f TargetRemoval) apply(d *stateBuilder) { d.updateTarget(f.ID, nil) }

// EvacuationUpdate states whether a failure domain is evacuated.
type EvacuationUpdate struct {
	Domain string
	Active bool
}

func (f EvacuationUpdate) apply(d *stateBuilder) {
	copyOnWrite(&d.Evacuated, &d.copied.evacuated)
	if f.Active {
		d.Evacuated[f.Domain] = true
	} else {
		delete(d.Evacuated, f.Domain)
	}
}

// InstanceUpdate states that an instance is registered.
type InstanceUpdate struct{ Instance Instance }

func (f InstanceUpdate) apply(d *stateBuilder) {
	copyOnWrite(&d.Instances, &d.copied.instances)
	d.Instances[f.Instance.Name] = f.Instance
}

// InstanceRemoval states that the registration of an instance has ended.
type InstanceRemoval struct{ Name string }

func (f InstanceRemoval) apply(d *stateBuilder) {
	copyOnWrite(&d.Instances, &d.copied.instances)
	delete(d.Instances, f.Name)
}
