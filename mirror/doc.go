// Package mirror keeps an instance's copy of the deployment state in sync with
// the store.
//
// One goroutine reads all records and then watches for changes. While the store
// doesn't respond, it fetches newer records from a peer that still reaches the
// store. Every change builds a new steering.State, which replaces the current
// one atomically.
package mirror
