package benchmarks

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jacinthstall/jacinthstall/internal/figures"
)

// Output is the format of the printed figures.
type Output string

// Formats.
const (
	Text Output = "text"
	JSON Output = "json"
)

// OptionError is an option with a value that does not exist.
type OptionError struct {
	Option string
	Value  string
}

// Error names the option and the value.
func (e *OptionError) Error() string {
	return fmt.Sprintf("benchmarks: no %s named %q", e.Option, e.Value)
}

// MissedBoundsError reports how many figures miss their bound.
type MissedBoundsError struct {
	Count int
}

// Error states the count.
func (e *MissedBoundsError) Error() string {
	return fmt.Sprintf("benchmarks: %d figures miss their bound", e.Count)
}

// Run measures the group with a name, all groups when it is empty, and writes
// the figures of each group when it is measured. It returns an *OptionError, an
// error of w or of a measurement, or a *MissedError when a figure misses its bound.
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

// jsonFigure is one figure in JSON output.
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

// writeFigures prints one line for each figure and returns how many miss their bound.
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
