package policy

import (
	"net/netip"
	"strings"
)

func (c *checker) checkServices() {
	var prefixes nameSet
	for i, s := range c.doc.Services {
		place := documentPath{"services", i}
		c.checkName(place.field("name"), "service", s.Name, &c.services)
		c.checkRange(place.field("maxQueueMs"), s.MaxQueueMs, 0, MaxDurationMs)
		c.checkPathPrefix(place.field("pathPrefix"), s.PathPrefix, &prefixes)
	}
}

func (c *checker) checkPathPrefix(place documentPath, prefix string, all *nameSet) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.report(place, "begin it with \"/\"", "%q is not a path prefix", prefix)
	case len(prefix) > MaxNameBytes || strings.ContainsFunc(prefix, isInvalidInPath):
		c.report(place, "", "%q is not a path prefix: it must have at most %d printable ASCII characters and no space, '?' or '#'", prefix, MaxNameBytes)
	default:
		c.checkUnique(place, "path prefix", prefix, all)
	}
}

func isInvalidInPath(r rune) bool {
	return r <= ' ' || r > '~' || r == '?' || r == '#'
}

func (c *checker) checkTargets() {
	var targets, addresses nameSet
	for i, t := range c.doc.Targets {
		place := documentPath{"targets", i}
		c.checkName(place.field("name"), "target", t.Name, &targets)
		c.checkReference(place.field("service"), "service", t.Service, &c.services)
		c.checkReference(place.field("domain"), "failure domain", t.Domain, &c.domains)
		c.checkAddress(place.field("address"), t.Address, &addresses)
		c.checkRange(place.field("slots"), t.Slots, 1, MaxSlots)
		c.checkRange(place.field("connections"), t.Connections, 1, MaxConnections)
		if t.Slots > t.Connections && t.Connections > 0 && t.Slots <= MaxSlots {
			c.report(place.field("connections"), "", "%d connections cannot fill %d slots: each request in flight needs one", t.Connections, t.Slots)
		}
	}
}

func (c *checker) checkAddress(place documentPath, address string, all *nameSet) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.report(place, suggestAddressFix(address), "%q is not an ip:port address", address)
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		c.report(place, "", "%q is not an address of a target", address)
	default:
		c.checkUnique(place, "address", parsed.String(), all)
	}
}

// suggestAddressFix recognises an IP address without a port, and a host name.
func suggestAddressFix(address string) string {
	if _, err := netip.ParseAddr(address); err == nil {
		return "add the port"
	}
	if host, _, ok := strings.Cut(address, ":"); ok && strings.ContainsFunc(host, isNonHexLetter) {
		return "use the IP address instead of the host name"
	}
	return ""
}

func isNonHexLetter(r rune) bool {
	return 'g' <= r|0x20 && r|0x20 <= 'z'
}

// checkBlocks handles hundreds of thousands of blocks, so it makes a place
// only for a finding.
func (c *checker) checkBlocks() {
	seen := make(map[netip.Prefix]int, len(c.doc.Blocks))
	for i, b := range c.doc.Blocks {
		if _, ok := c.sites.paths[b.Site]; !ok {
			c.checkReference(documentPath{"blocks", i, "site"}, "site", b.Site, &c.sites)
		}
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil || !isCanonical(prefix, b.Prefix) {
			c.reportPrefix(documentPath{"blocks", i, "prefix"}, b.Prefix)
			continue
		}
		if first, ok := seen[prefix]; ok {
			c.report(documentPath{"blocks", i, "prefix"}, "keep one of them", "prefix %q is already at /blocks/%d", b.Prefix, first)
			continue
		}
		seen[prefix] = i
	}
}

// isCanonical reports whether text is the one notation of a prefix, so that
// blocks can be compared as text. IPv4 prefixes have only one that parses.
func isCanonical(prefix netip.Prefix, text string) bool {
	address := prefix.Addr()
	if address.Is4() {
		return prefix == prefix.Masked()
	}
	return !address.Is4In6() && prefix.Masked().String() == text
}

// reportPrefix reports a prefix that is not in canonical CIDR notation.
func (c *checker) reportPrefix(place documentPath, text string) {
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		c.report(place, suggestPrefixFix(text), "%q is not a prefix in CIDR notation", text)
	case prefix.Addr().Is4In6():
		c.report(place, "use the IPv4 prefix", "%q is an IPv4 prefix in IPv6 notation", text)
	default:
		c.report(place, "use \""+prefix.Masked().String()+"\"", "%q is not in canonical notation or has bits set after its length", text)
	}
}

func suggestPrefixFix(text string) string {
	address, err := netip.ParseAddr(text)
	if err != nil || address.Zone() != "" {
		return ""
	}
	return "use \"" + netip.PrefixFrom(address, address.BitLen()).String() + "\" for this one address"
}
