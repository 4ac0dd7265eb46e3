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
func verify(scenario string, answers []RequestOutcome, targets []TargetReport, c extraChecks) Result {
	r := Result{Scenario: scenario, Requests: len(answers), OtherOutcomes: map[string]int{}}
	executed, crashed := map[string]int{}, map[string]int{}
	for _, t := range targets {
		r.Crashes += t.Crashes
		crashed[t.Domain] += t.Crashes
		for key, n := range t.Executions {
			executed[key] += n
		}
	}
	r.ExecutedKeys = len(executed)
	for key, n := range executed {
		if n > 1 {
			r.addViolation("key %s was executed %d times", key, n)
		}
	}
	for _, a := range answers {
		r.addOutcome(a)
		if a.Key != "" && a.Executed == outcome.No && executed[a.Key] > 0 {
			r.addViolation("key %s was executed, its caller was told no (%s, resent %t)", a.Key, a.Reason, a.Resent)
		}
		if c.noInterruptedRequests && a.interrupted() {
			r.addViolation("a planned stop cut a request: key %q, finally %s", a.Key, a.Reason)
		}
	}
	for domain, n := range crashed {
		if c.limitPoisonCrashes && n > maxPoisonCrashes {
			r.addViolation("identical requests crashed targets of %s %d times", domain, n)
		}
	}
	return r
}

func (r *Result) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// interrupted reports whether a request was sent and has no answer of a target. A
// resend with the key of an answered request is judged by its key.
func (a RequestOutcome) interrupted() bool {
	return a.BrokenAttempts > 0 || a.Executed == outcome.Unknown && !a.Resent
}

func (r *Result) addOutcome(a RequestOutcome) {
	switch a.Executed {
	case outcome.Yes:
		r.Executed++
	case outcome.No:
		r.NotExecuted++
	default:
		r.Unknown++
	}
	if a.Executed != outcome.Yes {
		r.OtherOutcomes[fmt.Sprintf("%s %s resent=%t", a.Executed, a.Reason, a.Resent)]++
	}
	r.BrokenAttempts += a.BrokenAttempts
	if a.Resent {
		r.Resent++
	}
}
