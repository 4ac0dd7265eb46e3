// Package node assembles an entry instance for a platform that keeps records in
// a store: the mirror of the store, the gossip with other instances, target
// selection, the gateway for requests and the listener for look-ups.
package node
