package lifecycle_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/charts"
	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/lifecycle"
)

func loadChart(t *testing.T, name string) *lifecycle.Chart {
	t.Helper()
	c, err := lifecycle.Load(charts.Files, name)
	require.NoError(t, err)
	return c
}

// The page must show the charts that the code interprets.
func TestPageMatchesCharts(t *testing.T) {
	page, err := os.ReadFile("../docs/state-charts.md")
	require.NoError(t, err)
	want := lifecycle.Page(loadChart(t, charts.EntryInstanceFile), loadChart(t, charts.TargetFile))
	assert.Equal(t, want, string(page), "run: go run ./lifecycle/genpage > docs/state-charts.md")
}

func TestTransitionPaths(t *testing.T) {
	for _, c := range []struct {
		chart, triggers, end string
	}{
		{charts.EntryInstanceFile, "opened stop lookups-expired drained", "stopped"},
		{charts.EntryInstanceFile, "failed", "stopped"},
		{charts.TargetFile, "answered crashed probed warm", "ready"},
		{charts.TargetFile, "unreachable probed crashed unreachable probed", "cold"},
		{charts.TargetFile, "answered left returned", "unknown"},
	} {
		var seen []string
		m := loadChart(t, c.chart).NewMachine(func(from, trigger, to string) { seen = append(seen, trigger) })
		for _, trigger := range strings.Fields(c.triggers) {
			require.NoError(t, m.Fire(trigger), c.triggers)
		}
		assert.Equal(t, c.end, m.State(), c.triggers)
		assert.Equal(t, strings.Fields(c.triggers), seen)
	}
}

// Guards against a health report that undoes "leaving", and against a stopped
// instance that serves again.
func TestTriggersThatAreNotPermitted(t *testing.T) {
	for _, c := range []struct{ chart, triggers, refused string }{
		{charts.TargetFile, "left", "answered"},
		{charts.TargetFile, "left", "probed"},
		{charts.TargetFile, "crashed", "answered"},
		{charts.EntryInstanceFile, "opened stop lookups-expired drained", "opened"},
		{charts.EntryInstanceFile, "opened stop", "opened"},
	} {
		m := loadChart(t, c.chart).NewMachine(nil)
		for _, trigger := range strings.Fields(c.triggers) {
			require.NoError(t, m.Fire(trigger))
		}
		before := m.State()
		var refused *lifecycle.TransitionError
		require.ErrorAs(t, m.Fire(c.refused), &refused)
		assert.Equal(t, before, m.State())
	}
}

// Guards against a chart with a fault that is noticed only when it is used.
func TestFindingPositions(t *testing.T) {
	const head = "{\n\"name\": \"x\", \"initial\": \"a\", \"final\": [\"b\"],\n\"states\": [{\"name\": \"a\"}, {\"name\": \"b\"}],\n\"transitions\": [\n"
	for _, c := range []struct {
		name, src, message, pointer string
		line, column                int
	}{
		{"unknown target", head + `{"from": "a", "trigger": "t", "to": "c"}]}`, `"c" is not a state`, "/transitions/0/to", 5, 37},
		{"leaves a final state", head + `{"from": "a", "trigger": "t", "to": "b"},` + "\n" + `{"from": "b", "trigger": "t", "to": "a"}]}`,
			`final state "b" is left`, "/transitions/1/from", 6, 10},
		{"two targets", head + `{"from": "a", "trigger": "t", "to": "b"},` + "\n" + `{"from": "a", "trigger": "t", "to": "a"}]}`,
			`trigger "t" leaves "a" twice`, "/transitions/1/trigger", 6, 26},
		{"never entered", head + "]}", `state "b" is never entered`, "/states/1/name", 3, 36},
		{"unknown field", "{\n\"nam\": \"x\"}", `unknown field "nam"`, "", 2, 0},
		{"unknown initial", `{"name": "x", "initial": "z", "states": []}`, `"z" is not a state`, "/initial", 1, 26},
	} {
		_, err := lifecycle.Parse("chart.json", []byte(c.src))
		var problems *finding.Error
		require.ErrorAs(t, err, &problems, c.name)
		found := false
		for _, f := range problems.Findings {
			if strings.Contains(f.Message, c.message) {
				found = true
				assert.Equal(t, c.pointer, f.Pointer, c.name)
				assert.Equal(t, c.line, f.Line, c.name)
				if c.column > 0 {
					assert.Equal(t, c.column, f.Column, c.name)
				}
			}
		}
		assert.True(t, found, "%s: %v", c.name, err)
	}
}
