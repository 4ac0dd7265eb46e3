package targetd

import "time"

// Options configures a target.
type Options struct {
	Name        string
	Slots       int           // Maximum number of concurrent executions.
	ServiceTime time.Duration // Execution time of a request.
	// ColdRequests is the number of requests after a start whose execution takes
	// ColdFactor times ServiceTime.
	ColdRequests int
	ColdFactor   int
	Faults       Faults
}

// Faults selects the injected faults of a target. They can be changed while it
// runs.
type Faults struct {
	// ShedWithoutProof omits, when a request is shed because all slots are busy,
	// the response header that states that it was not executed.
	ShedWithoutProof bool `json:"shedWithoutProof"`
	// ReportedState overrides the state in health reports. If empty, the actual
	// state is reported.
	ReportedState string `json:"healthState"`
	// LoadLagMs is the age of the reported load, in milliseconds.
	LoadLagMs int `json:"loadLagMs"`
	// ReportedBusy overrides the number of busy slots in health reports. If
	// negative, the actual number is reported.
	ReportedBusy int `json:"busy"`
	// DownMs is how long the target is down after a crash, in milliseconds.
	DownMs int `json:"downMs"`
	// LateMs is added to the execution time of requests whose HeaderFault is
	// "late", in milliseconds.
	LateMs int `json:"lateMs"`
}

// DefaultFaults returns the faults of a target that behaves correctly.
func DefaultFaults() Faults { return Faults{ReportedBusy: -1, DownMs: 1000, LateMs: 1000} }

// HeaderFault is the request header that selects a fault for that request:
// "crash", "truncate", "truncate-chunks" or "late".
const HeaderFault = "Target-Fault"
