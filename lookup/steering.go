package lookup

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/jacinthstall/jacinthstall/policy"
)

// maxSites is the number of sites that a Site can name.
const maxSites = 1 << 16

// siteRule is what a site means for a look-up.
type siteRule struct {
	name              string
	domain            string
	regions           []string // Allowed regions, the domain's own first when it is allowed.
	homeRegionAllowed bool     // Whether the domain's region is allowed.
}

// excludedDomain returns the domain that the step over regions leaves out because its
// instances are in the answer already.
func (r *siteRule) excludedDomain() string {
	if r.homeRegionAllowed {
		return r.domain
	}
	return ""
}

// SteeringPolicy holds what look-ups need of one policy document. It is immutable
// and safe for concurrent use.
type SteeringPolicy struct {
	Version     uint64 // Version of the document.
	TTLMs       int    // Time in milliseconds that callers may cache an answer.
	table       *Table
	sites       []siteRule
	defaultSite siteRule // Used for callers outside all blocks.
	services    map[string]serviceRegions
}

// BlockError reports a client block that cannot be used.
type BlockError struct {
	Index  int // Place in the document's list.
	Prefix string
	Cause  string
}

// Error names the block and the cause.
func (e *BlockError) Error() string {
	return fmt.Sprintf("lookup: block %d (%s): %s", e.Index, e.Prefix, e.Cause)
}

// NewSteeringPolicy prepares a document for the look-ups of an instance in a domain.
// When previous is not nil, only the blocks that differ from it are changed in
// the table. It returns the number of changed blocks. The error is a
// *BlockError.
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
		var regions serviceRegions
		for _, target := range document.Targets {
			region := document.RegionOf(target.Domain)
			if target.Service == service.Name && !target.Leaving && !slices.Contains(regions.regions, region) {
				regions.regions = append(regions.regions, region)
			}
		}
		rules.services[service.Name] = regions
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

// tableDelta returns the changes that turn the blocks of a table into after.
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

// ParseDelta returns the changes that a list of blocks to set and of prefixes to
// remove makes to the table. The error is a *BlockError.
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

// HasSameSites reports whether the sites of both documents have the same numbers
// in the table.
func (rules *SteeringPolicy) HasSameSites(other *SteeringPolicy) bool {
	return slices.EqualFunc(rules.sites, other.sites, func(a, b siteRule) bool { return a.name == b.name })
}

// WithTableFrom returns the steering with the table of an earlier document
// version and the changes since. Both must have the same sites. The error is a
// *PrefixError.
func (rules *SteeringPolicy) WithTableFrom(earlier *SteeringPolicy, delta Delta) (*SteeringPolicy, error) {
	next := *rules
	var err error
	next.table, err = earlier.table.Apply(delta)
	return &next, err
}

// WithDelta returns the steering of a later document version that differs only
// in client blocks. The error is a *PrefixError.
func (rules *SteeringPolicy) WithDelta(version uint64, delta Delta) (*SteeringPolicy, error) {
	table, err := rules.table.Apply(delta)
	if err != nil {
		return nil, err
	}
	next := *rules
	next.Version, next.table = version, table
	return &next, nil
}

// WithAllBlocks returns the steering of a later document version with other client
// blocks, in a table built at once. The error is a *PrefixError.
func (rules *SteeringPolicy) WithAllBlocks(version uint64, blocks []Block) (*SteeringPolicy, error) {
	table, err := NewTable(blocks)
	if err != nil {
		return nil, err
	}
	next := *rules
	next.Version, next.table = version, table
	return &next, nil
}
