package experiment

import (
	"fmt"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

// maxPoisonCrashes is the number of crashes that identical requests may cause among
// the targets of a failure domain.
const maxPoisonCrashes = 2

// RequestOutcome is the outcome of one request as its caller received it.
type RequestOutcome struct {
	Key            string // Idempotency key; empty for idempotent requests.
	Executed       outcome.Executed
	Reason         outcome.Reason
	BrokenAttempts int  // Attempts whose connection broke.
	Resent         bool // Sent again with the key of an earlier request.
}

// TargetReport states the executions and crashes of one target.
type TargetReport struct {
	Name   string
	Domain string
	targetd.Report
}

// Result holds the counts of a scenario and its violations.
type Result struct {
	Scenario       string
	Requests       int
	Executed       int
	NotExecuted    int
	Unknown        int
	BrokenAttempts int // Attempts whose connection broke.
	Resent         int
	ExecutedKeys   int // Number of different idempotency keys that targets executed.
	Crashes        int // Crashes of all targets.
	Violations     []string
	// LongestShutdown is the duration of the longest graceful shutdown, which
	// includes the lifetime of look-ups.
	LongestShutdown time.Duration
	// OtherOutcomes counts the outcomes other than outcome.Yes by execution, reason
	// and whether the request was resent.
	OtherOutcomes map[string]int
}

// extraChecks selects the checks that apply to a scenario in addition to those of
// idempotency keys.
type extraChecks struct {
	noInterruptedRequests bool // Every request is completed without a broken connection.
	limitPoisonCrashes    bool // All crashes are caused by identical requests and limited by maxPoisonCrashes.
}

// verify compares the outcomes that callers received with the executions and
// crashes of the targets.
func verify(scenario string, outcomes []RequestOutcome, targets []TargetReport, extra extraChecks) Result {
	result := Result{Scenario: scenario, Requests: len(outcomes), OtherOutcomes: map[string]int{}}
	executionsByKey, crashesByDomain := map[string]int{}, map[string]int{}
	for _, target := range targets {
		result.Crashes += target.Crashes
		crashesByDomain[target.Domain] += target.Crashes
		for key, count := range target.Executions {
			executionsByKey[key] += count
		}
	}
	result.ExecutedKeys = len(executionsByKey)
	for key, count := range executionsByKey {
		if count > 1 {
			result.addViolation("key %s was executed %d times", key, count)
		}
	}
	for _, requestOutcome := range outcomes {
		result.addOutcome(requestOutcome)
		if requestOutcome.Key != "" && requestOutcome.Executed == outcome.No && executionsByKey[requestOutcome.Key] > 0 {
			result.addViolation("key %s was executed, its caller was told no (%s, resent %t)",
				requestOutcome.Key, requestOutcome.Reason, requestOutcome.Resent)
		}
		if extra.noInterruptedRequests && requestOutcome.interrupted() {
			result.addViolation("a planned stop cut a request: key %q, finally %s", requestOutcome.Key, requestOutcome.Reason)
		}
	}
	for domain, count := range crashesByDomain {
		if extra.limitPoisonCrashes && count > maxPoisonCrashes {
			result.addViolation("identical requests crashed targets of %s %d times", domain, count)
		}
	}
	return result
}

func (result *Result) addViolation(format string, args ...any) {
	result.Violations = append(result.Violations, fmt.Sprintf(format, args...))
}

// interrupted reports whether an attempt of the request broke or its execution is
// unknown. An unknown execution of a resent request does not count, since resent
// requests are verified by their keys.
func (requestOutcome RequestOutcome) interrupted() bool {
	return requestOutcome.BrokenAttempts > 0 || requestOutcome.Executed == outcome.Unknown && !requestOutcome.Resent
}

func (result *Result) addOutcome(requestOutcome RequestOutcome) {
	switch requestOutcome.Executed {
	case outcome.Yes:
		result.Executed++
	case outcome.No:
		result.NotExecuted++
	default:
		result.Unknown++
	}
	if requestOutcome.Executed != outcome.Yes {
		result.OtherOutcomes[fmt.Sprintf("%s %s resent=%t", requestOutcome.Executed, requestOutcome.Reason, requestOutcome.Resent)]++
	}
	result.BrokenAttempts += requestOutcome.BrokenAttempts
	if requestOutcome.Resent {
		result.Resent++
	}
}
