// Package mirror keeps what an instance believes about the deployment in step
// with the store.
//
// One goroutine reads all records, then waits for changes. While the store
// does not answer, it takes newer records from a peer that still hears the
// store. Every change builds a new steering.State, which replaces the one in
// force with one atomic switch.
package mirror
