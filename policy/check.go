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
	list     *finding.List
	regions  nameSet
	domains  nameSet
	sites    nameSet
	services nameSet
	linkCaps map[[2]string]int // Cap by from and to.
}

func check(document *Document, list *finding.List) {
	c := &checker{doc: document, list: list, linkCaps: map[[2]string]int{}}
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

func (path documentPath) field(name string) documentPath {
	return append(path[:len(path):len(path)], name)
}

// report reports a problem unless the form of the same value is already reported.
func (c *checker) report(path documentPath, fix, format string, args ...any) {
	if c.list.Full() {
		c.list.Omitted++
		return
	}
	pointer := finding.Pointer(path...)
	if !c.list.IsReported(pointer) {
		c.list.Add(finding.Finding{Pointer: pointer, Message: fmt.Sprintf(format, args...), Fix: fix})
	}
}

func (c *checker) checkRange(path documentPath, value, low, high int) {
	if value < low || value > high {
		c.report(path, "", "%d is not between %d and %d", value, low, high)
	}
}

// checkReference checks a reference to a named object.
func (c *checker) checkReference(path documentPath, kind, name string, defined *nameSet) bool {
	if _, ok := defined.paths[name]; ok {
		return true
	}
	if !c.list.Full() {
		c.report(path, finding.SuggestNearest(name, defined.list), "there is no %s %q", kind, name)
		return false
	}
	c.list.Omitted++
	return false
}

// checkName checks the syntax of a name and that it is new among names of its kind.
// A wrong name is known all the same, so that references to it add no findings.
func (c *checker) checkName(path documentPath, kind, name string, defined *nameSet) {
	if !validName(name) {
		c.report(path, "", "%q is not a name: it must have 1 to %d letters, digits, '-', '_' or '.' and begin with a letter or digit", name, MaxNameBytes)
	}
	c.checkUnique(path, kind, name, defined)
}

func (c *checker) checkUnique(path documentPath, kind, name string, defined *nameSet) {
	if first, ok := defined.paths[name]; ok {
		c.report(path, "", "%s %q is already defined at %s", kind, name, finding.Pointer(first...))
		return
	}
	defined.add(name, path)
}

// nameSet are the names of one kind of object with their places.
type nameSet struct {
	list  []string
	paths map[string]documentPath
}

func (names *nameSet) add(name string, path documentPath) {
	if names.paths == nil {
		names.paths = map[string]documentPath{}
	}
	names.paths[name] = path
	names.list = append(names.list, name)
}

func validName(name string) bool {
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
	timing, path := c.doc.Timing, documentPath{"timing"}
	c.checkRange(path.field("lookupTtlMs"), timing.LookupTTLMs, 1, MaxDurationMs)
	c.checkRange(path.field("defaultDeadlineMs"), timing.DefaultDeadlineMs, 1, MaxDurationMs)
	c.checkRange(path.field("maxDeadlineMs"), timing.MaxDeadlineMs, 1, MaxDurationMs)
	if timing.DefaultDeadlineMs > timing.MaxDeadlineMs && timing.MaxDeadlineMs > 0 && timing.DefaultDeadlineMs <= MaxDurationMs {
		c.report(path.field("defaultDeadlineMs"), "use at most "+strconv.Itoa(timing.MaxDeadlineMs), "%d is above maxDeadlineMs, %d", timing.DefaultDeadlineMs, timing.MaxDeadlineMs)
	}
}

func (c *checker) checkRegions() {
	if len(c.doc.Regions) == 0 {
		c.report(documentPath{"regions"}, "", "there must be at least one region")
	}
	for i, region := range c.doc.Regions {
		path := documentPath{"regions", i}
		c.checkName(path.field("name"), "region", region.Name, &c.regions)
		if len(region.Domains) == 0 {
			c.report(path.field("domains"), "", "a region must have at least one failure domain")
		}
		for j, domain := range region.Domains {
			c.checkName(documentPath{"regions", i, "domains", j}, "failure domain", domain, &c.domains)
		}
	}
}

func (c *checker) checkLinks() {
	for i, link := range c.doc.Links {
		path := documentPath{"links", i}
		c.checkRange(path.field("capMbit"), link.CapMbit, 1, MaxCapMbit)
		if !c.checkEndpoints(path, link.From, link.To) {
			continue
		}
		endpoints := [2]string{link.From, link.To}
		if _, ok := c.linkCaps[endpoints]; ok {
			c.report(path, "keep one of them", "there is already a link from %q to %q", link.From, link.To)
			continue
		}
		c.linkCaps[endpoints] = link.CapMbit
	}
}

// checkEndpoints checks the two regions of a link or move.
func (c *checker) checkEndpoints(path documentPath, from, to string) bool {
	fromExists := c.checkReference(path.field("from"), "region", from, &c.regions)
	toExists := c.checkReference(path.field("to"), "region", to, &c.regions)
	if fromExists && toExists && from == to {
		c.report(path.field("to"), "name another region", "from and to are both %q", from)
		return false
	}
	return fromExists && toExists
}

func (c *checker) checkMoves() {
	firstIndex := map[Move]int{}
	percentBySource := map[[2]string]int{}
	for i, move := range c.doc.Moves {
		path := documentPath{"moves", i}
		c.checkReference(path.field("service"), "service", move.Service, &c.services)
		c.checkRange(path.field("percent"), move.Percent, 0, MaxPercent)
		c.checkRange(path.field("capMbit"), move.CapMbit, 1, MaxCapMbit)
		if !c.checkEndpoints(path, move.From, move.To) {
			continue
		}
		c.checkMoveLink(path, move)
		key := Move{Service: move.Service, From: move.From, To: move.To}
		if first, ok := firstIndex[key]; ok {
			c.report(path, "keep one of them", "the same service and regions are already at /moves/%d", first)
			continue
		}
		firstIndex[key] = i
		source := [2]string{move.Service, move.From}
		percentBySource[source] += max(0, min(move.Percent, MaxPercent))
		if percentBySource[source] > MaxPercent {
			c.report(path.field("percent"), "", "moves of service %q from region %q add up to %d%%, more than 100%%", move.Service, move.From, percentBySource[source])
		}
	}
}

// checkMoveLink checks that a move has a link and stays within its cap.
func (c *checker) checkMoveLink(path documentPath, move Move) {
	limit, ok := c.linkCaps[[2]string{move.From, move.To}]
	if !ok {
		c.report(path, fmt.Sprintf("add a link from %q to %q", move.From, move.To), "there is no link from %q to %q for this move", move.From, move.To)
		return
	}
	if move.CapMbit > limit && limit > 0 && move.CapMbit <= MaxCapMbit {
		c.report(path.field("capMbit"), "use at most "+strconv.Itoa(limit), "%d is above the cap of the link from %q to %q, %d", move.CapMbit, move.From, move.To, limit)
	}
}

func (c *checker) checkSites() {
	for i, site := range c.doc.Sites {
		path := documentPath{"sites", i}
		c.checkName(path.field("name"), "site", site.Name, &c.sites)
		c.checkReference(path.field("domain"), "failure domain", site.Domain, &c.domains)
		if len(site.Regions) == 0 {
			c.report(path.field("regions"), "", "a site must name at least one region")
		}
		var siteRegions nameSet
		for j, region := range site.Regions {
			regionPath := documentPath{"sites", i, "regions", j}
			if c.checkReference(regionPath, "region", region, &c.regions) {
				c.checkUnique(regionPath, "region", region, &siteRegions)
			}
		}
	}
}

// checkLeavingInstances checks names only: a document does not list the
// instances, so an unknown name cannot be told from one that has not started.
func (c *checker) checkLeavingInstances() {
	var instanceNames nameSet
	for i, name := range c.doc.LeavingInstances {
		c.checkName(documentPath{"leavingInstances", i}, "leaving instance", name, &instanceNames)
	}
}

func contains(list []string, value string) bool {
	for _, element := range list {
		if element == value {
			return true
		}
	}
	return false
}
