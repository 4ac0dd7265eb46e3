// Package ctltest has a small fake of ctl.Publisher for tests. It keeps one
// document in memory and can lose races and responses.
package ctltest
