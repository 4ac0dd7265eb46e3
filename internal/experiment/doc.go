// Package experiment runs the programs as processes on loopback, sends a bounded
// load, injects faults with signals and the control routes of the stand-ins, and
// compares the responses that callers received with the executions of the targets.
//
// It ends only processes that it started. Its runs take measurements on the real
// clock and are not part of the test suite.
package experiment
