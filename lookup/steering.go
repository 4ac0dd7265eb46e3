package lookup

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/jacinthstall/jacinthstall/policy"
)

// maxSites is the number of values of type Site.
const maxSites = 1 << 16

// siteRule holds the rules for callers that are steered to a site.
type siteRule struct {
	name              string
	domain            string
	regions           []string // Allowed regions; the region of domain comes first if allowed.
	homeRegionAllowed bool     // Whether the region of domain is allowed.
}

// excludedDomain returns the domain whose instances are already part of the
// decision when the instances of the regions are added. It is empty if there is
// none.
func (r *siteRule) excludedDomain() string {
	if r.homeRegionAllowed {
		return r.domain
	}
	return ""
}

// SteeringPolicy holds the look-up rules compiled from one policy document. It
// is immutable and safe for concurrent use.
type SteeringPolicy struct {
	Version     uint64 // Version of the document.
	TTLMs       int    // Milliseconds for which callers may cache a decision.
	table       *Table
	sites       []siteRule
	defaultSite siteRule // Used for callers outside all blocks.
	services    map[string]serviceRegions
}

// BlockError reports an invalid client block.
type BlockError struct {
	Index  int // Index in the document's list of blocks.
	Prefix string
	Cause  string
}

// Error implements error.
func (e *BlockError) Error() string {
	return fmt.Sprintf("lookup: block %d (%s): %s", e.Index, e.Prefix, e.Cause)
}

// NewSteeringPolicy compiles a policy document for the look-ups of an instance
// in the given domain. If previous is not nil, the table is derived from its
// table by applying only the blocks that differ. The second result is the number
// of changed blocks. The returned error is a *BlockError.
func NewSteeringPolicy(document *policy.Document, domain string, previous *SteeringPolicy) (*SteeringPolicy, int, error) {
	rules := &SteeringPolicy{Version: document.Version, TTLMs: document.Timing.LookupTTLMs}
	rules.compileSites(document, domain)
	rules.compileServices(document)
	changed, err := rules.compileBlocks(document, previous)
	return rules, changed, err
}

// BlockCount returns the number of client blocks.
func (rules *SteeringPolicy) BlockCount() int { return rules.table.Len() }

func (rules *SteeringPolicy) compileSites(document *policy.Document, domain string) {
	for _, site := range document.Sites {
		rules.sites = append(rules.sites, newSiteRule(document, site))
	}
	var all []string
	for _, region := range document.Regions {
		all = append(all, region.Name)
	}
	rules.defaultSite = newSiteRule(document, policy.Site{Domain: domain, Regions: all})
}

func newSiteRule(document *policy.Document, site policy.Site) siteRule {
	homeRegion := document.RegionOf(site.Domain)
	rule := siteRule{name: site.Name, domain: site.Domain, homeRegionAllowed: slices.Contains(site.Regions, homeRegion)}
	if rule.homeRegionAllowed {
		rule.regions = append(rule.regions, homeRegion)
	}
	for _, region := range site.Regions {
		if region != homeRegion {
			rule.regions = append(rule.regions, region)
		}
	}
	return rule
}

func (rules *SteeringPolicy) compileServices(document *policy.Document) {
	rules.services = map[string]serviceRegions{"": {allRegions: true}}
	for _, service := range document.Services {
		var offered serviceRegions
		for _, target := range document.Targets {
			region := document.RegionOf(target.Domain)
			if target.Service == service.Name && !target.Leaving && !slices.Contains(offered.regions, region) {
				offered.regions = append(offered.regions, region)
			}
		}
		rules.services[service.Name] = offered
	}
}

func (rules *SteeringPolicy) compileBlocks(document *policy.Document, previous *SteeringPolicy) (int, error) {
	blocks, err := parseBlocks(document)
	if err != nil {
		return 0, err
	}
	if previous == nil {
		list := make([]Block, 0, len(blocks))
		for prefix, site := range blocks {
			list = append(list, Block{Prefix: prefix, Site: site})
		}
		rules.table, err = NewTable(list)
		return len(list), err
	}
	delta := tableDelta(previous.table, blocks)
	rules.table, err = previous.table.Apply(delta)
	return len(delta.Remove) + len(delta.Set), err
}

func parseBlocks(document *policy.Document) (map[netip.Prefix]Site, error) {
	if len(document.Sites) > maxSites {
		return nil, &BlockError{Cause: fmt.Sprintf("the document has more than %d sites", maxSites)}
	}
	siteIndex := make(map[string]Site, len(document.Sites))
	for i, site := range document.Sites {
		siteIndex[site.Name] = Site(i)
	}
	blocks := make(map[netip.Prefix]Site, len(document.Blocks))
	for i, b := range document.Blocks {
		block, err := parseBlock(siteIndex, i, b)
		if err != nil {
			return nil, err
		}
		blocks[block.Prefix] = block.Site
	}
	return blocks, nil
}

func parseBlock(siteIndex map[string]Site, i int, b policy.Block) (Block, error) {
	prefix, err := netip.ParsePrefix(b.Prefix)
	if err != nil {
		return Block{}, &BlockError{Index: i, Prefix: b.Prefix, Cause: err.Error()}
	}
	if prefix.Addr().Is4In6() {
		return Block{}, &BlockError{Index: i, Prefix: b.Prefix, Cause: "IPv4-mapped; write it as an IPv4 prefix"}
	}
	site, ok := siteIndex[b.Site]
	if !ok {
		return Block{}, &BlockError{Index: i, Prefix: b.Prefix, Cause: fmt.Sprintf("no site %q", b.Site)}
	}
	return Block{Prefix: prefix.Masked(), Site: site}, nil
}

// tableDelta returns the changes that turn the blocks of table into wanted.
func tableDelta(table *Table, wanted map[netip.Prefix]Site) Delta {
	var delta Delta
	for b := range table.All() {
		if _, kept := wanted[b.Prefix]; !kept {
			delta.Remove = append(delta.Remove, b.Prefix)
		}
	}
	for prefix, site := range wanted {
		if old, exists := table.Get(prefix); !exists || old != site {
			delta.Set = append(delta.Set, Block{Prefix: prefix, Site: site})
		}
	}
	return delta
}

// ParseDelta converts blocks to set and prefixes to remove into changes of the
// table. The returned error is a *BlockError.
func (rules *SteeringPolicy) ParseDelta(set []policy.Block, removed []string) (Delta, error) {
	siteIndex := make(map[string]Site, len(rules.sites))
	for i, site := range rules.sites {
		siteIndex[site.name] = Site(i)
	}
	var delta Delta
	for i, b := range set {
		block, err := parseBlock(siteIndex, i, b)
		if err != nil {
			return Delta{}, err
		}
		delta.Set = append(delta.Set, block)
	}
	for i, text := range removed {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return Delta{}, &BlockError{Index: i, Prefix: text, Cause: err.Error()}
		}
		delta.Remove = append(delta.Remove, prefix.Masked())
	}
	return delta, nil
}

// HasSameSites reports whether both policies have the same sites with the same
// Site indices.
func (rules *SteeringPolicy) HasSameSites(other *SteeringPolicy) bool {
	return slices.EqualFunc(rules.sites, other.sites, func(a, b siteRule) bool { return a.name == b.name })
}

// WithTableFrom returns a copy of the policy that uses the table of an earlier
// document version with delta applied. Both policies must have the same sites.
// The returned error is a *PrefixError.
func (rules *SteeringPolicy) WithTableFrom(earlier *SteeringPolicy, delta Delta) (*SteeringPolicy, error) {
	next := *rules
	var err error
	next.table, err = earlier.table.Apply(delta)
	return &next, err
}

// WithDelta returns the policy of a later document version that differs only in
// the client blocks of delta. The returned error is a *PrefixError.
func (rules *SteeringPolicy) WithDelta(version uint64, delta Delta) (*SteeringPolicy, error) {
	table, err := rules.table.Apply(delta)
	if err != nil {
		return nil, err
	}
	next := *rules
	next.Version, next.table = version, table
	return &next, nil
}

// WithAllBlocks returns the policy of a later document version that differs only
// in its client blocks. It builds a new table from blocks, which replace all
// previous ones. The returned error is a *PrefixError.
func (rules *SteeringPolicy) WithAllBlocks(version uint64, blocks []Block) (*SteeringPolicy, error) {
	table, err := NewTable(blocks)
	if err != nil {
		return nil, err
	}
	next := *rules
	next.Version, next.table = version, table
	return &next, nil
}
