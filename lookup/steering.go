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
func NewSteeringPolicy(d *policy.Document, domain string, previous *SteeringPolicy) (*SteeringPolicy, int, error) {
	s := &SteeringPolicy{Version: d.Version, TTLMs: d.Timing.LookupTTLMs}
	s.compileSites(d, domain)
	s.compileServices(d)
	changed, err := s.compileBlocks(d, previous)
	return s, changed, err
}

// BlockCount returns the number of client blocks.
func (s *SteeringPolicy) BlockCount() int { return s.table.Len() }

func (s *SteeringPolicy) compileSites(d *policy.Document, domain string) {
	for _, site := range d.Sites {
		s.sites = append(s.sites, newSiteRule(d, site))
	}
	var all []string
	for _, r := range d.Regions {
		all = append(all, r.Name)
	}
	s.defaultSite = newSiteRule(d, policy.Site{Domain: domain, Regions: all})
}

func newSiteRule(d *policy.Document, site policy.Site) siteRule {
	home := d.RegionOf(site.Domain)
	rule := siteRule{name: site.Name, domain: site.Domain, homeRegionAllowed: slices.Contains(site.Regions, home)}
	if rule.homeRegionAllowed {
		rule.regions = append(rule.regions, home)
	}
	for _, region := range site.Regions {
		if region != home {
			rule.regions = append(rule.regions, region)
		}
	}
	return rule
}

func (s *SteeringPolicy) compileServices(d *policy.Document) {
	s.services = map[string]serviceRegions{"": {allRegions: true}}
	for _, service := range d.Services {
		var o serviceRegions
		for _, t := range d.Targets {
			region := d.RegionOf(t.Domain)
			if t.Service == service.Name && !t.Leaving && !slices.Contains(o.regions, region) {
				o.regions = append(o.regions, region)
			}
		}
		s.services[service.Name] = o
	}
}

func (s *SteeringPolicy) compileBlocks(d *policy.Document, previous *SteeringPolicy) (int, error) {
	blocks, err := parseBlocks(d)
	if err != nil {
		return 0, err
	}
	if previous == nil {
		list := make([]Block, 0, len(blocks))
		for prefix, site := range blocks {
			list = append(list, Block{Prefix: prefix, Site: site})
		}
		s.table, err = NewTable(list)
		return len(list), err
	}
	delta := tableDelta(previous.table, blocks)
	s.table, err = previous.table.Apply(delta)
	return len(delta.Remove) + len(delta.Set), err
}

func parseBlocks(d *policy.Document) (map[netip.Prefix]Site, error) {
	if len(d.Sites) > maxSites {
		return nil, &BlockError{Cause: fmt.Sprintf("the document has more than %d sites", maxSites)}
	}
	index := make(map[string]Site, len(d.Sites))
	for i, site := range d.Sites {
		index[site.Name] = Site(i)
	}
	blocks := make(map[netip.Prefix]Site, len(d.Blocks))
	for i, b := range d.Blocks {
		block, err := parseBlock(index, i, b)
		if err != nil {
			return nil, err
		}
		blocks[block.Prefix] = block.Site
	}
	return blocks, nil
}

func parseBlock(index map[string]Site, i int, b policy.Block) (Block, error) {
	prefix, err := netip.ParsePrefix(b.Prefix)
	if err != nil {
		return Block{}, &BlockError{Index: i, Prefix: b.Prefix, Cause: err.Error()}
	}
	if prefix.Addr().Is4In6() {
		return Block{}, &BlockError{Index: i, Prefix: b.Prefix, Cause: "IPv4-mapped; write it as an IPv4 prefix"}
	}
	site, ok := index[b.Site]
	if !ok {
		return Block{}, &BlockError{Index: i, Prefix: b.Prefix, Cause: fmt.Sprintf("no site %q", b.Site)}
	}
	return Block{Prefix: prefix.Masked(), Site: site}, nil
}

// tableDelta returns the changes that turn the blocks of a table into after.
func tableDelta(before *Table, after map[netip.Prefix]Site) Delta {
	var delta Delta
	for b := range before.All() {
		if _, kept := after[b.Prefix]; !kept {
			delta.Remove = append(delta.Remove, b.Prefix)
		}
	}
	for prefix, site := range after {
		if old, known := before.Get(prefix); !known || old != site {
			delta.Set = append(delta.Set, Block{Prefix: prefix, Site: site})
		}
	}
	return delta
}

// ParseDelta returns the changes that a list of blocks to set and of prefixes to
// remove makes to the table. The error is a *BlockError.
func (s *SteeringPolicy) ParseDelta(set []policy.Block, removed []string) (Delta, error) {
	index := make(map[string]Site, len(s.sites))
	for i, site := range s.sites {
		index[site.name] = Site(i)
	}
	var d Delta
	for i, b := range set {
		block, err := parseBlock(index, i, b)
		if err != nil {
			return Delta{}, err
		}
		d.Set = append(d.Set, block)
	}
	for i, text := range removed {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return Delta{}, &BlockError{Index: i, Prefix: text, Cause: err.Error()}
		}
		d.Remove = append(d.Remove, prefix.Masked())
	}
	return d, nil
}

// HasSameSites reports whether the sites of both documents have the same numbers
// in the table.
func (s *SteeringPolicy) HasSameSites(other *SteeringPolicy) bool {
	return slices.EqualFunc(s.sites, other.sites, func(a, b siteRule) bool { return a.name == b.name })
}

// WithTableFrom returns the steering with the table of an earlier document
// version and the changes since. Both must have the same sites. The error is a
// *PrefixError.
func (s *SteeringPolicy) WithTableFrom(earlier *SteeringPolicy, d Delta) (*SteeringPolicy, error) {
	next := *s
	var err error
	next.table, err = earlier.table.Apply(d)
	return &next, err
}

// WithDelta returns the steering of a later document version that differs only
// in client blocks. The error is a *PrefixError.
func (s *SteeringPolicy) WithDelta(version uint64, d Delta) (*SteeringPolicy, error) {
	table, err := s.table.Apply(d)
	if err != nil {
		return nil, err
	}
	next := *s
	next.Version, next.table = version, table
	return &next, nil
}

// WithAllBlocks returns the steering of a later document version with other client
// blocks, in a table built at once. The error is a *PrefixError.
func (s *SteeringPolicy) WithAllBlocks(version uint64, blocks []Block) (*SteeringPolicy, error) {
	table, err := NewTable(blocks)
	if err != nil {
		return nil, err
	}
	next := *s
	next.Version, next.table = version, table
	return &next, nil
}
