package policy

import "time"

// Document is the whole of what operators decide. It is published as one
// validated value; nothing else changes the behaviour of a running system.
type Document struct {
	Version          uint64    `json:"version"` // Assigned when published.
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

// Timing holds durations in milliseconds.
type Timing struct {
	LookupTTLMs       int `json:"lookupTtlMs"`       // Time that callers may cache a look-up answer.
	DefaultDeadlineMs int `json:"defaultDeadlineMs"` // Time limit of a request that names none.
	MaxDeadlineMs     int `json:"maxDeadlineMs"`     // Longest time limit that a request may name.
}

// LookupTTL returns the time that callers may cache a look-up answer.
func (t Timing) LookupTTL() time.Duration { return time.Duration(t.LookupTTLMs) * time.Millisecond }

// DefaultDeadline returns the time limit of a request that names none.
func (t Timing) DefaultDeadline() time.Duration {
	return time.Duration(t.DefaultDeadlineMs) * time.Millisecond
}

// MaxDeadline returns the longest time limit that a request may name.
func (t Timing) MaxDeadline() time.Duration { return time.Duration(t.MaxDeadlineMs) * time.Millisecond }

// Region is a set of failure domains.
type Region struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains" max:"64"`
}

// Link is the cap of all traffic in one direction between two regions.
type Link struct {
	From    string `json:"from"`
	To      string `json:"to"`
	CapMbit int    `json:"capMbit"` // Megabits per second.
}

// Site is a place that client blocks are steered to.
type Site struct {
	Name    string   `json:"name"`
	Domain  string   `json:"domain"`
	Regions []string `json:"regions" max:"64"` // Regions that may serve the site's callers, preferred first.
}

// Service is a kind of request, recognised by the prefix of its path.
type Service struct {
	Name       string `json:"name"`
	PathPrefix string `json:"pathPrefix"`
	Idempotent bool   `json:"idempotent"`
	MaxQueueMs int    `json:"maxQueueMs"` // Longest time in the queue before a request is refused.
}

// Target is a back end of one service.
type Target struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	Address     string `json:"address"` // ip:port.
	Slots       int    `json:"slots"`   // Requests executed at the same time.
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Move shifts a share of a service's traffic from one region to another under a cap.
type Move struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Percent int    `json:"percent"` // Share of the service's requests, 0 to 100.
	CapMbit int    `json:"capMbit"` // Megabits per second.
}

// Block steers the callers of an address prefix to a site.
type Block struct {
	Prefix string `json:"prefix"` // CIDR notation.
	Site   string `json:"site"`
}

// RegionOf returns the region of a failure domain, or "" when it is in none.
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

// ServiceFor returns the service with the longest path prefix that matches.
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

func hasPathPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
