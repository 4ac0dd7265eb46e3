// Package capacity measures the cost of each role of an instance at several sizes
// of the system: state, messages, bytes and processor time. It uses the real data
// structures and the real encoding of messages.
//
// State and bytes are nearly the same on any machine; processor times are not. To
// add a role, append a MeasureFunc to Roles.
package capacity
