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

// Answer is what a caller was told of one request.
type Answer struct {
	Key      string // Empty for idempotent requests.
	Executed outcome.Executed
	Reason   outcome.Reason
	Broken   int // Attempts whose connection broke.
	Resent   bool
}

// TargetReport is what one target executed.
type TargetReport struct {
	Name   string
	Domain string
	targetd.Report
}

// Result holds the counts of a scenario and its violations.
type Result struct {
	Scenario   string
	Requests   int
	Yes        int
	No         int
	Unknown    int
	Broken     int // Attempts whose connection broke.
	Resent     int
	Keys       int // Keys that targets executed.
	Crashes    int // Crashes of targets.
	Violations []string
	// LongestStop is the longest planned stop, look-up lifetime included.
	LongestStop time.Duration
	// Others counts the answers that are not "yes" by executed, reason and
	// whether the request was resent.
	Others map[string]int
}

// checks selects the rules that hold in a scenario beside those on keys.
type checks struct {
	nothingCut    bool // No attempt broke.
	poisonCrashes bool // All crashes are due to identical requests.
}

// verify compares what callers were told with what targets executed.
func verify(scenario string, answers []Answer, targets []TargetReport, c checks) Result {
	r := Result{Scenario: scenario, Requests: len(answers), Others: map[string]int{}}
	executed, crashed := map[string]int{}, map[string]int{}
	for _, t := range targets {
		r.Crashes += t.Crashes
		crashed[t.Domain] += t.Crashes
		for key, n := range t.Executions {
			executed[key] += n
		}
	}
	r.Keys = len(executed)
	for key, n := range executed {
		if n > 1 {
			r.violate("key %s was executed %d times", key, n)
		}
	}
	for _, a := range answers {
		r.count(a)
		if a.Key != "" && a.Executed == outcome.No && executed[a.Key] > 0 {
			r.violate("key %s was executed, its caller was told no (%s, resent %t)", a.Key, a.Reason, a.Resent)
		}
		if c.nothingCut && a.cut() {
			r.violate("a planned stop cut a request: key %q, finally %s", a.Key, a.Reason)
		}
	}
	for domain, n := range crashed {
		if c.poisonCrashes && n > maxPoisonCrashes {
			r.violate("identical requests crashed targets of %s %d times", domain, n)
		}
	}
	return r
}

func (r *Result) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// cut reports whether a request was sent and has no answer of a target. A
// resend with the key of an answered request is judged by its key.
func (a Answer) cut() bool {
	return a.Broken > 0 || a.Executed == outcome.Unknown && !a.Resent
}

func (r *Result) count(a Answer) {
	switch a.Executed {
	case outcome.Yes:
		r.Yes++
	case outcome.No:
		r.No++
	default:
		r.Unknown++
	}
	if a.Executed != outcome.Yes {
		r.Others[fmt.Sprintf("%s %s resent=%t", a.Executed, a.Reason, a.Resent)]++
	}
	r.Broken += a.Broken
	if a.Resent {
		r.Resent++
	}
}
