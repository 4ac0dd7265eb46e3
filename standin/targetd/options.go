package targetd

import "time"

// Options configure a target.
type Options struct {
	Name        string
	Slots       int           // Requests executed at the same time.
	ServiceTime time.Duration // Execution time of a request.
	// ColdRequests is the number of requests after a start that take
	// ColdFactor times as long.
	ColdRequests int
	ColdFactor   int
	Faults       Faults
}

// Faults are the ways in which a target misbehaves. They can be changed while
// it runs.
type Faults struct {
	// ShedWithoutProof answers requests beyond the slots without saying that
	// they were not executed.
	ShedWithoutProof bool `json:"shedWithoutProof"`
	// ReportedState is reported as the target's state whatever it is; empty
	// reports the true one.
	ReportedState string `json:"healthState"`
	// LoadLagMs delays the reported load.
	LoadLagMs int `json:"loadLagMs"`
	// ReportedBusy is reported as load whatever it is; a negative value reports the
	// true one.
	ReportedBusy int `json:"busy"`
	// DownMs is the time that a crash lasts.
	DownMs int `json:"downMs"`
	// LateMs is added to the execution of a request that is marked as late.
	LateMs int `json:"lateMs"`
}

// DefaultFaults are those of a target that behaves well.
func DefaultFaults() Faults { return Faults{ReportedBusy: -1, DownMs: 1000, LateMs: 1000} }

// HeaderFault marks a request: "crash", "truncate", "truncate-chunks" or "late".
const HeaderFault = "Target-Fault"
