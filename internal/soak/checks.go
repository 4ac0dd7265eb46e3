package soak

import (
	"fmt"
	"strings"
	"time"
)

// Violation is a case in which a guarantee of the system did not hold.
type Violation struct {
	Guarantee string
	Detail    string
}

func (violation Violation) String() string { return violation.Guarantee + ": " + violation.Detail }

// drainBound is the time for which a target may still receive new requests after
// its record changes to draining or its failure domain is evacuated, provided
// that no fault is injected meanwhile.
const drainBound = 2500 * time.Millisecond

// checkGuarantees compares the responses that callers received with the
// executions of the targets. The returned violations include those that were
// found during the run.
func (deployment *Deployment) checkGuarantees() []Violation {
	var violations []Violation
	add := func(guarantee, format string, args ...any) {
		violations = append(violations, Violation{guarantee, fmt.Sprintf(format, args...)})
	}
	executionsByID := map[string]int{}
	for _, target := range deployment.targets {
		for id, executions := range target.Executions() {
			executionsByID[id] += executions
		}
	}
	for _, outcome := range deployment.recorder.all() {
		executions := executionsByID[outcome.id]
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

// checkSuccess checks that a successful response is complete, is signed, belongs
// to the request and comes from an execution of it.
func (deployment *Deployment) checkSuccess(outcome requestOutcome, executions int, add func(string, string, ...any)) {
	path := "/unsafe/" + outcome.id
	if outcome.idempotent {
		path = "/safe/" + outcome.id
	}
	if _, target, ok := strings.Cut(outcome.body, " "+path+" by "); !ok || !deployment.hasTarget(target) {
		add("own whole answer", "%s got %q", outcome.id, outcome.body)
	}
	if outcome.signature == "" {
		add("own whole answer", "%s got a success without a signature", outcome.id)
	}
	if executions == 0 {
		add("own whole answer", "%s got a success and was not executed", outcome.id)
	}
}

// hasTarget reports whether a target has the ID, which ends the body of each of its
// responses.
func (deployment *Deployment) hasTarget(id string) bool {
	for i := range deployment.targets {
		if id == fmt.Sprint("t", i) {
			return true
		}
	}
	return false
}

// interval is the time span of a shutdown or a fault. The instance is nil for a
// fault that affects all instances.
type interval struct {
	instance   *instance
	start, end time.Time
}

// shutdownViolations finds requests that a graceful shutdown interrupted: the
// request was executed but its connection ended without a response, although no
// injected fault affected the instance.
func (deployment *Deployment) shutdownViolations() []Violation {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	var violations []Violation
	for _, outcome := range deployment.recorder.all() {
		if outcome.status != 0 {
			continue
		}
		for _, shutdown := range deployment.gracefulShutdowns {
			duringShutdown := outcome.instance == shutdown.instance && outcome.sentAt.Before(shutdown.end) && outcome.doneAt.After(shutdown.start)
			if duringShutdown && !deployment.affectedByFault(outcome.instance, outcome.sentAt, outcome.doneAt) && deployment.wasExecuted(outcome.id) {
				violations = append(violations,
					Violation{"planned stops cut nothing", fmt.Sprintf("%s was cut by %s", outcome.id, outcome.instance.name)})
			}
		}
	}
	return violations
}

func (deployment *Deployment) wasExecuted(id string) bool {
	for _, target := range deployment.targets {
		if target.Executions()[id] > 0 {
			return true
		}
	}
	return false
}

// affectedByFault reports whether an injected fault affected an instance between
// start and end or within faultSettleTime before start. Graceful shutdowns are
// not faults in this sense. The caller must hold mu.
func (deployment *Deployment) affectedByFault(inst *instance, start, end time.Time) bool {
	for _, fault := range deployment.faultIntervals {
		if (fault.instance == nil || fault.instance == inst) && start.Before(fault.end.Add(faultSettleTime)) && end.After(fault.start) {
			return true
		}
	}
	return false
}

// faultSettleTime is the time for which the effects of a fault may outlast it.
const faultSettleTime = 4 * time.Second
