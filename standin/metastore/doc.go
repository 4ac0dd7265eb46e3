// Package metastore is a stand-in for the platform's metadata store, used by
// tests and the soak. It provides paged listings, watches, leases and
// conditional writes. All writes share one revision counter. It enforces rate
// limits and injects the faults that the platform's documentation describes.
// All data is kept in memory.
package metastore
