package policy

import (
	"net/netip"
	"strings"
)

func (c *checker) checkServices() {
	var prefixes names
	for i, s := range c.doc.Services {
		place := at{"services", i}
		c.name(place.field("name"), "service", s.Name, &c.services)
		c.between(place.field("maxQueueMs"), s.MaxQueueMs, 0, MaxDurationMs)
		c.pathPrefix(place.field("pathPrefix"), s.PathPrefix, &prefixes)
	}
}

func (c *checker) pathPrefix(place at, prefix string, all *names) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add(place, "begin it with \"/\"", "%q is not a path prefix", prefix)
	case len(prefix) > MaxNameBytes || strings.ContainsFunc(prefix, notInPath):
		c.add(place, "", "%q is not a path prefix: it must have at most %d printable ASCII characters and no space, '?' or '#'", prefix, MaxNameBytes)
	default:
		c.unique(place, "path prefix", prefix, all)
	}
}

func notInPath(r rune) bool {
	return r <= ' ' || r > '~' || r == '?' || r == '#'
}

func (c *checker) checkTargets() {
	var targets, addresses names
	for i, t := range c.doc.Targets {
		place := at{"targets", i}
		c.name(place.field("name"), "target", t.Name, &targets)
		c.known(place.field("service"), "service", t.Service, &c.services)
		c.known(place.field("domain"), "failure domain", t.Domain, &c.domains)
		c.address(place.field("address"), t.Address, &addresses)
		c.between(place.field("slots"), t.Slots, 1, MaxSlots)
		c.between(place.field("connections"), t.Connections, 1, MaxConnections)
		if t.Slots > t.Connections && t.Connections > 0 && t.Slots <= MaxSlots {
			c.add(place.field("connections"), "", "%d connections cannot fill %d slots: each request in flight needs one", t.Connections, t.Slots)
		}
	}
}

func (c *checker) address(place at, address string, all *names) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.add(place, addressFix(address), "%q is not an ip:port address", address)
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		c.add(place, "", "%q is not an address of a target", address)
	default:
		c.unique(place, "address", parsed.String(), all)
	}
}

// addressFix recognises an IP address without a port, and a host name.
func addressFix(address string) string {
	if _, err := netip.ParseAddr(address); err == nil {
		return "add the port"
	}
	if host, _, ok := strings.Cut(address, ":"); ok && strings.ContainsFunc(host, isLetter) {
		return "use the IP address instead of the host name"
	}
	return ""
}

func isLetter(r rune) bool {
	return 'g' <= r|0x20 && r|0x20 <= 'z'
}

// checkBlocks handles hundreds of thousands of blocks, so it makes a place
// only for a finding.
func (c *checker) checkBlocks() {
	seen := make(map[netip.Prefix]int, len(c.doc.Blocks))
	for i, b := range c.doc.Blocks {
		if _, ok := c.sites.index[b.Site]; !ok {
			c.known(at{"blocks", i, "site"}, "site", b.Site, &c.sites)
		}
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil || !canonical(prefix, b.Prefix) {
			c.prefix(at{"blocks", i, "prefix"}, b.Prefix)
			continue
		}
		if first, ok := seen[prefix]; ok {
			c.add(at{"blocks", i, "prefix"}, "keep one of them", "prefix %q is already at /blocks/%d", b.Prefix, first)
			continue
		}
		seen[prefix] = i
	}
}

// canonical reports whether text is the one notation of a prefix, so that
// blocks can be compared as text. IPv4 prefixes have only one that parses.
func canonical(prefix netip.Prefix, text string) bool {
	address := prefix.Addr()
	if address.Is4() {
		return prefix == prefix.Masked()
	}
	return !address.Is4In6() && prefix.Masked().String() == text
}

// prefix reports a prefix that is not in canonical CIDR notation.
func (c *checker) prefix(place at, text string) {
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		c.add(place, prefixFix(text), "%q is not a prefix in CIDR notation", text)
	case prefix.Addr().Is4In6():
		c.add(place, "use the IPv4 prefix", "%q is an IPv4 prefix in IPv6 notation", text)
	default:
		c.add(place, "use \""+prefix.Masked().String()+"\"", "%q is not in canonical notation or has bits set after its length", text)
	}
}

func prefixFix(text string) string {
	address, err := netip.ParseAddr(text)
	if err != nil || address.Zone() != "" {
		return ""
	}
	return "use \"" + netip.PrefixFrom(address, address.BitLen()).String() + "\" for this one address"
}
