// Package metastore is a stand-in for the platform's metadata store, for tests
// and the soak: pages, watches over one revision counter, leases, conditional
// writes, rates, and the faults that the platform's pages name. It keeps
// everything in memory.
package metastore
