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
	regions  names
	domains  names
	sites    names
	services names
	links    map[[2]string]int // Cap by from and to.
}

func check(d *Document, list *finding.List) {
	c := &checker{doc: d, list: list, links: map[[2]string]int{}}
	c.general()
	c.checkRegions()
	c.checkLinks()
	c.checkSites()
	c.checkServices()
	c.checkTargets()
	c.checkMoves()
	c.checkBlocks()
	c.checkLeavingInstances()
}

// at is a place in the document, turned into a JSON pointer only for a finding.
type at []any

func (p at) field(name string) at {
	return append(p[:len(p):len(p)], name)
}

// add reports a problem unless the form of the same value is already reported.
func (c *checker) add(place at, fix, format string, args ...any) {
	if c.list.Full() {
		c.list.Omitted++
		return
	}
	pointer := finding.Pointer(place...)
	if !c.list.IsReported(pointer) {
		c.list.Add(finding.Finding{Pointer: pointer, Message: fmt.Sprintf(format, args...), Fix: fix})
	}
}

func (c *checker) between(place at, value, low, high int) {
	if value < low || value > high {
		c.add(place, "", "%d is not between %d and %d", value, low, high)
	}
}

// known checks a reference to a named object.
func (c *checker) known(place at, kind, name string, all *names) bool {
	if _, ok := all.index[name]; ok {
		return true
	}
	if !c.list.Full() {
		c.add(place, finding.SuggestNearest(name, all.list), "there is no %s %q", kind, name)
		return false
	}
	c.list.Omitted++
	return false
}

// name checks the syntax of a name and that it is new among names of its kind.
// A wrong name is known all the same, so that references to it add no findings.
func (c *checker) name(place at, kind, name string, all *names) {
	if !validName(name) {
		c.add(place, "", "%q is not a name: it must have 1 to %d letters, digits, '-', '_' or '.' and begin with a letter or digit", name, MaxNameBytes)
	}
	c.unique(place, kind, name, all)
}

func (c *checker) unique(place at, kind, name string, all *names) {
	if first, ok := all.index[name]; ok {
		c.add(place, "", "%s %q is already defined at %s", kind, name, finding.Pointer(first...))
		return
	}
	all.add(name, place)
}

// names are the names of one kind of object with their places.
type names struct {
	list  []string
	index map[string]at
}

func (n *names) add(name string, place at) {
	if n.index == nil {
		n.index = map[string]at{}
	}
	n.index[name] = place
	n.list = append(n.list, name)
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

func (c *checker) general() {
	if !contains(LogLevels, c.doc.LogLevel) {
		c.add(at{"logLevel"}, finding.SuggestNearest(c.doc.LogLevel, LogLevels), "%q is not a log level: debug, info, warn or error", c.doc.LogLevel)
	}
	t, place := c.doc.Timing, at{"timing"}
	c.between(place.field("lookupTtlMs"), t.LookupTTLMs, 1, MaxDurationMs)
	c.between(place.field("defaultDeadlineMs"), t.DefaultDeadlineMs, 1, MaxDurationMs)
	c.between(place.field("maxDeadlineMs"), t.MaxDeadlineMs, 1, MaxDurationMs)
	if t.DefaultDeadlineMs > t.MaxDeadlineMs && t.MaxDeadlineMs > 0 && t.DefaultDeadlineMs <= MaxDurationMs {
		c.add(place.field("defaultDeadlineMs"), "use at most "+strconv.Itoa(t.MaxDeadlineMs), "%d is above maxDeadlineMs, %d", t.DefaultDeadlineMs, t.MaxDeadlineMs)
	}
}

func (c *checker) checkRegions() {
	if len(c.doc.Regions) == 0 {
		c.add(at{"regions"}, "", "there must be at least one region")
	}
	for i, r := range c.doc.Regions {
		place := at{"regions", i}
		c.name(place.field("name"), "region", r.Name, &c.regions)
		if len(r.Domains) == 0 {
			c.add(place.field("domains"), "", "a region must have at least one failure domain")
		}
		for j, domain := range r.Domains {
			c.name(at{"regions", i, "domains", j}, "failure domain", domain, &c.domains)
		}
	}
}

func (c *checker) checkLinks() {
	for i, l := range c.doc.Links {
		place := at{"links", i}
		c.between(place.field("capMbit"), l.CapMbit, 1, MaxCapMbit)
		if !c.endpoints(place, l.From, l.To) {
			continue
		}
		ends := [2]string{l.From, l.To}
		if _, ok := c.links[ends]; ok {
			c.add(place, "keep one of them", "there is already a link from %q to %q", l.From, l.To)
			continue
		}
		c.links[ends] = l.CapMbit
	}
}

// endpoints checks the two regions of a link or move.
func (c *checker) endpoints(place at, from, to string) bool {
	okFrom := c.known(place.field("from"), "region", from, &c.regions)
	okTo := c.known(place.field("to"), "region", to, &c.regions)
	if okFrom && okTo && from == to {
		c.add(place.field("to"), "name another region", "from and to are both %q", from)
		return false
	}
	return okFrom && okTo
}

func (c *checker) checkMoves() {
	seen := map[Move]int{}
	percent := map[[2]string]int{}
	for i, m := range c.doc.Moves {
		place := at{"moves", i}
		c.known(place.field("service"), "service", m.Service, &c.services)
		c.between(place.field("percent"), m.Percent, 0, MaxPercent)
		c.between(place.field("capMbit"), m.CapMbit, 1, MaxCapMbit)
		if !c.endpoints(place, m.From, m.To) {
			continue
		}
		c.moveLink(place, m)
		key := Move{Service: m.Service, From: m.From, To: m.To}
		if first, ok := seen[key]; ok {
			c.add(place, "keep one of them", "the same service and regions are already at /moves/%d", first)
			continue
		}
		seen[key] = i
		source := [2]string{m.Service, m.From}
		percent[source] += max(0, min(m.Percent, MaxPercent))
		if percent[source] > MaxPercent {
			c.add(place.field("percent"), "", "moves of service %q from region %q add up to %d%%, more than 100%%", m.Service, m.From, percent[source])
		}
	}
}

// moveLink checks that a move has a link and stays within its cap.
func (c *checker) moveLink(place at, m Move) {
	limit, ok := c.links[[2]string{m.From, m.To}]
	if !ok {
		c.add(place, fmt.Sprintf("add a link from %q to %q", m.From, m.To), "there is no link from %q to %q for this move", m.From, m.To)
		return
	}
	if m.CapMbit > limit && limit > 0 && m.CapMbit <= MaxCapMbit {
		c.add(place.field("capMbit"), "use at most "+strconv.Itoa(limit), "%d is above the cap of the link from %q to %q, %d", m.CapMbit, m.From, m.To, limit)
	}
}

func (c *checker) checkSites() {
	for i, s := range c.doc.Sites {
		place := at{"sites", i}
		c.name(place.field("name"), "site", s.Name, &c.sites)
		c.known(place.field("domain"), "failure domain", s.Domain, &c.domains)
		if len(s.Regions) == 0 {
			c.add(place.field("regions"), "", "a site must name at least one region")
		}
		var own names
		for j, region := range s.Regions {
			regionPlace := at{"sites", i, "regions", j}
			if c.known(regionPlace, "region", region, &c.regions) {
				c.unique(regionPlace, "region", region, &own)
			}
		}
	}
}

// checkLeavingInstances checks names only: a document does not list the
// instances, so an unknown name cannot be told from one that has not started.
func (c *checker) checkLeavingInstances() {
	var own names
	for i, name := range c.doc.LeavingInstances {
		c.name(at{"leavingInstances", i}, "leaving instance", name, &own)
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
