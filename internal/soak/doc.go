// Package soak runs entry instances as separate processes on loopback and
// injects faults from outside: signals to the processes, proxies that delay,
// reset, silence or cut connections one way, and faults of the store. While it
// runs, it checks the promises of the system from what callers and targets
// see. The store and the targets are stand-ins in the soak's own process.
//
// Faults follow from a seed; their timing and the load are real, so counts
// differ between runs. The verdict depends on promises only, not on how much
// was served. Every process that it starts ends with it.
package soak
