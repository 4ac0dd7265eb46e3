// Package figures defines measured values and their bounds. Commands print them and
// tests check them.
package figures

import (
	"fmt"
	"io"
)

// Figure is a measured value and its bound.
type Figure struct {
	Name  string
	Value float64
	Unit  string // Unit of Value and Bound, for example "ratio" or "ns".
	Bound float64
	// AtLeast makes Bound a lower bound; otherwise it is an upper bound.
	AtLeast bool
	// WallClock marks a value that depends on the speed of the machine. Tests do
	// not check such figures.
	WallClock bool
	Command   string // Command line that measures the value.
}

// Met reports whether Value is within Bound.
func (f Figure) Met() bool {
	if f.AtLeast {
		return f.Value >= f.Bound
	}
	return f.Value <= f.Bound
}

// Print writes a line for each figure and returns how many miss their bounds.
func Print(w io.Writer, list []Figure) int {
	missed := 0
	for _, f := range list {
		verdict, relation := "ok", "<="
		if f.AtLeast {
			relation = ">="
		}
		if !f.Met() {
			verdict = "MISSED"
			missed++
		}
		fmt.Fprintf(w, "%-6s %-60s %12.3f %-8s bound %s %.3f\n", verdict, f.Name, f.Value, f.Unit, relation, f.Bound)
	}
	return missed
}
