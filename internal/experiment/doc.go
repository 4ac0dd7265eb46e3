// Package experiment runs the programs as processes on loopback, sends bounded
// load, injects faults by signals and stand-in controls, and compares what
// callers were told with what targets executed.
//
// It ends only the processes that it started. Its runs are measurements on
// real clocks and are not part of the tests.
package experiment
