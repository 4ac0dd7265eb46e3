package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

func ran(name, domain string, crashes int, executions map[string]int) TargetReport {
	return TargetReport{Name: name, Domain: domain, Report: targetd.Report{Crashes: crashes, Executions: executions}}
}

// Guards against experiments that pass although a rule is broken.
func TestVerifyFindsEachViolation(t *testing.T) {
	yes := []Answer{{Key: "k", Executed: outcome.Yes}}
	for name, c := range map[string]struct {
		answers []Answer
		targets []TargetReport
		checks  checks
		found   int
	}{
		"none":                {yes, []TargetReport{ran("a", "x", 2, map[string]int{"k": 1}), ran("b", "y", 2, nil)}, checks{true, true}, 0},
		"twice at one":        {yes, []TargetReport{ran("a", "x", 0, map[string]int{"k": 2})}, checks{}, 1},
		"twice at two":        {yes, []TargetReport{ran("a", "x", 0, map[string]int{"k": 1}), ran("b", "x", 0, map[string]int{"k": 1})}, checks{}, 1},
		"told no":             {[]Answer{{Key: "k", Executed: outcome.No}}, []TargetReport{ran("a", "x", 0, map[string]int{"k": 1})}, checks{}, 1},
		"unknown is no fault": {[]Answer{{Key: "k", Executed: outcome.Unknown}}, []TargetReport{ran("a", "x", 0, map[string]int{"k": 1})}, checks{}, 0},
		"cut":                 {[]Answer{{Executed: outcome.Yes, Broken: 1}}, nil, checks{nothingCut: true}, 1},
		"no answer":           {[]Answer{{Executed: outcome.Unknown}}, nil, checks{nothingCut: true}, 1},
		"cut by a kill":       {[]Answer{{Executed: outcome.Yes, Broken: 1}}, nil, checks{}, 0},
		"poison":              {nil, []TargetReport{ran("a", "x", 2, nil), ran("b", "x", 1, nil)}, checks{poisonCrashes: true}, 1},
	} {
		assert.Len(t, verify(name, c.answers, c.targets, c.checks).Violations, c.found, name)
	}
}
