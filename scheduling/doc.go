// Package scheduling runs a dispatch.Scheduler: one goroutine owns it, takes
// events from a bounded ring and carries out the actions.
//
// A request waits in Acquire until the scheduler starts, forwards or refuses
// it. When the ring of events is full, new requests are refused at once, wants
// and loads of peers are dropped, and releases wait, since a lost release would
// keep a slot busy until it expires.
package scheduling
