package platformd

import (
	"time"

	"github.com/jacinthstall/jacinthstall/kv"
)

// Faults are the faults injected into the calls of clients. The zero value
// injects none.
type Faults struct {
	Outage        bool `json:"outage"`      // Every call fails as unavailable and has no effect.
	DelayMs       int  `json:"delayMs"`     // Added before every call takes effect, in milliseconds.
	LoseResponses int  `json:"loseAnswers"` // Number of next writes that take effect without an answer.
	ListLagMs     int  `json:"listLagMs"`   // Age at which a new list of instances becomes visible, in milliseconds.
}

// instanceList is a list of instances and the time from which it holds.
type instanceList struct {
	setAt     time.Time
	instances []kv.Instance
}

// SetFaults replaces the injected faults. Waiting watches fail when an outage starts.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Checkpoint keeps a copy of all values under a name.
func (s *Store) Checkpoint(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkpoints[name] = copyValues(s.values)
}

// Restore returns all values and their revisions to a checkpoint, as after
// recovery from a backup. It reports whether the checkpoint exists.
func (s *Store) Restore(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	values, ok := s.checkpoints[name]
	if !ok {
		return false
	}
	s.values = copyValues(values)
	s.notifyWatches()
	return true
}

func copyValues(values map[string]kv.Value) map[string]kv.Value {
	out := make(map[string]kv.Value, len(values))
	for key, v := range values {
		out[key] = v
	}
	return out
}

// Instances returns the list of instances as clients see it: changes younger
// than the lag are not included.
func (s *Store) Instances() ([]kv.Instance, error) {
	if err := s.beginCall(&s.calls.Reads, s.currentReadLimiter); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := time.Now().Add(-time.Duration(s.faults.ListLagMs) * time.Millisecond)
	list := s.instanceLists[0].instances
	for _, l := range s.instanceLists[1:] {
		if !l.setAt.After(visible) {
			list = l.instances
		}
	}
	return append([]kv.Instance{}, list...), nil
}

// SetInstances replaces the list of instances. Clients see it after the lag.
func (s *Store) SetInstances(list []kv.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceLists = append(s.instanceLists, instanceList{setAt: time.Now(), instances: append([]kv.Instance{}, list...)})
}
