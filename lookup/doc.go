// Package lookup decides which entry instances a caller should use.
//
// Table maps client blocks (IPv4 and IPv6 prefixes) to sites by longest match.
// It is persistent: Apply returns a new table that shares all unchanged chunks
// with the old one, so that readers of the old table are never blocked. Current
// holds the table in force and swaps it atomically.
//
// Blocks of one address family are sorted by first address and split into
// chunks of at most 128 blocks. A look-up is two binary searches and a walk
// over the enclosing blocks; it allocates nothing. A change copies one chunk
// and the index of chunks.
//
// Decide chooses the instances of a look-up answer from a site, a service and
// the state of the instances. Waiters parks look-ups until an answer changes.
//
// The package opens no sockets. Limits: 65,535 sites; 8 instances an answer;
// 1,024 parked look-ups an instance.
package lookup
