package lookup

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxInstances is the largest number of instances of an answer.
const MaxInstances = 8

// Answer is a look-up decision. The pointers are into the fleet and must not
// be written through.
type Answer struct {
	Site       string // Empty when no block contains the caller.
	DomainLive int    // Live instances of the site's domain.
	Regions    []string
	Count      int
	Instances  [MaxInstances]*Instance // The first Count are set, preferred first.
	// Version changes when the site or the instances of the answer change, or
	// the policy does. It has at most 53 bits, so that any JSON reader keeps it.
	Version uint64
	names   [MaxInstances]string
}

// Decide chooses the instances for a caller of a service. Service is empty
// when the caller names none.
//
// It names live instances of the site's domain first, then of the site's
// region, then of the other regions that the site allows, in their order.
// Regions without a usable target of the service come last. Inside each step
// the order differs by caller, so that callers spread over the instances. A
// caller outside all blocks gets the local domain as its site, with all
// regions allowed.
//
// Decide allocates nothing. The error is a *ParameterError for a service that
// the policy does not have.
func (s *Steering) Decide(f *Fleet, service string, caller netip.Addr, answer *Answer) error {
	offered, ok := s.services[service]
	if !ok {
		return &ParameterError{Parameter: ParameterService, Cause: "no such service"}
	}
	site := &s.fallback
	if index, found := s.table.Lookup(caller); found {
		site = &s.sites[index]
	}
	hash := callerHash(caller)
	home := f.domains[site.domain]
	*answer = Answer{Site: site.name, Regions: site.regions, DomainLive: home.len(), Version: s.Version}
	if site.local {
		answer.add(home, "", hash)
	}
	if answer.Count == MaxInstances {
		answer.finishVersion()
		return nil
	}
	for _, wanted := range [...]bool{true, false} {
		for _, region := range site.regions {
			if offered.in(region) == wanted {
				answer.add(f.regions[region], site.skip(), hash)
			}
		}
	}
	answer.finishVersion()
	return nil
}

// callerHash spreads callers over the instances. IPv6 callers of one /64 share
// their instances, since hosts change their lower half.
func callerHash(caller netip.Addr) uint64 {
	raw := caller.Unmap().As16()
	if !caller.Unmap().Is4() {
		clear(raw[8:])
	}
	return xxhash.Sum64(raw[:])
}

// add appends the best instances for a caller outside the skipped domain until
// the answer is full.
func (a *Answer) add(from *candidates, skipDomain string, caller uint64) {
	if from == nil || a.Count == MaxInstances {
		return
	}
	b := best{limit: MaxInstances - a.Count, lowest: from.likelyLowest()}
	from.rank(&b, skipDomain, caller)
	if b.count < b.limit && b.lowest > 0 {
		b = best{limit: b.limit}
		from.rank(&b, skipDomain, caller)
	}
	for _, r := range b.list[:b.count] {
		a.Instances[a.Count] = &from.instances[r.index]
		a.names[a.Count] = a.Instances[a.Count].Name
		a.Version = mix(a.Version*versionFactor, from.versions[r.index])
		a.Count++
	}
}

// versionFactor makes the version depend on the order of the instances.
const versionFactor = 0x9e3779b97f4a7c15

// finishVersion adds the site to the version. 0 stands for no version.
func (a *Answer) finishVersion() {
	const bits = 53
	a.Version = max(mix(a.Version*versionFactor, xxhash.Sum64String(a.Site))>>(64-bits), 1)
}

// Names returns the names of the chosen instances. The list is valid until the
// answer changes.
func (a *Answer) Names() []string { return a.names[:a.Count] }

// offer says in which regions a service has usable targets.
type offer struct {
	everywhere bool
	regions    []string
}

func (o offer) in(region string) bool {
	return o.everywhere || slices.Contains(o.regions, region)
}
