package lookup_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"

	"github.com/jacinthstall/jacinthstall/lookup"
)

const (
	fullSizeBlocks = 570_000
	fullSizeSites  = 1_200
)

// randomPrefix returns an IPv4 prefix (70%, most of them /24) or an IPv6 prefix
// (30%, most of them /48). The addresses are clustered like allocated address
// space.
func randomPrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(10) < 7 {
		bits := 24
		if random.IntN(10) >= 6 {
			bits = 12 + random.IntN(13)
		}
		var address [4]byte
		binary.BigEndian.PutUint32(address[:], random.Uint32())
		address[0] = 1 + address[0]%96
		return netip.PrefixFrom(netip.AddrFrom4(address), bits).Masked()
	}
	bits := 48
	if random.IntN(2) == 0 {
		bits = 29 + random.IntN(28)
	}
	var address [16]byte
	binary.BigEndian.PutUint64(address[:], random.Uint64())
	address[0], address[1], address[2] = 0x2a, address[1]&0x0f, address[2]&0x0f
	return netip.PrefixFrom(netip.AddrFrom16(address), bits).Masked()
}

// randomBlocks returns count blocks with distinct prefixes.
func randomBlocks(random *rand.Rand, count int) []lookup.Block {
	seen := make(map[netip.Prefix]bool, count)
	list := make([]lookup.Block, 0, count)
	for len(list) < count {
		prefix := randomPrefix(random)
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		list = append(list, lookup.Block{Prefix: prefix, Site: lookup.Site(random.IntN(fullSizeSites))})
	}
	return list
}

// addressIn returns a random address of the prefix.
func addressIn(random *rand.Rand, prefix netip.Prefix) netip.Addr {
	raw := prefix.Addr().AsSlice()
	for i := prefix.Bits(); i < len(raw)*8; i++ {
		if random.IntN(2) == 1 {
			raw[i/8] |= 0x80 >> (i % 8)
		}
	}
	address, _ := netip.AddrFromSlice(raw)
	return address
}
