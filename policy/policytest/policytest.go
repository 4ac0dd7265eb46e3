// Package policytest makes valid documents for tests.
package policytest

import (
	"fmt"

	"github.com/jacinthstall/jacinthstall/policy"
)

// Document returns a valid document with one region of two failure domains,
// the given blocks and a site for each site name that they use.
func Document(blocks ...policy.Block) *policy.Document {
	d := &policy.Document{
		LogLevel: "info",
		Timing:   policy.Timing{LookupTTLMs: 1000, DefaultDeadlineMs: 5000, MaxDeadlineMs: 30000},
		Regions:  []policy.Region{{Name: "r", Domains: []string{"a", "b"}}},
		Links:    []policy.Link{},
		Sites:    []policy.Site{},
		Services: []policy.Service{},
		Targets:  []policy.Target{},
		Blocks:   append([]policy.Block{}, blocks...),
	}
	AddMissingSites(d)
	return d
}

// AddSites adds sites named by format and a number from 0 to n-1.
func AddSites(d *policy.Document, format string, n int) {
	for i := range n {
		addSite(d, fmt.Sprintf(format, i))
	}
}

// AddNamedSites adds sites by name.
func AddNamedSites(d *policy.Document, names ...string) {
	for _, name := range names {
		addSite(d, name)
	}
}

// AddMissingSites adds the sites that blocks name and the document lacks.
func AddMissingSites(d *policy.Document) {
	known := map[string]bool{}
	for _, s := range d.Sites {
		known[s.Name] = true
	}
	for _, b := range d.Blocks {
		if !known[b.Site] {
			known[b.Site] = true
			addSite(d, b.Site)
		}
	}
}

func addSite(d *policy.Document, name string) {
	d.Sites = append(d.Sites, policy.Site{Name: name, Domain: "a", Regions: []string{"r"}})
}
