// Package ctltest provides a fake ctl.Publisher for tests. It holds one document
// in memory and can simulate lost races, lost messages and outages.
package ctltest
