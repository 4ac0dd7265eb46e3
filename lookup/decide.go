package lookup

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxInstances is the largest number of instances of an answer.
const MaxInstances = 8

// Decision is a look-up decision. The pointers are into the fleet and must not
// be written through.
type Decision struct {
	Site         string // Empty when no block contains the caller.
	LiveInDomain int    // Live instances of the site's domain.
	Regions      []string
	Count        int
	Instances    [MaxInstances]*Instance // The first Count are set, preferred first.
	// Version changes when the site or the instances of the answer change, or
	// the policy does. It has at most 53 bits, so that any JSON reader keeps it.
	Version       uint64
	instanceNames [MaxInstances]string
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
func (s *SteeringPolicy) Decide(f *Fleet, service string, caller netip.Addr, answer *Decision) error {
	offered, ok := s.services[service]
	if !ok {
		return &ParameterError{Parameter: ParameterService, Cause: "no such service"}
	}
	site := &s.defaultSite
	if index, found := s.table.Lookup(caller); found {
		site = &s.sites[index]
	}
	hash := hashCaller(caller)
	home := f.domains[site.domain]
	*answer = Decision{Site: site.name, Regions: site.regions, LiveInDomain: home.len(), Version: s.Version}
	if site.homeRegionAllowed {
		answer.addFrom(home, "", hash)
	}
	if answer.Count == MaxInstances {
		answer.finalizeVersion()
		return nil
	}
	for _, wanted := range [...]bool{true, false} {
		for _, region := range site.regions {
			if offered.contains(region) == wanted {
				answer.addFrom(f.regions[region], site.excludedDomain(), hash)
			}
		}
	}
	answer.finalizeVersion()
	return nil
}

// hashCaller spreads callers over the instances. IPv6 callers of one /64 share
// their instances, since hosts change their lower half.
func hashCaller(caller netip.Addr) uint64 {
	raw := caller.Unmap().As16()
	if !caller.Unmap().Is4() {
		clear(raw[8:])
	}
	return xxhash.Sum64(raw[:])
}

// addFrom appends the best instances for a caller outside the skipped domain until
// the answer is full.
func (a *Decision) addFrom(from *candidates, skipDomain string, caller uint64) {
	if from == nil || a.Count == MaxInstances {
		return
	}
	b := topInstances{limit: MaxInstances - a.Count, threshold: from.estimateThreshold()}
	from.rankInto(&b, skipDomain, caller)
	if b.count < b.limit && b.threshold > 0 {
		b = topInstances{limit: b.limit}
		from.rankInto(&b, skipDomain, caller)
	}
	for _, r := range b.ranking[:b.count] {
		a.Instances[a.Count] = &from.instances[r.index]
		a.instanceNames[a.Count] = a.Instances[a.Count].Name
		a.Version = mixHash(a.Version*versionMultiplier, from.versions[r.index])
		a.Count++
	}
}

// versionMultiplier makes the version depend on the order of the instances.
const versionMultiplier = 0x9e3779b97f4a7c15

// finalizeVersion adds the site to the version. 0 stands for no version.
func (a *Decision) finalizeVersion() {
	const bits = 53
	a.Version = max(mixHash(a.Version*versionMultiplier, xxhash.Sum64String(a.Site))>>(64-bits), 1)
}

// Names returns the names of the chosen instances. The list is valid until the
// answer changes.
func (a *Decision) Names() []string { return a.instanceNames[:a.Count] }

// serviceRegions says in which regions a service has usable targets.
type serviceRegions struct {
	allRegions bool
	regions    []string
}

func (o serviceRegions) contains(region string) bool {
	return o.allRegions || slices.Contains(o.regions, region)
}
