package metastore

import "time"

// Faults are injected into the calls of clients. The zero value injects none.
type Faults struct {
	Down   bool          `json:"down"`   // Every call gets 503.
	Silent bool          `json:"silent"` // Calls get no answer.
	Delay  time.Duration `json:"delay"`  // Added to every call, in nanoseconds.
	// LoseWriteResponses is the number of next writes that take effect without an answer.
	LoseWriteResponses int `json:"loseWrites"`
	// DelayWrites is the number of next writes that take effect after LateBy,
	// without an answer.
	DelayWrites int           `json:"lateWrites"`
	WriteDelay  time.Duration `json:"lateBy"`
	// RefuseClients names the client addresses (IP) whose calls get 503 while others
	// are served.
	RefuseClients []string `json:"refuse"`
}

// SetFaults replaces the injected faults. Waiting watches are cut.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

func (s *Store) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
