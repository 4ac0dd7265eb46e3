package policy

import (
	"net/netip"
	"strings"
)

func (checker *checker) checkServices() {
	var prefixes nameSet
	for i, service := range checker.doc.Services {
		path := documentPath{"services", i}
		checker.checkName(path.field("name"), "service", service.Name, &checker.services)
		checker.checkRange(path.field("maxQueueMs"), service.MaxQueueMs, 0, MaxDurationMs)
		checker.checkPathPrefix(path.field("pathPrefix"), service.PathPrefix, &prefixes)
	}
}

func (checker *checker) checkPathPrefix(path documentPath, prefix string, defined *nameSet) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		checker.report(path, "begin it with \"/\"", "%q is not a path prefix", prefix)
	case len(prefix) > MaxNameBytes || strings.ContainsFunc(prefix, isInvalidInPath):
		checker.report(path, "", "%q is not a path prefix: it must have at most %d printable ASCII characters and no space, '?' or '#'", prefix, MaxNameBytes)
	default:
		checker.checkUnique(path, "path prefix", prefix, defined)
	}
}

// isInvalidInPath reports whether a character must not occur in a path prefix.
func isInvalidInPath(r rune) bool {
	return r <= ' ' || r > '~' || r == '?' || r == '#'
}

func (checker *checker) checkTargets() {
	var targets, addresses nameSet
	for i, target := range checker.doc.Targets {
		path := documentPath{"targets", i}
		checker.checkName(path.field("name"), "target", target.Name, &targets)
		checker.checkReference(path.field("service"), "service", target.Service, &checker.services)
		checker.checkReference(path.field("domain"), "failure domain", target.Domain, &checker.domains)
		checker.checkAddress(path.field("address"), target.Address, &addresses)
		checker.checkRange(path.field("slots"), target.Slots, 1, MaxSlots)
		checker.checkRange(path.field("connections"), target.Connections, 1, MaxConnections)
		if target.Slots > target.Connections && target.Connections > 0 && target.Slots <= MaxSlots {
			checker.report(path.field("connections"), "", "%d connections cannot fill %d slots: each request in flight needs one", target.Connections, target.Slots)
		}
	}
}

func (checker *checker) checkAddress(path documentPath, address string, defined *nameSet) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		checker.report(path, suggestAddressFix(address), "%q is not an ip:port address", address)
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		checker.report(path, "", "%q is not an address of a target", address)
	default:
		checker.checkUnique(path, "address", parsed.String(), defined)
	}
}

// suggestAddressFix returns a fix for an IP address without a port or for a host
// name, or "" for any other invalid address.
func suggestAddressFix(address string) string {
	if _, err := netip.ParseAddr(address); err == nil {
		return "add the port"
	}
	if host, _, ok := strings.Cut(address, ":"); ok && strings.ContainsFunc(host, isNonHexLetter) {
		return "use the IP address instead of the host name"
	}
	return ""
}

// isNonHexLetter reports whether a character is a letter that is not a hexadecimal
// digit and so cannot occur in an IP address.
func isNonHexLetter(r rune) bool {
	return 'g' <= r|0x20 && r|0x20 <= 'z'
}

// checkBlocks creates paths only for findings, because a document may have
// hundreds of thousands of blocks.
func (checker *checker) checkBlocks() {
	firstIndex := make(map[netip.Prefix]int, len(checker.doc.Blocks))
	for i, block := range checker.doc.Blocks {
		if _, ok := checker.sites.paths[block.Site]; !ok {
			checker.checkReference(documentPath{"blocks", i, "site"}, "site", block.Site, &checker.sites)
		}
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil || !isCanonical(prefix, block.Prefix) {
			checker.reportPrefix(documentPath{"blocks", i, "prefix"}, block.Prefix)
			continue
		}
		if first, ok := firstIndex[prefix]; ok {
			checker.report(documentPath{"blocks", i, "prefix"}, "keep one of them", "prefix %q is already at /blocks/%d", block.Prefix, first)
			continue
		}
		firstIndex[prefix] = i
	}
}

// isCanonical reports whether text is the canonical notation of a prefix. Only
// canonical prefixes are valid, so that blocks can be compared as text. For IPv4,
// netip.ParsePrefix accepts no other notation, so only the bits after the prefix
// length are checked.
func isCanonical(prefix netip.Prefix, text string) bool {
	address := prefix.Addr()
	if address.Is4() {
		return prefix == prefix.Masked()
	}
	return !address.Is4In6() && prefix.Masked().String() == text
}

// reportPrefix adds a finding for a prefix that is not in canonical CIDR notation.
func (checker *checker) reportPrefix(path documentPath, text string) {
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		checker.report(path, suggestPrefixFix(text), "%q is not a prefix in CIDR notation", text)
	case prefix.Addr().Is4In6():
		checker.report(path, "use the IPv4 prefix", "%q is an IPv4 prefix in IPv6 notation", text)
	default:
		checker.report(path, "use \""+prefix.Masked().String()+"\"", "%q is not in canonical notation or has bits set after its length", text)
	}
}

// suggestPrefixFix returns a fix for an IP address without a prefix length, or ""
// for any other text.
func suggestPrefixFix(text string) string {
	address, err := netip.ParseAddr(text)
	if err != nil || address.Zone() != "" {
		return ""
	}
	return "use \"" + netip.PrefixFrom(address, address.BitLen()).String() + "\" for this one address"
}
