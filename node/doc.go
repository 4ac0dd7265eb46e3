// Package node assembles an entry instance for a platform that keeps records in
// a store: the mirror of the store, the gossip with other instances, target
// selection, the request path and the directory.
package node
