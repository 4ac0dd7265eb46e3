// Package lifecycle interprets the state charts of package charts as state machines
// of github.com/qmuntal/stateless. A chart is checked when it is loaded; all findings
// are reported together, each with its position in the file. The page
// docs/state-charts.md is generated from the same files.
package lifecycle
