package dispatch

import (
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

// Describe returns the log event of an action with its fields. It returns false
// for announcements, which decide nothing.
func Describe(action Action) (events.Event, log.Fields, bool) {
	switch a := action.(type) {
	case Start:
		return events.RequestStarted, log.Fields{"request": a.Request.ID, "service": a.Request.Service, "target": a.Target, "home": a.Home,
			"grant": a.GrantID, "age": millis(a.Inputs.Age), "attempts": a.Request.Attempts, "hops": a.Request.Hops, "queued": a.Inputs.Queued}, true
	case Forward:
		return events.RequestForwarded, log.Fields{"request": a.Request.ID, "service": a.Request.Service, "region": a.Region, "to": a.Instance,
			"age": millis(a.Inputs.Age), "queued": a.Inputs.Queued, "wait": millis(a.Inputs.ExpectedWait), "remoteWait": millis(a.Inputs.RemoteWait)}, true
	case Refuse:
		return events.RequestNotScheduled, log.Fields{"request": a.Request.ID, "service": a.Request.Service, "reason": a.Reason, "waited": a.WasQueued,
			"age": millis(a.Inputs.Age), "attempts": a.Request.Attempts, "queued": a.Inputs.Queued, "wait": millis(a.Inputs.ExpectedWait),
			"remoteWait": millis(a.Inputs.RemoteWait), "limit": millis(a.Inputs.Limit)}, true
	case SendGrant:
		return events.SlotGranted, log.Fields{"service": a.Service, "target": a.Target, "grant": a.GrantID, "to": a.To, "age": millis(a.Age)}, true
	case SendRelease:
		return events.SlotReleased, log.Fields{"target": a.Target, "grant": a.GrantID, "to": a.To, "cause": a.Cause.String()}, true
	case Probe:
		return events.TargetProbed, log.Fields{"target": a.Target}, true
	case RefreshView:
		return events.GrantsSuspended, log.Fields{"gap": millis(a.Gap)}, true
	}
	return events.Event{}, nil, false
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
