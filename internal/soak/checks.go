package soak

import (
	"fmt"
	"strings"
	"time"
)

// Violation is a broken promise.
type Violation struct {
	Guarantee string
	Detail    string
}

func (violation Violation) String() string { return violation.Guarantee + ": " + violation.Detail }

// drainBound is how long after its record says so a leaving target may get new
// requests, while nothing disturbs the store.
const drainBound = 2500 * time.Millisecond

// checkGuarantees compares what callers were told with what targets executed.
func (deployment *Deployment) checkGuarantees() []Violation {
	var violations []Violation
	add := func(guarantee, format string, args ...any) {
		violations = append(violations, Violation{guarantee, fmt.Sprintf(format, args...)})
	}
	executed := map[string]int{}
	for _, target := range deployment.targets {
		for id, executions := range target.Executed() {
			executed[id] += executions
		}
	}
	for _, outcome := range deployment.recorder.all() {
		executions := executed[outcome.id]
		if !outcome.idempotent && executions > 1 {
			add("at most once", "%s was executed %d times", outcome.id, executions)
		}
		if !outcome.idempotent && outcome.reportsNotExecuted() && executions > 0 {
			add("true \"not run\"", "%s was told %d and executed %d times", outcome.id, outcome.status, executions)
		}
		if outcome.status >= 200 && outcome.status < 300 {
			deployment.checkSuccess(outcome, executions, add)
		}
		if outcome.status == 404 {
			add("configuration never reverts", "%s was told 404 by %s, though every version has its route", outcome.id, outcome.instance.name)
		}
	}
	violations = append(violations, deployment.shutdownViolations()...)
	return append(violations, deployment.violations...)
}

// checkSuccess checks that a success is the whole answer to its own request.
func (deployment *Deployment) checkSuccess(outcome requestOutcome, executions int, add func(string, string, ...any)) {
	path := "/unsafe/" + outcome.id
	if outcome.idempotent {
		path = "/safe/" + outcome.id
	}
	if !strings.Contains(outcome.body, " "+path+" by ") {
		add("own whole answer", "%s got %q", outcome.id, outcome.body)
	}
	if outcome.stamp == "" {
		add("own whole answer", "%s got a success without a signature", outcome.id)
	}
	if executions == 0 {
		add("own whole answer", "%s got a success and was not executed", outcome.id)
	}
}

// interval is a time in which something held.
type interval struct {
	instance   *instance
	start, end time.Time
}

// shutdownViolations finds requests that a planned stop cut: the connection ended
// without an answer although nothing else disturbed the instance.
func (deployment *Deployment) shutdownViolations() []Violation {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	var violations []Violation
	for _, outcome := range deployment.recorder.all() {
		if outcome.status != 0 {
			continue
		}
		for _, shutdown := range deployment.gracefulStops {
			during := outcome.instance == shutdown.instance && outcome.sentAt.Before(shutdown.end) && outcome.doneAt.After(shutdown.start)
			if during && !deployment.affectedByFault(outcome.instance, outcome.sentAt, outcome.doneAt) && deployment.wasExecuted(outcome.id) {
				violations = append(violations, Violation{"planned stops cut nothing", fmt.Sprintf("%s was cut by %s", outcome.id, outcome.instance.name)})
			}
		}
	}
	return violations
}

func (deployment *Deployment) wasExecuted(id string) bool {
	for _, target := range deployment.targets {
		if target.Executed()[id] > 0 {
			return true
		}
	}
	return false
}

// affectedByFault reports whether an unplanned fault touched an instance in a span,
// or shortly before it.
func (deployment *Deployment) affectedByFault(inst *instance, start, end time.Time) bool {
	for _, fault := range deployment.faultIntervals {
		if (fault.instance == nil || fault.instance == inst) && start.Before(fault.end.Add(faultSettleTime)) && end.After(fault.start) {
			return true
		}
	}
	return false
}

// faultSettleTime is how long after a fault its effects may last.
const faultSettleTime = 4 * time.Second
