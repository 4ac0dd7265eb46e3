package lookup

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxInstances is the maximum number of instances in a decision.
const MaxInstances = 8

// Decision is the result of a look-up. Instances points into the fleet; callers
// must not modify the instances.
type Decision struct {
	Site         string // Empty when no block contains the caller.
	LiveInDomain int    // Live instances of the site's domain.
	Regions      []string
	Count        int
	Instances    [MaxInstances]*Instance // The first Count elements are set, in order of preference.
	// Version changes when the site, the chosen instances or the policy change.
	// It has at most 53 bits, so that every JSON parser represents it exactly.
	Version       uint64
	instanceNames [MaxInstances]string
}

// Decide chooses the entry instances for a caller of a service and writes the
// result to decision. Service is empty when the caller did not specify one.
//
// The live instances of the site's domain come first, then those of the site's
// region, then those of the other regions that the site allows, in the order of
// the policy. Regions without a usable target of the service come last. Within
// each group, every caller has its own order, which distributes callers over
// the instances. A caller outside all blocks is assigned the local domain, with
// all regions allowed.
//
// Decide does not allocate. It returns a *ParameterError if the policy does not
// contain the service.
func (rules *SteeringPolicy) Decide(fleet *Fleet, service string, caller netip.Addr, decision *Decision) error {
	offered, ok := rules.services[service]
	if !ok {
		return &ParameterError{Parameter: ParameterService, Cause: "no such service"}
	}
	site := &rules.defaultSite
	if index, found := rules.table.Lookup(caller); found {
		site = &rules.sites[index]
	}
	hash := hashCaller(caller)
	siteDomain := fleet.domains[site.domain]
	*decision = Decision{Site: site.name, Regions: site.regions, LiveInDomain: siteDomain.len(), Version: rules.Version}
	if site.homeRegionAllowed {
		decision.addFrom(siteDomain, "", hash)
	}
	if decision.Count == MaxInstances {
		decision.finalizeVersion()
		return nil
	}
	for _, withTargets := range [...]bool{true, false} {
		for _, region := range site.regions {
			if offered.contains(region) == withTargets {
				decision.addFrom(fleet.regions[region], site.excludedDomain(), hash)
			}
		}
	}
	decision.finalizeVersion()
	return nil
}

// hashCaller returns the hash that determines a caller's order of instances.
// IPv6 callers in the same /64 share an order, because hosts change the lower
// 64 bits of their addresses.
func hashCaller(caller netip.Addr) uint64 {
	raw := caller.Unmap().As16()
	if !caller.Unmap().Is4() {
		clear(raw[8:])
	}
	return xxhash.Sum64(raw[:])
}

// addFrom appends the highest-ranked instances for a caller, except those in
// skipDomain, until the decision is full.
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

// finalizeVersion includes the site in the version and limits it to 53 bits.
// The result is never 0, which means "no version".
func (decision *Decision) finalizeVersion() {
	const bits = 53
	decision.Version = max(mixHash(decision.Version*versionMultiplier, xxhash.Sum64String(decision.Site))>>(64-bits), 1)
}

// Names returns the names of the chosen instances. The slice is valid until the
// decision is overwritten.
func (decision *Decision) Names() []string { return decision.instanceNames[:decision.Count] }

// serviceRegions lists the regions in which a service has usable targets.
type serviceRegions struct {
	allRegions bool
	regions    []string
}

func (offered serviceRegions) contains(region string) bool {
	return offered.allRegions || slices.Contains(offered.regions, region)
}
