// Package charts holds the state charts that package lifecycle interprets, one
// JSON file each.
package charts

import "embed"

// Names of the charts.
const (
	EntryInstanceFile = "entry-instance.json"
	TargetFile        = "target.json"
)

// Files holds all charts.
//
//go:embed *.json
var Files embed.FS
