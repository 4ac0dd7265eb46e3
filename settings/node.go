package settings

import "time"

// Node holds the start-up settings of an instance that runs on a platform with a
// metadata store. Package platform reads them from the platform's settings file.
// Addresses have the form "ip:port".
type Node struct {
	Name              string
	Domain            string
	Region            string
	RegionByDomain    map[string]string // Region of each failure domain.
	CallerAddress     string            // Listen address for requests of callers.
	ReadinessAddress  string            // Listen address for readiness checks.
	LookupAddress     string            // Listen address for look-ups; empty when this instance serves none.
	PeerAddress       string            // Listen address for messages between instances, TCP and UDP.
	Bootstrap         bool              // The deployment starts for the first time.
	SeedAddresses     []string          // Peer addresses of some instances, which may no longer run.
	MetricsAddress    string            // Listen address for metrics.
	RelayPort         int               // Port on which instances relay requests of peers, the same on all instances; 0 without relays.
	StoreAddress      string            // Address of the platform's metadata store.
	HeartbeatInterval time.Duration     // Interval at which targets renew their records.
	CPUShare          float64           // Available share of a processor core; 0 when not specified.
	LinkMbps          float64           // Bandwidth of the machine's link in Mbit/s; 0 when not specified.
	MemoryBytes       int64             // Memory limit of the process; 0 when not specified.
	Bounds            Bounds
}

// Bounds holds the time and traffic limits that the deployment must keep.
type Bounds struct {
	StabilityPeriod time.Duration // Time without disturbance after which all bounds hold again.
	DrainPeriod     time.Duration // From the record that a target is draining to the last new request to it.
	GracePeriod     time.Duration // Time from SIGTERM to SIGKILL.
	MaxLookupTTL    time.Duration // Longest time for which callers may cache a look-up response.
	RetryRatio      float64       // Retries to a service as a fraction of the requests for it.
	RetryWindow     time.Duration // Time window over which RetryRatio applies.
	RetrySlack      float64       // Retries per window permitted in addition to RetryRatio.
	MaxRegionShift  float64       // Largest fraction of a region's requests that may move to another region within 2 s.
	QuotaWindow     time.Duration // Time window in which an account's requests are counted against its limit.
	QuotaOver       float64       // Tolerated excess over an account's limit as a fraction of it.
	QuotaSlack      float64       // Requests per window tolerated in addition to QuotaOver.
}
