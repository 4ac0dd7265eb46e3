// Package quota limits the requests of client accounts over all instances
// together. Each instance decides alone, from its own counts and from the rates
// that the other instances report. docs/design/quotas.md describes the method,
// its behaviour under failure and the alternatives.
//
// The package uses no clock, sockets or goroutines. A Limiter is safe for
// concurrent use.
package quota
