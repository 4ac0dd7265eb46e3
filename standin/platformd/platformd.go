// Package platformd is a stand-in for the platform, for tests and the demo:
// a key-value service with compare-and-swap and watches, and a list of
// instances. It keeps everything in memory.
package platformd

import (
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
)

// Store is the state of the stand-in.
type Store struct {
	mu        sync.Mutex
	values    map[string]platform.Value
	changed   chan struct{}
	instances []platform.Instance
}

// NewStore returns an empty store.
func NewStore(instances []platform.Instance) *Store {
	return &Store{values: map[string]platform.Value{}, changed: make(chan struct{}), instances: instances}
}

// Get returns the value of key.
func (s *Store) Get(key string) (platform.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	if !ok {
		return platform.Value{}, platform.ErrNotFound
	}
	return v, nil
}

// Put stores data if the revision of key is the given one.
func (s *Store) Put(key string, data []byte, revision uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return 0, platform.ErrConflict
	}
	s.values[key] = platform.Value{Data: data, Revision: revision + 1}
	close(s.changed)
	s.changed = make(chan struct{})
	return revision + 1, nil
}

// Watch waits until the revision of key is above after, at most wait.
func (s *Store) Watch(key string, after uint64, wait time.Duration) (platform.Value, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		v, ok := s.values[key]
		changed := s.changed
		s.mu.Unlock()
		if ok && v.Revision > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if !ok {
				return platform.Value{}, platform.ErrNotFound
			}
			return v, nil
		}
	}
}

// Instances returns the list of instances.
func (s *Store) Instances() []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platform.Instance{}, s.instances...)
}
