package kv

import "sync/atomic"

// CallCounts are the calls that a client made, failed ones included.
type CallCounts struct {
	Reads   uint64 // Gets.
	Writes  uint64 // Puts.
	Watches uint64
	Leases  uint64
	Lists   uint64
	Failed  uint64 // Calls without a definite answer: unavailable, uncertain or rate limited.
}

type counters struct {
	reads, writes, watches, leases, lists, failed atomic.Uint64
}

func (c *counters) snapshot() CallCounts {
	return CallCounts{
		Reads:   c.reads.Load(),
		Writes:  c.writes.Load(),
		Watches: c.watches.Load(),
		Leases:  c.leases.Load(),
		Lists:   c.lists.Load(),
		Failed:  c.failed.Load(),
	}
}
