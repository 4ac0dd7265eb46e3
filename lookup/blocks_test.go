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

// randomPrefix draws 70% IPv4 prefixes, most of them /24, and 30% IPv6
// prefixes, most of them /48. Addresses are clustered as allocated space is.
func randomPrefix(r *rand.Rand) netip.Prefix {
	if r.IntN(10) < 7 {
		bits := 24
		if r.IntN(10) >= 6 {
			bits = 12 + r.IntN(13)
		}
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], r.Uint32())
		a[0] = 1 + a[0]%96
		return netip.PrefixFrom(netip.AddrFrom4(a), bits).Masked()
	}
	bits := 48
	if r.IntN(2) == 0 {
		bits = 29 + r.IntN(28)
	}
	var a [16]byte
	binary.BigEndian.PutUint64(a[:], r.Uint64())
	a[0], a[1], a[2] = 0x2a, a[1]&0x0f, a[2]&0x0f
	return netip.PrefixFrom(netip.AddrFrom16(a), bits).Masked()
}

// randomBlocks returns count blocks with different prefixes.
func randomBlocks(r *rand.Rand, count int) []lookup.Block {
	seen := make(map[netip.Prefix]bool, count)
	list := make([]lookup.Block, 0, count)
	for len(list) < count {
		p := randomPrefix(r)
		if seen[p] {
			continue
		}
		seen[p] = true
		list = append(list, lookup.Block{Prefix: p, Site: lookup.Site(r.IntN(fullSizeSites))})
	}
	return list
}

// addressIn returns a random address of the prefix.
func addressIn(r *rand.Rand, p netip.Prefix) netip.Addr {
	raw := p.Addr().AsSlice()
	for i := p.Bits(); i < len(raw)*8; i++ {
		if r.IntN(2) == 1 {
			raw[i/8] |= 0x80 >> (i % 8)
		}
	}
	address, _ := netip.AddrFromSlice(raw)
	return address
}
