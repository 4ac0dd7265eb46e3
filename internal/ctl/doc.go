// Package ctl implements the command jacinthctl and the publishing steps that it
// shares with the console. A Session publishes a signed document by
// compare-and-swap, resolves a write of unknown outcome by reading back, and
// merges edits of different objects after a lost race.
//
// Every subcommand prints plain text or JSON and exits with one of the Exit
// codes.
package ctl
