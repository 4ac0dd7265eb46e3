package policy

import "time"

// Document is the policy document. It is validated and published as a whole.
// Operators change the behavior of a running system only by publishing a
// document.
type Document struct {
	Version          uint64    `json:"version"` // Assigned on publication.
	LogLevel         string    `json:"logLevel"`
	Timing           Timing    `json:"timing"`
	Regions          []Region  `json:"regions" max:"64"`
	Links            []Link    `json:"links" max:"4096"`
	Sites            []Site    `json:"sites" max:"8192"`
	Services         []Service `json:"services" max:"1024"`
	Targets          []Target  `json:"targets" max:"65536"`
	Moves            []Move    `json:"moves,omitempty" max:"4096"`
	Blocks           []Block   `json:"blocks" max:"1000000"`
	LeavingInstances []string  `json:"leavingInstances,omitempty" max:"16384"`
}

// Timing contains durations in milliseconds.
type Timing struct {
	LookupTTLMs       int `json:"lookupTtlMs"`       // Time for which callers may cache a lookup response.
	DefaultDeadlineMs int `json:"defaultDeadlineMs"` // Time limit of a request without a deadline.
	MaxDeadlineMs     int `json:"maxDeadlineMs"`     // Maximum time limit that a request may set.
}

// LookupTTL returns the time for which callers may cache a lookup response.
func (t Timing) LookupTTL() time.Duration { return time.Duration(t.LookupTTLMs) * time.Millisecond }

// DefaultDeadline returns the time limit of a request without a deadline.
func (t Timing) DefaultDeadline() time.Duration {
	return time.Duration(t.DefaultDeadlineMs) * time.Millisecond
}

// MaxDeadline returns the maximum time limit that a request may set.
func (t Timing) MaxDeadline() time.Duration { return time.Duration(t.MaxDeadlineMs) * time.Millisecond }

// Region is a named set of failure domains.
type Region struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains" max:"64"`
}

// Link sets the cap on all traffic in one direction between two regions.
type Link struct {
	From    string `json:"from"`
	To      string `json:"to"`
	CapMbit int    `json:"capMbit"` // Megabits per second.
}

// Site is a location that the callers of client blocks are steered to.
type Site struct {
	Name    string   `json:"name"`
	Domain  string   `json:"domain"`
	Regions []string `json:"regions" max:"64"` // Regions that may serve the site's callers, in order of preference.
}

// Service is a class of requests that share a path prefix.
type Service struct {
	Name       string `json:"name"`
	PathPrefix string `json:"pathPrefix"`
	Idempotent bool   `json:"idempotent"`
	MaxQueueMs int    `json:"maxQueueMs"` // Maximum time in the queue, after which a request is refused.
}

// Target is a backend that executes the requests of one service.
type Target struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`           // In the form ip:port.
	Slots       int    `json:"slots"`             // Maximum number of concurrent requests.
	Connections int    `json:"connections"`       // Maximum number of connections.
	Leaving     bool   `json:"leaving,omitempty"` // The target gets no new requests.
}

// Move shifts a share of a service's traffic from one region to another, up to a
// bandwidth cap.
type Move struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Percent int    `json:"percent"` // Share of the service's requests in From, 0 to 100.
	CapMbit int    `json:"capMbit"` // Megabits per second.
}

// Block steers the callers with addresses in a prefix to a site.
type Block struct {
	Prefix string `json:"prefix"` // In CIDR notation.
	Site   string `json:"site"`
}

// RegionOf returns the name of the region that contains a failure domain, or ""
// if there is none.
func (document *Document) RegionOf(domain string) string {
	for _, region := range document.Regions {
		for _, name := range region.Domains {
			if name == domain {
				return region.Name
			}
		}
	}
	return ""
}

// ServiceFor returns the service whose path prefix is the longest that matches a
// path.
func (document *Document) ServiceFor(path string) (Service, bool) {
	best := -1
	for i, service := range document.Services {
		if !hasPathPrefix(path, service.PathPrefix) {
			continue
		}
		if best < 0 || len(service.PathPrefix) > len(document.Services[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Service{}, false
	}
	return document.Services[best], true
}

// hasPathPrefix reports whether a path begins with the path segments of a prefix.
func hasPathPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
