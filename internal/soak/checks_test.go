package soak

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// Guards against excusing a lost request by a fault that cannot have caused it.
func TestCausesOfRequestsWithoutResponse(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a, b := &instance{name: "a"}, &instance{name: "b"}
	fault := func(kind faultType, inst *instance, from, to int) interval {
		return interval{kind, inst, at(from), at(to)}
	}
	request := requestOutcome{instance: a, connectedAt: at(9000), sentAt: at(10000), sentWholeAt: at(10000), doneAt: at(10500), err: io.EOF,
		deadline: requestDeadline}
	with := func(change func(*requestOutcome)) requestOutcome {
		changed := request
		change(&changed)
		return changed
	}
	passedOn, notPassedOn := requestRecord{arrivals: 1}, requestRecord{}
	for name, c := range map[string]struct {
		outcome requestOutcome
		record  requestRecord
		faults  []interval
		cause   string
	}{
		"no fault":                                  {request, passedOn, nil, causeNone},
		"waited unread":                             {request, notPassedOn, nil, causeNone},
		"store and targets disturbed":               {request, passedOn, []interval{fault(faultStore, nil, 0, 20000), fault(faultTarget, nil, 0, 20000)}, causeNone},
		"another instance killed":                   {request, passedOn, []interval{fault(faultKill, b, 9900, 11000)}, causeNone},
		"killed meanwhile":                          {request, passedOn, []interval{fault(faultKill, a, 10100, 11000)}, causeKilled},
		"killed before, connection older":           {request, notPassedOn, []interval{fault(faultKill, a, 9100, 9200)}, causeKilled},
		"killed long before":                        {request, passedOn, []interval{fault(faultKill, nil, 1000, 6999)}, causeNone},
		"killed shortly before":                     {request, passedOn, []interval{fault(faultKill, nil, 8000, 8500)}, causeDisrupted},
		"frozen meanwhile":                          {request, passedOn, []interval{fault(faultFreeze, a, 10100, 10200)}, causeFrozen},
		"crossed the close":                         {with(func(o *requestOutcome) { o.doneAt = at(10100) }), notPassedOn, nil, causeCrossedClose},
		"passed on and closed at once":              {with(func(o *requestOutcome) { o.doneAt = at(10100) }), passedOn, nil, causeNone},
		"behind another":                            {with(func(o *requestOutcome) { o.behind = true }), notPassedOn, nil, causeBehind},
		"behind another and passed on":              {with(func(o *requestOutcome) { o.behind = true }), passedOn, nil, causeNone},
		"target broke off before any byte":          {with(func(o *requestOutcome) { o.fault = wiretarget.FaultTruncate }), passedOn, nil, causeNone},
		"target broke off a part that had arrived":  {with(func(o *requestOutcome) { o.fault, o.partial = wiretarget.FaultTruncate, true }), passedOn, nil, causeTargetBrokeOff},
		"part had arrived, no fault of the target":  {with(func(o *requestOutcome) { o.partial = true }), passedOn, nil, causeNone},
		"part had arrived at the route's time-out":  {with(func(o *requestOutcome) { o.partial, o.doneAt = true, at(11800) }), passedOn, nil, causeDeadline},
		"part had arrived just before the deadline": {with(func(o *requestOutcome) { o.partial, o.deadline, o.doneAt = true, shortDeadline, at(10280) }), passedOn, nil, causeBeforeDeadline},
		"part had arrived well before the deadline": {with(func(o *requestOutcome) { o.partial, o.deadline, o.doneAt = true, shortDeadline, at(10270) }), passedOn, nil, causeNone},
		"nothing had arrived at the route's limit":  {with(func(o *requestOutcome) { o.doneAt = at(11800) }), passedOn, nil, causeNone},
		"caller left":                               {with(func(o *requestOutcome) { o.left = true }), passedOn, nil, causeCallerLeft},
	} {
		deployment := &Deployment{faultIntervals: c.faults}
		assert.Equal(t, c.cause, deployment.lossCause(c.outcome, c.record), name)
	}
}

func TestLagIsTheSumOfOverlappingDelays(t *testing.T) {
	start := time.Unix(1000, 0)
	var meter lagMeter
	meter.observe(start, start.Add(minLag-1))
	meter.observe(start, start.Add(100*time.Millisecond))
	meter.observe(start.Add(time.Second), start.Add(1300*time.Millisecond))
	assert.Zero(t, meter.total(start.Add(200*time.Millisecond), start.Add(900*time.Millisecond)))
	assert.Equal(t, 300*time.Millisecond, meter.total(start.Add(200*time.Millisecond), start.Add(2*time.Second)))
	assert.Equal(t, 400*time.Millisecond, meter.total(start.Add(50*time.Millisecond), start.Add(2*time.Second)))
}
