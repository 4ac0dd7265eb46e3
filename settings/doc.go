// Package settings reads the start-up settings of an entry instance from a
// JSON file. What an operator may change on a running system is not here but
// in the policy document.
//
// Addresses are "ip:port". A file holds at most MaxFileBytes. All problems of
// a file are reported together as a *finding.Error.
package settings
