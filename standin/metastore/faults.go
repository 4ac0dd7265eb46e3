package metastore

import "time"

// Faults selects the faults injected into client calls. The zero value injects
// none.
type Faults struct {
	Down   bool          `json:"down"`   // Every call receives status 503.
	Silent bool          `json:"silent"` // Calls receive no response.
	Delay  time.Duration `json:"delay"`  // Added to every call; nanoseconds in JSON.
	// LoseWriteResponses is the number of subsequent writes that take effect but
	// receive no response.
	LoseWriteResponses int `json:"loseWrites"`
	// DelayWrites is the number of subsequent writes that take effect only after
	// WriteDelay and receive no response.
	DelayWrites int           `json:"lateWrites"`
	WriteDelay  time.Duration `json:"lateBy"`
	// RefuseClients lists the client IP addresses whose calls receive status 503
	// while other clients are served.
	RefuseClients []string `json:"refuse"`
}

// SetFaults replaces the injected faults. Pending watches re-evaluate them: when
// Down is set, they fail.
func (store *Store) SetFaults(faults Faults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
	store.notifyWatches()
}

func (store *Store) currentFaults() Faults {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.faults
}
