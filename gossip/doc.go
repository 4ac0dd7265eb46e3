// Package gossip exchanges small messages between instances: that an instance
// lives, whether it is leaving, how far it has read the store, and what it has
// in flight at targets.
//
// Messages are datagrams. Losing one costs nothing, since the next one carries
// the whole state, and a datagram cannot get stuck on a connection that has
// gone silent. Peers of the own region get messages often, others seldom. The
// interval grows with the number of peers, so that the messages an instance
// sends and receives are bounded.
package gossip
