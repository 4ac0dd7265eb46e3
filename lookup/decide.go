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
func (rules *SteeringPolicy) Decide(fleet *Fleet, service string, caller netip.Addr, decision *Decision) error {
	regionsOfService, ok := rules.services[service]
	if !ok {
		return &ParameterError{Parameter: ParameterService, Cause: "no such service"}
	}
	site := &rules.defaultSite
	if index, found := rules.table.Lookup(caller); found {
		site = &rules.sites[index]
	}
	hash := callerHash(caller)
	local := fleet.domains[site.domain]
	*decision = Decision{Site: site.name, Regions: site.regions, LiveInDomain: local.len(), Version: rules.Version}
	if site.homeRegionAllowed {
		decision.addFrom(local, "", hash)
	}
	if decision.Count == MaxInstances {
		decision.finalizeVersion()
		return nil
	}
	for _, withTargets := range [...]bool{true, false} {
		for _, region := range site.regions {
			if regionsOfService.contains(region) == withTargets {
				decision.addFrom(fleet.regions[region], site.excludedDomain(), hash)
			}
		}
	}
	decision.finalizeVersion()
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

// addFrom appends the best instances for a caller outside the skipped domain until
// the answer is full.
func (decision *Decision) addFrom(pool *candidates, skipDomain string, callerHash uint64) {
	if pool == nil || decision.Count == MaxInstances {
		return
	}
	top := topInstances{limit: MaxInstances - decision.Count, threshold: pool.estimateThreshold()}
	pool.rankInto(&top, skipDomain, callerHash)
	if top.count < top.limit && top.threshold > 0 {
		top = topInstances{limit: top.limit}
		pool.rankInto(&top, skipDomain, callerHash)
	}
	for _, ranked := range top.ranking[:top.count] {
		decision.Instances[decision.Count] = &pool.instances[ranked.index]
		decision.instanceNames[decision.Count] = decision.Instances[decision.Count].Name
		decision.Version = mixHash(decision.Version*versionMultiplier, pool.versions[ranked.index])
		decision.Count++
	}
}

// versionMultiplier makes the version depend on the order of the instances.
const versionMultiplier = 0x9e3779b97f4a7c15

// finalizeVersion adds the site to the version. 0 stands for no version.
func (decision *Decision) finalizeVersion() {
	const bits = 53
	decision.Version = max(mixHash(decision.Version*versionMultiplier, xxhash.Sum64String(decision.Site))>>(64-bits), 1)
}

// Names returns the names of the chosen instances. The list is valid until the
// answer changes.
func (decision *Decision) Names() []string { return decision.instanceNames[:decision.Count] }

// serviceRegions says in which regions a service has usable targets.
type serviceRegions struct {
	allRegions bool
	regions    []string
}

func (regions serviceRegions) contains(region string) bool {
	return regions.allRegions || slices.Contains(regions.regions, region)
}
