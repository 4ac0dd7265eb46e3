// Package soak runs entry instances as separate processes on loopback under
// load, injects faults from outside, and checks the guarantees of the system
// from what callers and targets observe. The injected faults are signals to the
// processes, faults of the store, and proxies that delay, discard or reset
// traffic in one or both directions. The store and the targets are stand-ins
// that run in the process of the soak test.
//
// The seed determines the sequence of faults. Timing and load depend on the real
// clock, so request counts differ between runs; whether a run passes depends on
// violations of guarantees only, not on the number of requests served. All
// processes that a run starts are ended with the run.
package soak
