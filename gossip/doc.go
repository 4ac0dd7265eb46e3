// Package gossip exchanges small UDP messages between instances. A message says
// that its sender is alive, whether it is leaving, which store revision it has
// read, and how many requests it has in flight at each target.
//
// Within a failure domain every instance sends its state to every peer. The
// first two instances of a domain, its digest senders, also send a digest of
// the domain to one instance of each other domain. The receiver acknowledges
// the digest and forwards it to its own peers. The number of messages between
// domains therefore depends on the number of domains rather than of instances,
// and within a large domain the intervals grow with the number of instances.
//
// A lost datagram does no harm, because every message carries the whole state,
// and unlike a TCP connection a datagram can't block behind an unreachable
// network path.
package gossip
