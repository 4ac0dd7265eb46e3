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

func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// drainBound is how long after its record says so a leaving target may get new
// requests, while nothing disturbs the store.
const drainBound = 2500 * time.Millisecond

// checkGuarantees compares what callers were told with what targets executed.
func (r *Deployment) checkGuarantees() []Violation {
	var list []Violation
	add := func(promise, format string, args ...any) {
		list = append(list, Violation{promise, fmt.Sprintf(format, args...)})
	}
	executed := map[string]int{}
	for _, t := range r.targets {
		for id, n := range t.Executions() {
			executed[id] += n
		}
	}
	for _, o := range r.recorder.all() {
		n := executed[o.id]
		if !o.idempotent && n > 1 {
			add("at most once", "%s was executed %d times", o.id, n)
		}
		if !o.idempotent && o.reportsNotExecuted() && n > 0 {
			add("true \"not run\"", "%s was told %d and executed %d times", o.id, o.status, n)
		}
		if o.status >= 200 && o.status < 300 {
			r.checkSuccess(o, n, add)
		}
		if o.status == 404 {
			add("configuration never reverts", "%s was told 404 by %s, though every version has its route", o.id, o.instance.name)
		}
	}
	list = append(list, r.shutdownViolations()...)
	return append(list, r.violations...)
}

// checkSuccess checks that a success is the whole answer to its own request.
func (r *Deployment) checkSuccess(o requestOutcome, executed int, add func(string, string, ...any)) {
	path := "/unsafe/" + o.id
	if o.idempotent {
		path = "/safe/" + o.id
	}
	if !strings.Contains(o.body, " "+path+" by ") {
		add("own whole answer", "%s got %q", o.id, o.body)
	}
	if o.signature == "" {
		add("own whole answer", "%s got a success without a signature", o.id)
	}
	if executed == 0 {
		add("own whole answer", "%s got a success and was not executed", o.id)
	}
}

// interval is a time in which something held.
type interval struct {
	instance   *instance
	start, end time.Time
}

// shutdownViolations finds requests that a planned stop cut: the connection ended
// without an answer although nothing else disturbed the instance.
func (r *Deployment) shutdownViolations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Violation
	for _, o := range r.recorder.all() {
		if o.status != 0 {
			continue
		}
		for _, s := range r.gracefulShutdowns {
			during := o.instance == s.instance && o.sentAt.Before(s.end) && o.doneAt.After(s.start)
			if during && !r.affectedByFault(o.instance, o.sentAt, o.doneAt) && r.wasExecuted(o.id) {
				list = append(list, Violation{"planned stops cut nothing", fmt.Sprintf("%s was cut by %s", o.id, o.instance.name)})
			}
		}
	}
	return list
}

func (r *Deployment) wasExecuted(id string) bool {
	for _, t := range r.targets {
		if t.Executions()[id] > 0 {
			return true
		}
	}
	return false
}

// affectedByFault reports whether an unplanned fault touched an instance in a span,
// or shortly before it.
func (r *Deployment) affectedByFault(in *instance, from, to time.Time) bool {
	for _, s := range r.faultIntervals {
		if (s.instance == nil || s.instance == in) && from.Before(s.end.Add(faultSettleTime)) && to.After(s.start) {
			return true
		}
	}
	return false
}

// faultSettleTime is how long after a fault its effects may last.
const faultSettleTime = 4 * time.Second
