package benchmarks

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jacinthstall/jacinthstall/internal/figures"
)

// Output is a format for printed figures.
type Output string

// Output formats.
const (
	Text Output = "text"
	JSON Output = "json" // One object per line.
)

// OptionError reports an option with an unknown value.
type OptionError struct {
	Option string
	Value  string
}

// Error implements the error interface.
func (e *OptionError) Error() string {
	return fmt.Sprintf("benchmarks: no %s named %q", e.Option, e.Value)
}

// MissedBoundsError reports how many figures miss their bounds.
type MissedBoundsError struct {
	Count int
}

// Error implements the error interface.
func (e *MissedBoundsError) Error() string {
	return fmt.Sprintf("benchmarks: %d figures miss their bound", e.Count)
}

// Run measures the named group, or all groups if groupName is empty, and writes the
// figures of each group as soon as they are measured. It returns an *OptionError for
// an unknown group or output, the error of a measurement or of w, or a
// *MissedBoundsError if figures miss their bounds.
func Run(w io.Writer, groups []Group, groupName string, output Output) error {
	if output != Text && output != JSON {
		return &OptionError{"output", string(output)}
	}
	missed, found := 0, false
	for _, group := range groups {
		if groupName != "" && groupName != group.Name {
			continue
		}
		found = true
		list, err := group.Figures()
		if err != nil {
			return err
		}
		count, err := writeFigures(w, list, output)
		if err != nil {
			return err
		}
		missed += count
	}
	switch {
	case !found:
		return &OptionError{"group", groupName}
	case missed > 0:
		return &MissedBoundsError{missed}
	}
	return nil
}

// jsonFigure is a figure in JSON output.
type jsonFigure struct {
	Name      string  `json:"name"`
	Value     float64 `json:"value"`
	Unit      string  `json:"unit"`
	Bound     float64 `json:"bound"`
	AtLeast   bool    `json:"atLeast"`
	Met       bool    `json:"met"`
	WallClock bool    `json:"wallClock"`
	Command   string  `json:"command"`
}

// writeFigures writes a line for each figure and returns how many miss their bounds.
func writeFigures(w io.Writer, list []figures.Figure, output Output) (int, error) {
	if output == Text {
		return figures.Print(w, list), nil
	}
	missed, encoder := 0, json.NewEncoder(w)
	for _, f := range list {
		if !f.Met() {
			missed++
		}
		if err := encoder.Encode(jsonFigure{f.Name, f.Value, f.Unit, f.Bound, f.AtLeast, f.Met(), f.WallClock, f.Command}); err != nil {
			return missed, err
		}
	}
	return missed, nil
}
