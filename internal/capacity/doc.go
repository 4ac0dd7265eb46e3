// Package capacity measures what each role of an instance costs at several
// sizes of the system: state, messages, bytes and processor time. The figures
// come from the real data structures and the real encoding of messages.
//
// Processor times depend on the machine; state and bytes hardly do. A role is
// added by one more Measure in Roles.
package capacity
