package policy

import (
	"fmt"
	"strconv"

	"github.com/jacinthstall/jacinthstall/finding"
)

// Ranges of values.
const (
	MaxNameBytes   = 128       // Length of a name.
	MaxDurationMs  = 3_600_000 // Milliseconds; one hour.
	MaxCapMbit     = 10_000_000
	MaxSlots       = 10_000
	MaxConnections = 1_000_000
	MaxPercent     = 100
)

// LogLevels are the values of Document.LogLevel, from most to least output.
var LogLevels = []string{"debug", "info", "warn", "error"}

// checker adds what is wrong with the values of a document to a list.
type checker struct {
	doc      *Document
	findings *finding.List
	regions  nameSet
	domains  nameSet
	sites    nameSet
	services nameSet
	linkCaps map[[2]string]int // Cap by from and to.
}

func check(d *Document, list *finding.List) {
	c := &checker{doc: d, findings: list, linkCaps: map[[2]string]int{}}
	c.checkGeneral()
	c.checkRegions()
	c.checkLinks()
	c.checkSites()
	c.checkServices()
	c.checkTargets()
	c.checkMoves()
	c.checkBlocks()
	c.checkLeavingInstances()
}

// documentPath is a place in the document, turned into a JSON pointer only for a finding.
type documentPath []any

func (p documentPath) field(name string) documentPath {
	return append(p[:len(p):len(p)], name)
}

// report reports a problem unless the form of the same value is already reported.
func (c *checker) report(place documentPath, fix, format string, args ...any) {
	if c.findings.Full() {
		c.findings.Omitted++
		return
	}
	pointer := finding.Pointer(place...)
	if !c.findings.IsReported(pointer) {
		c.findings.Add(finding.Finding{Pointer: pointer, Message: fmt.Sprintf(format, args...), Fix: fix})
	}
}

func (c *checker) checkRange(place documentPath, value, low, high int) {
	if value < low || value > high {
		c.report(place, "", "%d is not between %d and %d", value, low, high)
	}
}

// checkReference checks a reference to a named object.
func (c *checker) checkReference(place documentPath, kind, name string, all *nameSet) bool {
	if _, ok := all.paths[name]; ok {
		return true
	}
	if !c.findings.Full() {
		c.report(place, finding.SuggestNearest(name, all.list), "there is no %s %q", kind, name)
		return false
	}
	c.findings.Omitted++
	return false
}

// checkName checks the syntax of a name and that it is new among names of its kind.
// A wrong name is known all the same, so that references to it add no findings.
func (c *checker) checkName(place documentPath, kind, name string, all *nameSet) {
	if !isValidName(name) {
		c.report(place, "", "%q is not a name: it must have 1 to %d letters, digits, '-', '_' or '.' and begin with a letter or digit", name, MaxNameBytes)
	}
	c.checkUnique(place, kind, name, all)
}

func (c *checker) checkUnique(place documentPath, kind, name string, all *nameSet) {
	if first, ok := all.paths[name]; ok {
		c.report(place, "", "%s %q is already defined at %s", kind, name, finding.Pointer(first...))
		return
	}
	all.add(name, place)
}

// nameSet are the names of one kind of object with their places.
type nameSet struct {
	list  []string
	paths map[string]documentPath
}

func (n *nameSet) add(name string, place documentPath) {
	if n.paths == nil {
		n.paths = map[string]documentPath{}
	}
	n.paths[name] = place
	n.list = append(n.list, name)
}

func isValidName(name string) bool {
	if len(name) == 0 || len(name) > MaxNameBytes || !isAlphanumeric(name[0]) {
		return false
	}
	for i := range len(name) {
		c := name[i]
		if !isAlphanumeric(c) && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

func (c *checker) checkGeneral() {
	if !contains(LogLevels, c.doc.LogLevel) {
		c.report(documentPath{"logLevel"}, finding.SuggestNearest(c.doc.LogLevel, LogLevels), "%q is not a log level: debug, info, warn or error", c.doc.LogLevel)
	}
	t, place := c.doc.Timing, documentPath{"timing"}
	c.checkRange(place.field("lookupTtlMs"), t.LookupTTLMs, 1, MaxDurationMs)
	c.checkRange(place.field("defaultDeadlineMs"), t.DefaultDeadlineMs, 1, MaxDurationMs)
	c.checkRange(place.field("maxDeadlineMs"), t.MaxDeadlineMs, 1, MaxDurationMs)
	if t.DefaultDeadlineMs > t.MaxDeadlineMs && t.MaxDeadlineMs > 0 && t.DefaultDeadlineMs <= MaxDurationMs {
		c.report(place.field("defaultDeadlineMs"), "use at most "+strconv.Itoa(t.MaxDeadlineMs), "%d is above maxDeadlineMs, %d", t.DefaultDeadlineMs, t.MaxDeadlineMs)
	}
}

func (c *checker) checkRegions() {
	if len(c.doc.Regions) == 0 {
		c.report(documentPath{"regions"}, "", "there must be at least one region")
	}
	for i, r := range c.doc.Regions {
		place := documentPath{"regions", i}
		c.checkName(place.field("name"), "region", r.Name, &c.regions)
		if len(r.Domains) == 0 {
			c.report(place.field("domains"), "", "a region must have at least one failure domain")
		}
		for j, domain := range r.Domains {
			c.checkName(documentPath{"regions", i, "domains", j}, "failure domain", domain, &c.domains)
		}
	}
}

func (c *checker) checkLinks() {
	for i, l := range c.doc.Links {
		place := documentPath{"links", i}
		c.checkRange(place.field("capMbit"), l.CapMbit, 1, MaxCapMbit)
		if !c.checkEndpoints(place, l.From, l.To) {
			continue
		}
		ends := [2]string{l.From, l.To}
		if _, ok := c.linkCaps[ends]; ok {
			c.report(place, "keep one of them", "there is already a link from %q to %q", l.From, l.To)
			continue
		}
		c.linkCaps[ends] = l.CapMbit
	}
}

// checkEndpoints checks the two regions of a link or move.
func (c *checker) checkEndpoints(place documentPath, from, to string) bool {
	okFrom := c.checkReference(place.field("from"), "region", from, &c.regions)
	okTo := c.checkReference(place.field("to"), "region", to, &c.regions)
	if okFrom && okTo && from == to {
		c.report(place.field("to"), "name another region", "from and to are both %q", from)
		return false
	}
	return okFrom && okTo
}

func (c *checker) checkMoves() {
	seen := map[Move]int{}
	percent := map[[2]string]int{}
	for i, m := range c.doc.Moves {
		place := documentPath{"moves", i}
		c.checkReference(place.field("service"), "service", m.Service, &c.services)
		c.checkRange(place.field("percent"), m.Percent, 0, MaxPercent)
		c.checkRange(place.field("capMbit"), m.CapMbit, 1, MaxCapMbit)
		if !c.checkEndpoints(place, m.From, m.To) {
			continue
		}
		c.checkMoveLink(place, m)
		key := Move{Service: m.Service, From: m.From, To: m.To}
		if first, ok := seen[key]; ok {
			c.report(place, "keep one of them", "the same service and regions are already at /moves/%d", first)
			continue
		}
		seen[key] = i
		source := [2]string{m.Service, m.From}
		percent[source] += max(0, min(m.Percent, MaxPercent))
		if percent[source] > MaxPercent {
			c.report(place.field("percent"), "", "moves of service %q from region %q add up to %d%%, more than 100%%", m.Service, m.From, percent[source])
		}
	}
}

// checkMoveLink checks that a move has a link and stays within its cap.
func (c *checker) checkMoveLink(place documentPath, m Move) {
	limit, ok := c.linkCaps[[2]string{m.From, m.To}]
	if !ok {
		c.report(place, fmt.Sprintf("add a link from %q to %q", m.From, m.To), "there is no link from %q to %q for this move", m.From, m.To)
		return
	}
	if m.CapMbit > limit && limit > 0 && m.CapMbit <= MaxCapMbit {
		c.report(place.field("capMbit"), "use at most "+strconv.Itoa(limit), "%d is above the cap of the link from %q to %q, %d", m.CapMbit, m.From, m.To, limit)
	}
}

func (c *checker) checkSites() {
	for i, s := range c.doc.Sites {
		place := documentPath{"sites", i}
		c.checkName(place.field("name"), "site", s.Name, &c.sites)
		c.checkReference(place.field("domain"), "failure domain", s.Domain, &c.domains)
		if len(s.Regions) == 0 {
			c.report(place.field("regions"), "", "a site must name at least one region")
		}
		var own nameSet
		for j, region := range s.Regions {
			regionPlace := documentPath{"sites", i, "regions", j}
			if c.checkReference(regionPlace, "region", region, &c.regions) {
				c.checkUnique(regionPlace, "region", region, &own)
			}
		}
	}
}

// checkLeavingInstances checks names only: a document does not list the
// instances, so an unknown name cannot be told from one that has not started.
func (c *checker) checkLeavingInstances() {
	var own nameSet
	for i, name := range c.doc.LeavingInstances {
		c.checkName(documentPath{"leavingInstances", i}, "leaving instance", name, &own)
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
