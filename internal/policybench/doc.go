// Package policybench measures the dispatch policy in virtual time. Real
// schedulers are connected through fixed message delays to targets with
// exponential service times. The same arrivals go through one ideal shared
// queue with perfect knowledge and through simple baselines.
//
// The ideal queue starts the oldest request the moment that any slot is free,
// at the nearest free slot when there are several; the transport to the slot
// and back is added to the response time but holds no slot. Since that queue
// never waits for a near slot, a second reference sends each request to the
// slot where it ends first, with perfect knowledge of all service times. The
// p99 is compared with the lower one of the two. All times are
// virtual, all random numbers come from fixed seeds, so every figure is the
// same in each run.
package policybench
