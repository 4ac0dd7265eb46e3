// Package lifecycle interprets the state charts of package charts with
// qmuntal/stateless. A chart is checked when it is loaded; its problems are
// reported together, each with its place in the file. Docs/state-charts.md is
// drawn from the same files.
package lifecycle
