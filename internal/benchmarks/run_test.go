package benchmarks_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/benchmarks"
	"github.com/jacinthstall/jacinthstall/internal/figures"
)

func groups(value float64) []benchmarks.Group {
	return []benchmarks.Group{
		{Name: "one", Figures: func() ([]figures.Figure, error) {
			return []figures.Figure{{Name: "first", Value: value, Unit: "s", Bound: 2}}, nil
		}},
		{Name: "two", Figures: func() ([]figures.Figure, error) {
			return []figures.Figure{{Name: "second", Value: 1, Unit: "s", Bound: 1, AtLeast: true}}, nil
		}},
	}
}

// Guards against a benchmark command that succeeds although a figure misses its bound.
func TestRunFailsWhenAFigureMissesItsBound(t *testing.T) {
	for _, output := range []benchmarks.Output{benchmarks.Text, benchmarks.JSON} {
		var b bytes.Buffer
		require.NoError(t, benchmarks.Run(&b, groups(2), "", output))
		var missed *benchmarks.MissedBoundsError
		require.ErrorAs(t, benchmarks.Run(&b, groups(2.1), "", output), &missed)
		assert.Equal(t, 1, missed.Count)
	}
}

func TestRunMeasuresOnlyTheNamedGroup(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, benchmarks.Run(&b, groups(9), "two", benchmarks.JSON))
	var got map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &got))
	assert.Equal(t, "second", got["name"])
	assert.Equal(t, true, got["met"])
}

// Guards against a failed measurement that looks like one that met its bounds.
func TestRunReturnsTheErrorOfAMeasurement(t *testing.T) {
	failed := errors.New("not measured")
	list := []benchmarks.Group{{Name: "one", Figures: func() ([]figures.Figure, error) { return nil, failed }}}
	assert.ErrorIs(t, benchmarks.Run(&bytes.Buffer{}, list, "", benchmarks.Text), failed)
}

// Guards against a group that is missing from the benchmark command.
func TestGroupsAreComplete(t *testing.T) {
	var names []string
	for _, g := range benchmarks.Groups() {
		names = append(names, g.Name)
	}
	assert.Equal(t, []string{"policy", "configuration", "capacity", "overhead"}, names)
}

func TestRunRejectsUnknownOptions(t *testing.T) {
	var unknown *benchmarks.OptionError
	assert.ErrorAs(t, benchmarks.Run(&bytes.Buffer{}, groups(1), "three", benchmarks.Text), &unknown)
	assert.ErrorAs(t, benchmarks.Run(&bytes.Buffer{}, groups(1), "", "xml"), &unknown)
}
