// Package membership keeps the state of all entry instances from the platform's
// list, which lags, and from heartbeats between instances.
//
// Each instance sends a heartbeat every second to at most 8 peers, chosen by
// rendezvous hashing: 4 of its failure domain, 2 of its region, 2 of other
// regions; places that one group cannot fill go to the next. A heartbeat and
// its answer carry at most 16 updates about members. The number of messages of
// an instance therefore does not depend on the number of members.
//
// An update carries the member's incarnation and counter. The higher pair wins;
// at the same pair the later of alive, slow, leaving, gone wins. A member that
// learns that it is called slow raises its counter. A member is slow when a
// heartbeat to it has no answer for 1 s, or when its own heartbeat is 1 s
// overdue; it is suspected after 3 s of silence. Only the platform's list or the
// member itself makes it leaving or gone, and gone is final for an incarnation.
//
// The package opens no sockets and takes the current time as an argument. A
// Tracker is not safe for concurrent use. Limits: 16,384 members.
package membership
