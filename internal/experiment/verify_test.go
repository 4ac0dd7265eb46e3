package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

func targetReport(name, domain string, crashes int, executions map[string]int) TargetReport {
	return TargetReport{Name: name, Domain: domain, Report: targetd.Report{Crashes: crashes, Executions: executions}}
}

// Guards against experiments that pass although a rule is broken.
func TestVerifyFindsEachViolation(t *testing.T) {
	yes := []RequestOutcome{{Key: "k", Executed: outcome.Yes}}
	for name, c := range map[string]struct {
		answers []RequestOutcome
		targets []TargetReport
		checks  extraChecks
		found   int
	}{
		"none":                {yes, []TargetReport{targetReport("a", "x", 2, map[string]int{"k": 1}), targetReport("b", "y", 2, nil)}, extraChecks{true, true}, 0},
		"twice at one":        {yes, []TargetReport{targetReport("a", "x", 0, map[string]int{"k": 2})}, extraChecks{}, 1},
		"twice at two":        {yes, []TargetReport{targetReport("a", "x", 0, map[string]int{"k": 1}), targetReport("b", "x", 0, map[string]int{"k": 1})}, extraChecks{}, 1},
		"told no":             {[]RequestOutcome{{Key: "k", Executed: outcome.No}}, []TargetReport{targetReport("a", "x", 0, map[string]int{"k": 1})}, extraChecks{}, 1},
		"unknown is no fault": {[]RequestOutcome{{Key: "k", Executed: outcome.Unknown}}, []TargetReport{targetReport("a", "x", 0, map[string]int{"k": 1})}, extraChecks{}, 0},
		"cut":                 {[]RequestOutcome{{Executed: outcome.Yes, BrokenAttempts: 1}}, nil, extraChecks{noInterruptedRequests: true}, 1},
		"no answer":           {[]RequestOutcome{{Executed: outcome.Unknown}}, nil, extraChecks{noInterruptedRequests: true}, 1},
		"cut by a kill":       {[]RequestOutcome{{Executed: outcome.Yes, BrokenAttempts: 1}}, nil, extraChecks{}, 0},
		"poison":              {nil, []TargetReport{targetReport("a", "x", 2, nil), targetReport("b", "x", 1, nil)}, extraChecks{limitPoisonCrashes: true}, 1},
	} {
		assert.Len(t, verify(name, c.answers, c.targets, c.checks).Violations, c.found, name)
	}
}
