// Package charts contains the state charts that package lifecycle interprets, one JSON
// file for each chart.
package charts

import "embed"

// File names of the charts.
const (
	EntryInstanceFile = "entry-instance.json"
	TargetFile        = "target.json"
)

// Files contains all charts.
//
//go:embed *.json
var Files embed.FS
