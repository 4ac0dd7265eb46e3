package platformd

import (
	"time"

	"github.com/jacinthstall/jacinthstall/kv"
)

// Faults selects the faults injected into client calls. The zero value injects
// none.
type Faults struct {
	Outage        bool `json:"outage"`      // Every call fails as unavailable and has no effect.
	DelayMs       int  `json:"delayMs"`     // Delay before a call takes effect, in milliseconds.
	LoseResponses int  `json:"loseAnswers"` // Number of subsequent writes that take effect but receive no response.
	ListLagMs     int  `json:"listLagMs"`   // Delay until clients see a new list of instances, in milliseconds.
}

// instanceList is a list of instances with the time at which it was set.
type instanceList struct {
	setAt     time.Time
	instances []kv.Instance
}

// SetFaults replaces the injected faults. Pending watches fail when an outage
// starts.
func (store *Store) SetFaults(faults Faults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
	store.notifyWatches()
}

// Faults returns the injected faults.
func (store *Store) Faults() Faults {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.faults
}

// Checkpoint saves a copy of all values under a name.
func (store *Store) Checkpoint(name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.checkpoints[name] = copyValues(store.values)
}

// Restore resets all values and their revisions to a checkpoint, as recovery
// from a backup does. It returns whether the checkpoint exists.
func (store *Store) Restore(name string) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	values, ok := store.checkpoints[name]
	if !ok {
		return false
	}
	store.values = copyValues(values)
	store.notifyWatches()
	return true
}

func copyValues(values map[string]kv.Value) map[string]kv.Value {
	copied := make(map[string]kv.Value, len(values))
	for key, v := range values {
		copied[key] = v
	}
	return copied
}

// Instances returns the list of instances as seen by clients, without changes
// that are more recent than Faults.ListLagMs.
func (store *Store) Instances() ([]kv.Instance, error) {
	if err := store.beginCall(&store.calls.Reads, store.currentReadLimiter); err != nil {
		return nil, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	newestVisible := time.Now().Add(-time.Duration(store.faults.ListLagMs) * time.Millisecond)
	list := store.instanceLists[0].instances
	for _, candidate := range store.instanceLists[1:] {
		if !candidate.setAt.After(newestVisible) {
			list = candidate.instances
		}
	}
	return append([]kv.Instance{}, list...), nil
}

// SetInstances replaces the list of instances. Clients see the new list after
// Faults.ListLagMs.
func (store *Store) SetInstances(instances []kv.Instance) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.instanceLists = append(store.instanceLists, instanceList{setAt: time.Now(), instances: append([]kv.Instance{}, instances...)})
}
