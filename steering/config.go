package steering

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Version numbers the operators' configurations. A higher one is newer.
type Version uint64

// Config is one configuration of the operators.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	routesByHost map[string]map[string]*Route // By host, then by prefix.
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name        string
	Host        string
	Prefix      string // Begins and ends with a slash.
	Idempotent  bool   // Requests may be executed more than once.
	Timeout     time.Duration
	Objective   time.Duration // Latency within which an answer has its full value.
	Priority    int           // 0 is the most important.
	MaxAttempts int           // Largest number of targets for one request.
	Sticky      bool          // A target that has handled the same object lately is faster.
	Split       []WeightedService
	HomeRegions HomeRegions
}

// WeightedService is the part of a route's requests that goes to a service.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is what the targets of a service have in common.
type Service struct {
	Name           string
	MaxConnections int           // Open connections that a target accepts from all instances together; 0 means no bound.
	ColdDuration   time.Duration // How long a target stays cold after its start.
	MaxColdRate    float64       // Requests per second that a cold target tolerates; 0 means no bound.
}

// Limits bound what callers may send. A zero value means no bound.
type Limits struct {
	MaxHeadBytes int
	MaxBodyBytes int64
	HeadTimeout  time.Duration // From the first byte of a request's head to its last.
	IdleTimeout  time.Duration // Between two requests on a connection.
}

// Index prepares a configuration for Match. It must be called once, before the
// configuration is shared.
func (c *Config) Index() {
	c.routesByHost = map[string]map[string]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		prefixes := c.routesByHost[r.Host]
		if prefixes == nil {
			prefixes = map[string]*Route{}
			c.routesByHost[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
	}
}

// Match returns the route of the host whose prefix is the longest one that
// begins the path, or nil.
func (c *Config) Match(host, path string) *Route {
	prefixes := c.routesByHost[normalizeHost(host)]
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

// normalizeHost removes the port of a Host header and its upper-case letters.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NoHomeRegion are homes that permit no region: what a route whose homes cannot be
// read allows.
var NoHomeRegion = HomeRegions{""}

// HomeRegions are the regions that may serve a route; none means all.
type HomeRegions []string

// Allows reports whether targets of the region may serve the route.
func (h HomeRegions) Allows(region string) bool { return len(h) == 0 || slices.Contains(h, region) }

// SortRoutes puts routes into the order of their names, so that equal
// configurations have equal content.
func SortRoutes(routes []Route) {
	slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
}
