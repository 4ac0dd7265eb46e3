// Package policytest provides valid policy documents for tests.
package policytest

import (
	"fmt"

	"github.com/jacinthstall/jacinthstall/policy"
)

// Document returns a valid document with one region of two failure domains, the
// given blocks and the sites that the blocks refer to.
func Document(blocks ...policy.Block) *policy.Document {
	document := &policy.Document{
		LogLevel: "info",
		Timing:   policy.Timing{LookupTTLMs: 1000, DefaultDeadlineMs: 5000, MaxDeadlineMs: 30000},
		Regions:  []policy.Region{{Name: "r", Domains: []string{"a", "b"}}},
		Links:    []policy.Link{},
		Sites:    []policy.Site{},
		Services: []policy.Service{},
		Targets:  []policy.Target{},
		Blocks:   append([]policy.Block{}, blocks...),
	}
	AddMissingSites(document)
	return document
}

// AddSites adds n sites. Their names are made from format and the numbers 0 to
// n-1.
func AddSites(document *policy.Document, format string, n int) {
	for i := range n {
		addSite(document, fmt.Sprintf(format, i))
	}
}

// AddNamedSites adds a site for each name.
func AddNamedSites(document *policy.Document, names ...string) {
	for _, name := range names {
		addSite(document, name)
	}
}

// AddMissingSites adds the sites that blocks refer to and that are not in the
// document.
func AddMissingSites(document *policy.Document) {
	known := map[string]bool{}
	for _, site := range document.Sites {
		known[site.Name] = true
	}
	for _, block := range document.Blocks {
		if !known[block.Site] {
			known[block.Site] = true
			addSite(document, block.Site)
		}
	}
}

func addSite(document *policy.Document, name string) {
	document.Sites = append(document.Sites, policy.Site{Name: name, Domain: "a", Regions: []string{"r"}})
}
