// Package steering defines an entry instance's state of the deployment: the
// operators' routes and services, the targets, the evacuated failure domains
// and the other instances.
//
// A State is immutable. Package mirror creates a new one for each update and
// replaces the current one atomically. This package opens no connections and
// is independent of the store's format; package platform translates records of
// the store into updates.
package steering
