package experiment

import (
	"fmt"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

// maxPoisonCrashes is the number of targets of a failure domain that identical
// requests may crash.
const maxPoisonCrashes = 2

// RequestOutcome is what a caller was told of one request.
type RequestOutcome struct {
	Key            string // Empty for idempotent requests.
	Executed       outcome.Executed
	Reason         outcome.Reason
	BrokenAttempts int // Attempts whose connection broke.
	Resent         bool
}

// TargetReport is what one target executed.
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
	ExecutedKeys   int // Keys that targets executed.
	Crashes        int // Crashes of targets.
	Violations     []string
	// LongestShutdown is the longest planned stop, look-up lifetime included.
	LongestShutdown time.Duration
	// OtherOutcomes counts the answers that are not "yes" by executed, reason and
	// whether the request was resent.
	OtherOutcomes map[string]int
}

// extraChecks selects the rules that hold in a scenario beside those on keys.
type extraChecks struct {
	noInterruptedRequests bool // No attempt broke.
	limitPoisonCrashes    bool // All crashes are due to identical requests.
}

// verify compares what callers were told with what targets executed.
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
			result.addViolation("key %s was executed, its caller was told no (%s, resent %t)", requestOutcome.Key, requestOutcome.Reason, requestOutcome.Resent)
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

// interrupted reports whether a request was sent and has no answer of a target. A
// resend with the key of an answered request is judged by its key.
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
