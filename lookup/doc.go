// Package lookup decides which entry instances a caller should use.
//
// Table maps client blocks (IPv4 and IPv6 prefixes) to sites by longest-prefix
// match. It is a persistent data structure: Apply returns a new table that
// shares all unchanged chunks with the old one, so readers of the old table are
// never blocked. AtomicTable holds the current table and replaces it
// atomically.
//
// The blocks of one address family are sorted by first address and split into
// chunks of at most 128 blocks. A look-up takes two binary searches and a walk
// over the enclosing blocks, and does not allocate. A change copies one chunk
// and the list of chunks.
//
// SteeringPolicy.Decide chooses the instances for a caller from the caller's
// site, the service and the state of the instances. Waiters holds look-ups
// until the decision changes.
//
// The package opens no sockets. Limits: 65,535 sites, 8 instances per decision,
// 1,024 waiting look-ups per entry instance.
package lookup
