package policy

import (
	"net/netip"
	"strings"
)

func (c *checker) checkServices() {
	var prefixes nameSet
	for i, service := range c.doc.Services {
		path := documentPath{"services", i}
		c.checkName(path.field("name"), "service", service.Name, &c.services)
		c.checkRange(path.field("maxQueueMs"), service.MaxQueueMs, 0, MaxDurationMs)
		c.checkPathPrefix(path.field("pathPrefix"), service.PathPrefix, &prefixes)
	}
}

func (c *checker) checkPathPrefix(path documentPath, prefix string, defined *nameSet) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.report(path, "begin it with \"/\"", "%q is not a path prefix", prefix)
	case len(prefix) > MaxNameBytes || strings.ContainsFunc(prefix, isInvalidInPath):
		c.report(path, "", "%q is not a path prefix: it must have at most %d printable ASCII characters and no space, '?' or '#'", prefix, MaxNameBytes)
	default:
		c.checkUnique(path, "path prefix", prefix, defined)
	}
}

func isInvalidInPath(r rune) bool {
	return r <= ' ' || r > '~' || r == '?' || r == '#'
}

func (c *checker) checkTargets() {
	var targets, addresses nameSet
	for i, target := range c.doc.Targets {
		path := documentPath{"targets", i}
		c.checkName(path.field("name"), "target", target.Name, &targets)
		c.checkReference(path.field("service"), "service", target.Service, &c.services)
		c.checkReference(path.field("domain"), "failure domain", target.Domain, &c.domains)
		c.checkAddress(path.field("address"), target.Address, &addresses)
		c.checkRange(path.field("slots"), target.Slots, 1, MaxSlots)
		c.checkRange(path.field("connections"), target.Connections, 1, MaxConnections)
		if target.Slots > target.Connections && target.Connections > 0 && target.Slots <= MaxSlots {
			c.report(path.field("connections"), "", "%d connections cannot fill %d slots: each request in flight needs one", target.Connections, target.Slots)
		}
	}
}

func (c *checker) checkAddress(path documentPath, address string, defined *nameSet) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.report(path, suggestAddressFix(address), "%q is not an ip:port address", address)
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		c.report(path, "", "%q is not an address of a target", address)
	default:
		c.checkUnique(path, "address", parsed.String(), defined)
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
	firstIndex := make(map[netip.Prefix]int, len(c.doc.Blocks))
	for i, block := range c.doc.Blocks {
		if _, ok := c.sites.paths[block.Site]; !ok {
			c.checkReference(documentPath{"blocks", i, "site"}, "site", block.Site, &c.sites)
		}
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil || !isCanonical(prefix, block.Prefix) {
			c.reportPrefix(documentPath{"blocks", i, "prefix"}, block.Prefix)
			continue
		}
		if first, ok := firstIndex[prefix]; ok {
			c.report(documentPath{"blocks", i, "prefix"}, "keep one of them", "prefix %q is already at /blocks/%d", block.Prefix, first)
			continue
		}
		firstIndex[prefix] = i
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
func (c *checker) reportPrefix(path documentPath, text string) {
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		c.report(path, suggestPrefixFix(text), "%q is not a prefix in CIDR notation", text)
	case prefix.Addr().Is4In6():
		c.report(path, "use the IPv4 prefix", "%q is an IPv4 prefix in IPv6 notation", text)
	default:
		c.report(path, "use \""+prefix.Masked().String()+"\"", "%q is not in canonical notation or has bits set after its length", text)
	}
}

func suggestPrefixFix(text string) string {
	address, err := netip.ParseAddr(text)
	if err != nil || address.Zone() != "" {
		return ""
	}
	return "use \"" + netip.PrefixFrom(address, address.BitLen()).String() + "\" for this one address"
}
