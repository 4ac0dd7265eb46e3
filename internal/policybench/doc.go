// Package policybench measures the dispatch policy by simulation in virtual time.
// The simulation connects the real schedulers, with fixed network delays, to
// targets with exponential service times. The same arrivals also go through
// reference models and simple baselines.
//
// The ideal queue is one queue for all slots. It starts the oldest request as soon
// as any slot is free, at the nearest free slot if there are several. Transport to
// the slot and back adds to the response time but does not occupy the slot. As
// this queue never waits for a near slot, there is a second reference: each
// request goes to the slot from which its response arrives first, with the
// service times known in advance. The lower p99 of the two is the reference.
//
// All random numbers come from fixed seeds, so each run gives the same figures.
package policybench
