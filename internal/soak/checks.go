package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// Violation is a case in which a guarantee of the system did not hold.
type Violation struct {
	Guarantee string
	Detail    string
	LogLines  []string // Lines of the instances' logs that name the request.
}

func (violation Violation) String() string {
	return strings.Join(append([]string{violation.Guarantee + ": " + violation.Detail}, violation.LogLines...), "\n      ")
}

const (
	// drainBound is the time for which a target may still receive new requests after
	// its record changes to draining or its failure domain is evacuated, provided
	// that no fault is injected meanwhile.
	drainBound = 2500 * time.Millisecond
	// stabilityTime is how long after a disruption of an instance the guarantees with
	// a time bound do not hold for it.
	stabilityTime = 3 * time.Second
	// lossSlack is the time after its last byte within which a request may cross the
	// end of its connection.
	lossSlack = 200 * time.Millisecond
	// statusCallerLeft may be sent to a caller that has closed its sending side, which
	// an instance cannot tell from one that has left.
	statusCallerLeft = 499
	// deadlineMargin is more than the time before a caller's deadline at which an
	// instance gives up a request.
	deadlineMargin = 25 * time.Millisecond
	// maxTracedViolations limits the violations whose log lines are looked up.
	maxTracedViolations = 40
)

// Causes of requests that end without a complete response.
const (
	causeCallerLeft      = "caller left"
	causeHalfClosed      = "caller closed its sending side"
	causeKilled          = "instance killed"
	causeFrozen          = "instance frozen"
	causeTargetBrokeOff  = "target broke off a response"
	causeDisrupted       = "instance disrupted shortly before"
	causeCrossedClose    = "crossed the close, not passed on"
	causeBehind          = "behind another, not passed on"
	causeNotSent         = "not sent completely, not passed on"
	causeDeadline        = "deadline or time-out reached while a response was passed on"
	causeBeforeDeadline  = "response cut within the margin before the deadline"
	causeLateUndisturbed = "no response long after the deadline"
	causeNone            = "unexplained"
)

// requestRecord is what all targets together have recorded of a request.
type requestRecord struct {
	arrivals   int
	executions []string // Target and time of each execution.
	wrongBody  bool
}

// requestRecords returns the records of all targets that have ever run.
func (deployment *Deployment) requestRecords() map[string]requestRecord {
	deployment.mu.Lock()
	targets := slices.Clone(deployment.targets)
	deployment.mu.Unlock()
	records := map[string]requestRecord{}
	for _, target := range targets {
		for id, history := range target.Histories() {
			record := records[id]
			record.arrivals += history.Arrivals
			record.wrongBody = record.wrongBody || history.WrongBody
			for _, at := range history.Executions {
				record.executions = append(record.executions, target.ID()+" at "+at.Format(clockFormat))
			}
			records[id] = record
		}
	}
	return records
}

const clockFormat = "15:04:05.000"

// checkGuarantees compares the responses that callers received with the
// executions of the targets. The returned violations include those that were
// found during the run.
func (deployment *Deployment) checkGuarantees(result *Result) {
	deployment.checkStatements()
	deployment.checkConfigVersions()
	deployment.checkPoison()
	records := deployment.requestRecords()
	sent := map[string]bool{}
	for _, outcome := range deployment.recorder.all() {
		sent[outcome.id] = true
		for _, violation := range deployment.checkOutcome(outcome, records[outcome.id]) {
			if len(result.Violations) < maxTracedViolations {
				violation.LogLines = deployment.logLines(outcome.id)
			}
			result.Violations = append(result.Violations, violation)
		}
		if outcome.status == 0 {
			cause := deployment.lossCause(outcome, records[outcome.id])
			result.Causes[cause]++
			deployment.log("unanswered, %s: %s %s %s-%s %s %v", cause, outcome.id, outcome.instance.name, outcome.sentAt.Format(clockFormat),
				outcome.doneAt.Format(clockFormat), outcome.variant(), outcome.err)
		}
	}
	for id, record := range records {
		if !sent[id] && len(record.executions) > 0 {
			result.Violations = append(result.Violations, Violation{Guarantee: "only callers' requests", Detail: id})
		}
	}
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	result.Violations = append(result.Violations, deployment.violations...)
}

func (deployment *Deployment) checkOutcome(outcome requestOutcome, record requestRecord) []Violation {
	var violations []Violation
	add := func(guarantee, format string, args ...any) {
		violations = append(violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf("%s (%s %s-%s, %s): ", outcome.id,
			outcome.instance.name, outcome.sentAt.Format(clockFormat), outcome.doneAt.Format(clockFormat), outcome.variant()) +
			fmt.Sprintf(format, args...) + fmt.Sprintf("; executions: %v", record.executions)})
	}
	if !outcome.idempotent && len(record.executions) > 1 {
		add("at most once", "executed more than once")
	}
	if !outcome.idempotent && outcome.reportsNotExecuted() && len(record.executions) > 0 {
		add("true \"not run\"", "got status %d and was executed", outcome.status)
	}
	if record.wrongBody {
		add("bodies unchanged", "a target got another body")
	}
	if outcome.status >= 200 && outcome.status < 300 {
		checkSuccess(outcome, record, add)
	}
	leftEarly := outcome.halfClosed && outcome.status == statusCallerLeft
	if outcome.status >= 300 && outcome.status < 500 && !outcome.reportsNotExecuted() && !leftEarly {
		add("configuration never reverts", "got status %d, though every version has its route", outcome.status)
	}
	if outcome.status == 0 {
		switch cause := deployment.lossCause(outcome, record); cause {
		case causeNone:
			add("no request is lost", "connection ended %s after the last byte with %v, %d arrivals", outcome.doneAt.Sub(outcome.sentWholeAt),
				outcome.err, record.arrivals)
		case causeLateUndisturbed:
			add("responses by the deadline", "%s", cause)
		}
	}
	return violations
}

// variant describes the request and its connection.
func (outcome requestOutcome) variant() string {
	words := []string{outcome.method}
	for word, applies := range map[string]bool{"kept": outcome.kept, "behind": outcome.behind, "left": outcome.left,
		"half-closed": outcome.halfClosed, "partial": outcome.partial} {
		if applies {
			words = append(words, word)
		}
	}
	slices.Sort(words[1:])
	if outcome.fault != "" {
		words = append(words, "fault="+outcome.fault)
	}
	return strings.Join(words, " ")
}

// checkSuccess checks that a successful response is complete, is signed, belongs
// to the request and comes from an execution of it.
func checkSuccess(outcome requestOutcome, record requestRecord, add func(string, string, ...any)) {
	target, own := strings.CutPrefix(outcome.body, outcome.method+" "+outcome.path+" by ")
	executedBy := func(execution string) bool { return strings.HasPrefix(execution, target+" at ") }
	if !own || !slices.ContainsFunc(record.executions, executedBy) {
		add("own whole answer", "got %q", outcome.body)
	}
	if outcome.signature == "" {
		add("own whole answer", "got a success without a signature")
	}
	if len(record.executions) == 0 {
		add("own whole answer", "got a success and was not executed")
	}
}

// lossCause returns why a request ended without a complete response. Disruptions of
// the store, of a target or of the links to it do not explain it, unless a target
// broke off a response that was already being passed on.
func (deployment *Deployment) lossCause(outcome requestOutcome, record requestRecord) string {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	during := func(kind faultType) bool {
		return deployment.faultDuring(kind, outcome.instance, outcome.sentAt, outcome.doneAt)
	}
	passedOn := record.arrivals > 0
	fromTarget := outcome.fault == wiretarget.FaultTruncate || outcome.fault == wiretarget.FaultCutAfter || outcome.fault == wiretarget.FaultUnframed
	switch {
	case outcome.left:
		return causeCallerLeft
	case during(faultKill), !passedOn && deployment.faultDuring(faultKill, outcome.instance, outcome.connectedAt, outcome.doneAt):
		return causeKilled
	case during(faultFreeze):
		return causeFrozen
	case outcome.halfClosed:
		return causeHalfClosed
	case outcome.partial && (fromTarget || during(faultTarget)):
		return causeTargetBrokeOff
	case outcome.partial && outcome.doneAt.Sub(outcome.sentAt) >= min(outcome.deadline, routeTimeout):
		return causeDeadline
	case outcome.partial && outcome.doneAt.Sub(outcome.sentAt) >= outcome.deadline-deadlineMargin:
		return causeBeforeDeadline
	case deployment.faultDuring(faultKill, outcome.instance, outcome.sentAt.Add(-stabilityTime), outcome.doneAt),
		deployment.faultDuring(faultFreeze, outcome.instance, outcome.sentAt.Add(-stabilityTime), outcome.doneAt):
		return causeDisrupted
	case outcome.timedOut():
		return causeLateUndisturbed
	case !passedOn && outcome.behind:
		return causeBehind
	case !passedOn && outcome.sentWholeAt.IsZero():
		return causeNotSent
	case !passedOn && outcome.doneAt.Sub(outcome.sentWholeAt) <= lossSlack+deployment.lag.total(outcome.sentAt, outcome.doneAt):
		return causeCrossedClose
	}
	return causeNone
}

// logLines returns the lines of all instances' logs that name a request.
func (deployment *Deployment) logLines(id string) []string {
	var lines []string
	for _, inst := range deployment.instances {
		file, err := os.Open(filepath.Join(inst.dir, "log"))
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		for scanner := bufio.NewScanner(file); scanner.Scan(); {
			if strings.Contains(scanner.Text(), `"`+id+`"`) {
				lines = append(lines, inst.name+" "+scanner.Text())
			}
		}
		_ = file.Close()
	}
	return lines
}

// faultType is what a fault disrupts.
type faultType int

const (
	faultKill    faultType = iota // The process of an instance.
	faultFreeze                   // The process of an instance, without ending it.
	faultStore                    // The store or an instance's link to it.
	faultTarget                   // A target or the links to it.
	faultSilence                  // Connections to the store that are open.
)

// interval is the time span of a fault. The instance is nil for a fault that
// affects all instances.
type interval struct {
	kind       faultType
	instance   *instance
	start, end time.Time
}

func (fault interval) affects(inst *instance, start, end time.Time) bool {
	return (fault.instance == nil || fault.instance == inst) && start.Before(fault.end) && end.After(fault.start)
}

// faultDuring reports whether a fault of a kind affected an instance between start
// and end. The caller must hold mu.
func (deployment *Deployment) faultDuring(kind faultType, inst *instance, start, end time.Time) bool {
	return slices.ContainsFunc(deployment.faultIntervals, func(fault interval) bool {
		return fault.kind == kind && fault.affects(inst, start, end)
	})
}

// affectedByFault reports whether an injected fault affected an instance between
// start and end or within faultSettleTime before start. Graceful shutdowns are
// not faults in this sense. The caller must hold mu.
func (deployment *Deployment) affectedByFault(inst *instance, start, end time.Time) bool {
	return slices.ContainsFunc(deployment.faultIntervals, func(fault interval) bool {
		return fault.affects(inst, start.Add(-faultSettleTime), end)
	})
}

// faultSettleTime is the time for which the effects of a fault may outlast it.
const faultSettleTime = 4 * time.Second
