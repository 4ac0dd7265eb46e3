// Package scheduling runs a dispatch.Scheduler in a goroutine of its own,
// which takes events from a bounded queue and performs the resulting actions.
//
// A request waits in Acquire until the scheduler starts, forwards or refuses
// it. When the event queue is full, new requests are refused at once, and
// wants and load reports of peers are dropped. Releases wait for room, because
// a lost release would keep a slot busy until the grant expires.
package scheduling
