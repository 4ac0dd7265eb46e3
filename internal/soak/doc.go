// Package soak runs entry instances as separate processes on loopback under
// load, injects faults from outside, and checks the guarantees of the system
// from what callers and targets observe. The injected faults are signals to the
// processes, a share of the processor time, faults of the store, targets that end,
// freeze, leave, reject or send responses too many, requests that crash targets, and
// proxies that delay, hold, discard or reset traffic in one or both directions. The
// store and the targets are stand-ins that run in the process of the soak test.
//
// Callers retry, pipeline, send long and slow bodies, leave early and use idle
// connections again. Each request that ends without a response gets a cause; those
// without one are violations.
//
// The seed determines the sequence of faults. Timing and load depend on the real
// clock, so request counts differ between runs; whether a run passes depends on
// violations of guarantees only, not on the number of requests served. All
// processes that a run starts are ended with the run.
package soak
