package settings

import "time"

// Node is what one process of a deployment is told at its start. Package
// platform reads it from the platform's settings file. Addresses are "ip:port".
type Node struct {
	Name              string
	Domain            string
	Region            string
	RegionByDomain    map[string]string // Region of each failure domain.
	CallerAddress     string            // Listener for requests.
	ReadinessAddress  string            // Listener for readiness checks.
	LookupAddress     string            // Listener for look-ups; empty when not served here.
	PeerAddress       string            // Address for messages between instances, TCP and UDP.
	Bootstrap         bool              // The whole deployment starts, for the first time.
	SeedAddresses     []string          // Peer addresses of some instances; they may have gone.
	MetricsAddress    string            // Listener for metrics.
	RelayPort         int               // Port on which instances carry requests for others, the same on all; 0 when there is none.
	StoreAddress      string            // Address of the platform's store.
	HeartbeatInterval time.Duration     // Interval in which targets renew their records.
	CPUShare          float64           // Share of a processor core; 0 when not told.
	LinkMbps          float64           // Of the machine, in Mbit/s; 0 when not told.
	MemoryBytes       int64             // Bytes that the process may use; 0 when not told.
	Bounds            Bounds
}

// Bounds are the figures of the deployment that decisions depend on.
type Bounds struct {
	StabilityPeriod time.Duration // Undisturbed time after which all bounds hold again.
	DrainPeriod     time.Duration // From the record of a target's leaving to its last new request.
	GracePeriod     time.Duration // From SIGTERM to SIGKILL.
	MaxLookupTTL    time.Duration // Longest time that callers may keep a look-up answer.
	RetryRatio      float64       // Repeated requests at a service, as a part of the requests for it.
	RetryWindow     time.Duration // Window in which RetryRatio is counted.
	RetrySlack      float64       // Repeated requests per window beyond the ratio.
	MaxRegionShift  float64       // Largest part of a region's requests that may change the region in 2 s.
}
