// Package membership tracks the state of all entry instances. Its sources are
// the platform's list of instances, which may be out of date, and heartbeats
// between instances.
//
// Each instance sends a heartbeat once per second to at most 8 peers. The peers
// are selected by rendezvous hashing: 4 in the instance's failure domain, 2 in
// its region and 2 in other regions. If one of these groups has too few members,
// the remaining places go to members of the other groups. A heartbeat and its
// response carry at most 16 updates about members. The number of messages of an
// instance therefore does not depend on the number of members.
//
// An update contains the member's incarnation and counter. The update with the
// higher pair takes precedence; if the pairs are equal, the later of the states
// alive, slow, leaving, gone does. A member that learns that others consider it
// slow refutes this by raising its counter. A member becomes slow when a
// heartbeat to it has had no response for 1 s, or when a heartbeat from it is 1 s
// overdue. It is suspected after 3 s of silence. A member becomes leaving or gone
// only by the platform's list or by its own update, and gone is final for an
// incarnation.
//
// The package opens no sockets and takes the current time as an argument. A
// Tracker is not safe for concurrent use. Limit: 16,384 members.
package membership
