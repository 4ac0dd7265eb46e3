// Package settings reads and validates the start-up settings of an entry
// instance, a JSON file. Parameters that an operator can change at run time are
// in the policy document instead. The settings of an instance that runs on a
// platform with a metadata store are defined here as Node, but package platform
// reads them.
//
// Addresses have the form "ip:port". A file has at most MaxFileBytes. All
// findings of a file are reported together as a *finding.Error.
package settings
