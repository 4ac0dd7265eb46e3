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

// Guards against experiments that pass although a guarantee was violated.
func TestVerifyFindsEachViolation(t *testing.T) {
	executed := []RequestOutcome{{Key: "k", Executed: outcome.Yes}}
	for name, test := range map[string]struct {
		outcomes   []RequestOutcome
		targets    []TargetReport
		checks     extraChecks
		violations int
	}{
		"no violation":                    {executed, []TargetReport{targetReport("a", "x", 2, map[string]int{"k": 1}), targetReport("b", "y", 2, nil)}, extraChecks{true, true}, 0},
		"executed twice by a target":      {executed, []TargetReport{targetReport("a", "x", 0, map[string]int{"k": 2})}, extraChecks{}, 1},
		"executed by two targets":         {executed, []TargetReport{targetReport("a", "x", 0, map[string]int{"k": 1}), targetReport("b", "x", 0, map[string]int{"k": 1})}, extraChecks{}, 1},
		"reported as not executed":        {[]RequestOutcome{{Key: "k", Executed: outcome.No}}, []TargetReport{targetReport("a", "x", 0, map[string]int{"k": 1})}, extraChecks{}, 1},
		"unknown execution is allowed":    {[]RequestOutcome{{Key: "k", Executed: outcome.Unknown}}, []TargetReport{targetReport("a", "x", 0, map[string]int{"k": 1})}, extraChecks{}, 0},
		"broken attempt in a shutdown":    {[]RequestOutcome{{Executed: outcome.Yes, BrokenAttempts: 1}}, nil, extraChecks{noInterruptedRequests: true}, 1},
		"unknown execution in a shutdown": {[]RequestOutcome{{Executed: outcome.Unknown}}, nil, extraChecks{noInterruptedRequests: true}, 1},
		"broken attempt after a kill":     {[]RequestOutcome{{Executed: outcome.Yes, BrokenAttempts: 1}}, nil, extraChecks{}, 0},
		"too many poison crashes":         {nil, []TargetReport{targetReport("a", "x", 2, nil), targetReport("b", "x", 1, nil)}, extraChecks{limitPoisonCrashes: true}, 1},
	} {
		assert.Len(t, verify(name, test.outcomes, test.targets, test.checks).Violations, test.violations, name)
	}
}
