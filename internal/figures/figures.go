// Package figures holds the measured figures of the system and their bounds,
// so that one command can print them all and tests can check them.
package figures

import (
	"fmt"
	"io"
)

// Figure is one measured value with its bound.
type Figure struct {
	Name  string
	Value float64
	Unit  string // Unit of Value and Bound, for example "ratio" or "ns".
	Bound float64
	// AtLeast is true when Value must not be below Bound; otherwise Value must
	// not be above it.
	AtLeast bool
	// WallClock is true when the value depends on the machine. Tests do not
	// check such figures.
	WallClock bool
	Command   string // Command that measures the value.
}

// Met reports whether the value keeps its bound.
func (f Figure) Met() bool {
	if f.AtLeast {
		return f.Value >= f.Bound
	}
	return f.Value <= f.Bound
}

// Print writes one line for each figure and returns how many miss their bound.
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
