// Package steering holds what an entry instance believes about the
// deployment: the operators' routes and services, the targets, the evacuated
// failure domains and the other instances.
//
// A World is immutable. Package mirror builds a new one when a fact changes
// and replaces the one in force with one atomic switch. The package opens no
// connections and knows no wire format; package platform translates records of
// the store into facts.
package steering
