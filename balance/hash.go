package balance

import "github.com/cespare/xxhash/v2"

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// mix combines two hashes into one that depends on both (rendezvous hashing).
func mix(a, b uint64) uint64 {
	h := a ^ (b * 0x9e3779b97f4a7c15)
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}

// unitInterval maps a hash to [0, 1).
func unitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }
