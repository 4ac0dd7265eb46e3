// Package node assembles an entry instance on a platform that keeps records
// in a store: the mirror of the store, the exchange with other instances, the
// choice of targets, the request path and the directory.
package node
