package policy

import (
	"fmt"
	"strconv"

	"github.com/jacinthstall/jacinthstall/finding"
)

// Limits of values.
const (
	MaxNameBytes   = 128        // Maximum length of a name or path prefix.
	MaxDurationMs  = 3_600_000  // One hour.
	MaxCapMbit     = 10_000_000 // Megabits per second.
	MaxSlots       = 10_000
	MaxConnections = 1_000_000
	MaxPercent     = 100
)

// LogLevels are the valid values of Document.LogLevel, from most to least
// verbose.
var LogLevels = []string{"debug", "info", "warn", "error"}

// checker validates the values of a document and adds findings to a list.
type checker struct {
	doc      *Document
	findings *finding.List
	regions  nameSet
	domains  nameSet
	sites    nameSet
	services nameSet
	linkCaps map[[2]string]int // Caps in Mbit/s by sending and receiving region.
}

// check validates the values of a decoded document. The order matters: objects
// are checked before references to them.
func check(document *Document, findings *finding.List) {
	checker := &checker{doc: document, findings: findings, linkCaps: map[[2]string]int{}}
	checker.checkGeneral()
	checker.checkRegions()
	checker.checkLinks()
	checker.checkSites()
	checker.checkServices()
	checker.checkTargets()
	checker.checkMoves()
	checker.checkBlocks()
	checker.checkLeavingInstances()
}

// documentPath is the path of a value in the document: field names and indexes.
// It is converted to a JSON pointer only if there is a finding.
type documentPath []any

func (path documentPath) field(name string) documentPath {
	return append(path[:len(path):len(path)], name)
}

// report adds a finding, unless the structure of the same value has already been
// reported.
func (checker *checker) report(path documentPath, fix, format string, args ...any) {
	if checker.findings.Full() {
		checker.findings.Omitted++
		return
	}
	pointer := finding.Pointer(path...)
	if !checker.findings.IsReported(pointer) {
		checker.findings.Add(finding.Finding{Pointer: pointer, Message: fmt.Sprintf(format, args...), Fix: fix})
	}
}

func (checker *checker) checkRange(path documentPath, value, low, high int) {
	if value < low || value > high {
		checker.report(path, "", "%d is not between %d and %d", value, low, high)
	}
}

// checkReference checks that a referenced name is defined and reports whether it
// is. The fix is computed only if the list is not full, because it is expensive.
func (checker *checker) checkReference(path documentPath, kind, name string, defined *nameSet) bool {
	if _, ok := defined.paths[name]; ok {
		return true
	}
	if !checker.findings.Full() {
		checker.report(path, finding.SuggestNearest(name, defined.list), "there is no %s %q", kind, name)
		return false
	}
	checker.findings.Omitted++
	return false
}

// checkName checks the syntax of a name and that it is unique among the names of
// its kind. An invalid name is still added to the defined names, so that
// references to it result in no further findings.
func (checker *checker) checkName(path documentPath, kind, name string, defined *nameSet) {
	if !isValidName(name) {
		checker.report(path, "", "%q is not a name: it must have 1 to %d letters, digits, '-', '_' or '.' and begin with a letter or digit", name, MaxNameBytes)
	}
	checker.checkUnique(path, kind, name, defined)
}

// checkUnique adds a name to the defined names and reports duplicates.
func (checker *checker) checkUnique(path documentPath, kind, name string, defined *nameSet) {
	if first, ok := defined.paths[name]; ok {
		checker.report(path, "", "%s %q is already defined at %s", kind, name, finding.Pointer(first...))
		return
	}
	defined.add(name, path)
}

// nameSet contains the names of one kind of object and where they are defined.
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

// checkGeneral checks the log level and the timing.
func (checker *checker) checkGeneral() {
	if !contains(LogLevels, checker.doc.LogLevel) {
		checker.report(documentPath{"logLevel"}, finding.SuggestNearest(checker.doc.LogLevel, LogLevels), "%q is not a log level: debug, info, warn or error", checker.doc.LogLevel)
	}
	timing, path := checker.doc.Timing, documentPath{"timing"}
	checker.checkRange(path.field("lookupTtlMs"), timing.LookupTTLMs, 1, MaxDurationMs)
	checker.checkRange(path.field("defaultDeadlineMs"), timing.DefaultDeadlineMs, 1, MaxDurationMs)
	checker.checkRange(path.field("maxDeadlineMs"), timing.MaxDeadlineMs, 1, MaxDurationMs)
	if timing.DefaultDeadlineMs > timing.MaxDeadlineMs && timing.MaxDeadlineMs > 0 && timing.DefaultDeadlineMs <= MaxDurationMs {
		checker.report(path.field("defaultDeadlineMs"), "use at most "+strconv.Itoa(timing.MaxDeadlineMs), "%d is above maxDeadlineMs, %d", timing.DefaultDeadlineMs, timing.MaxDeadlineMs)
	}
}

func (checker *checker) checkRegions() {
	if len(checker.doc.Regions) == 0 {
		checker.report(documentPath{"regions"}, "", "there must be at least one region")
	}
	for i, region := range checker.doc.Regions {
		path := documentPath{"regions", i}
		checker.checkName(path.field("name"), "region", region.Name, &checker.regions)
		if len(region.Domains) == 0 {
			checker.report(path.field("domains"), "", "a region must have at least one failure domain")
		}
		for j, domain := range region.Domains {
			checker.checkName(documentPath{"regions", i, "domains", j}, "failure domain", domain, &checker.domains)
		}
	}
}

func (checker *checker) checkLinks() {
	for i, link := range checker.doc.Links {
		path := documentPath{"links", i}
		checker.checkRange(path.field("capMbit"), link.CapMbit, 1, MaxCapMbit)
		if !checker.checkEndpoints(path, link.From, link.To) {
			continue
		}
		endpoints := [2]string{link.From, link.To}
		if _, ok := checker.linkCaps[endpoints]; ok {
			checker.report(path, "keep one of them", "there is already a link from %q to %q", link.From, link.To)
			continue
		}
		checker.linkCaps[endpoints] = link.CapMbit
	}
}

// checkEndpoints checks that the two regions of a link or move exist and differ,
// and reports whether they do.
func (checker *checker) checkEndpoints(path documentPath, from, to string) bool {
	fromExists := checker.checkReference(path.field("from"), "region", from, &checker.regions)
	toExists := checker.checkReference(path.field("to"), "region", to, &checker.regions)
	if fromExists && toExists && from == to {
		checker.report(path.field("to"), "name another region", "from and to are both %q", from)
		return false
	}
	return fromExists && toExists
}

func (checker *checker) checkMoves() {
	firstIndex := map[Move]int{}
	percentBySource := map[[2]string]int{}
	for i, move := range checker.doc.Moves {
		path := documentPath{"moves", i}
		checker.checkReference(path.field("service"), "service", move.Service, &checker.services)
		checker.checkRange(path.field("percent"), move.Percent, 0, MaxPercent)
		checker.checkRange(path.field("capMbit"), move.CapMbit, 1, MaxCapMbit)
		if !checker.checkEndpoints(path, move.From, move.To) {
			continue
		}
		checker.checkMoveLink(path, move)
		key := Move{Service: move.Service, From: move.From, To: move.To}
		if first, ok := firstIndex[key]; ok {
			checker.report(path, "keep one of them", "the same service and regions are already at /moves/%d", first)
			continue
		}
		firstIndex[key] = i
		source := [2]string{move.Service, move.From}
		percentBySource[source] += max(0, min(move.Percent, MaxPercent))
		if percentBySource[source] > MaxPercent {
			checker.report(path.field("percent"), "", "moves of service %q from region %q add up to %d%%, more than 100%%", move.Service, move.From, percentBySource[source])
		}
	}
}

// checkMoveLink checks that there is a link for a move and that the cap of the
// move is not above the cap of the link.
func (checker *checker) checkMoveLink(path documentPath, move Move) {
	limit, ok := checker.linkCaps[[2]string{move.From, move.To}]
	if !ok {
		checker.report(path, fmt.Sprintf("add a link from %q to %q", move.From, move.To), "there is no link from %q to %q for this move", move.From, move.To)
		return
	}
	if move.CapMbit > limit && limit > 0 && move.CapMbit <= MaxCapMbit {
		checker.report(path.field("capMbit"), "use at most "+strconv.Itoa(limit), "%d is above the cap of the link from %q to %q, %d", move.CapMbit, move.From, move.To, limit)
	}
}

func (checker *checker) checkSites() {
	for i, site := range checker.doc.Sites {
		path := documentPath{"sites", i}
		checker.checkName(path.field("name"), "site", site.Name, &checker.sites)
		checker.checkReference(path.field("domain"), "failure domain", site.Domain, &checker.domains)
		if len(site.Regions) == 0 {
			checker.report(path.field("regions"), "", "a site must name at least one region")
		}
		var siteRegions nameSet
		for j, region := range site.Regions {
			regionPath := documentPath{"sites", i, "regions", j}
			if checker.checkReference(regionPath, "region", region, &checker.regions) {
				checker.checkUnique(regionPath, "region", region, &siteRegions)
			}
		}
	}
}

// checkLeavingInstances checks only the syntax of the names and that they are
// unique. The document does not list the instances, so an unknown name cannot be
// distinguished from that of an instance that has not started.
func (checker *checker) checkLeavingInstances() {
	var instanceNames nameSet
	for i, name := range checker.doc.LeavingInstances {
		checker.checkName(documentPath{"leavingInstances", i}, "leaving instance", name, &instanceNames)
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
