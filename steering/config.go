package steering

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Version is the version of the operators' configuration; higher is newer.
type Version uint64

// Config is a version of the operators' configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts holds the client accounts by name.
	Accounts map[string]*Account
	// AccountsRequired is set if requests on routes that are not public need the
	// key of an account.
	AccountsRequired bool
	// AccountsUnknown is set if the accounts could not be decoded. Requests that
	// need a key cannot be authenticated then.
	AccountsUnknown bool
	// DefaultPriority is the priority of accounts that state none, and of requests
	// without an account.
	DefaultPriority int

	routesByHost  map[string]map[string]*Route // By host, then by prefix.
	accountsByKey map[KeyHash]*Account         // Nil for a key of several accounts.
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string // Begins and ends with a slash.
	Idempotent  bool   // Requests may be executed more than once.
	Timeout     time.Duration
	Objective   time.Duration // Latency within which a response has its full value.
	Priority    int           // 0 is the highest.
	MaxAttempts int           // Maximum number of targets that a request is sent to.
	Sticky      bool          // A target that has handled the same object recently is faster.
	Split       []WeightedService
	HomeRegions HomeRegions
	Public      bool // Requests need no key and have no account.
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service holds the properties shared by all targets of a service.
type Service struct {
	Name           string
	MaxConnections int           // Connections that a target accepts from all instances together; 0 means no limit.
	ColdDuration   time.Duration // How long a target stays cold after its start.
	MaxColdRate    float64       // Requests per second that a cold target tolerates; 0 means no limit.
}

// Limits restrict what callers may send. A zero value means no limit.
type Limits struct {
	MaxHeadBytes int
	MaxBodyBytes int64
	HeadTimeout  time.Duration // From the first byte of a request head to its last.
	IdleTimeout  time.Duration // Between two requests on a connection.
}

// Index builds the lookup tables for Match and AccountOfKey. It must be called
// once before the configuration is shared.
func (config *Config) Index() {
	config.indexKeys()
	config.routesByHost = map[string]map[string]*Route{}
	for i := range config.Routes {
		r := &config.Routes[i]
		prefixes := config.routesByHost[r.Host]
		if prefixes == nil {
			prefixes = map[string]*Route{}
			config.routesByHost[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
	}
}

// Match returns the route of the host with the longest prefix of the path, or
// nil.
func (config *Config) Match(host, path string) *Route {
	prefixes := config.routesByHost[NormalizeHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r
		}
	}
	return nil
}

// NormalizeHost removes the port from a Host header and converts it to lower
// case.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NoHomeRegion allows no region. It is used for a route or an account whose home
// regions cannot be decoded.
var NoHomeRegion = HomeRegions{""}

// HomeRegions are the regions that may serve a route or an account; an empty list
// allows all regions.
type HomeRegions []string

// Allows reports whether targets in the region may serve the route.
func (h HomeRegions) Allows(region string) bool { return len(h) == 0 || slices.Contains(h, region) }

// Intersect returns the regions that both allow, or NoHomeRegion if there is none.
func (h HomeRegions) Intersect(other HomeRegions) HomeRegions {
	switch {
	case len(h) == 0:
		return other
	case len(other) == 0:
		return h
	}
	var both HomeRegions
	for _, region := range h {
		if slices.Contains(other, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return NoHomeRegion
	}
	return both
}

// AllowsNone reports whether no region may serve requests.
func (h HomeRegions) AllowsNone() bool {
	return len(h) > 0 && !slices.ContainsFunc(h, func(region string) bool { return region != "" })
}

// SortRoutes sorts routes by name, so that equal configurations have equal
// content.
func SortRoutes(routes []Route) {
	slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
}
