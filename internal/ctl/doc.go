// Package ctl holds the work of the command jacinthctl and the publishing
// steps that it shares with the console: a Session publishes a signed document
// by compare-and-swap, resolves an uncertain write by reading back, and merges
// edits of different objects after a lost race.
//
// Every command prints plain text or JSON and ends with one of the Exit codes.
package ctl
