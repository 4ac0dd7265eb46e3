package entry

import (
	"context"
	"time"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/scheduling"
	"github.com/jacinthstall/jacinthstall/slots"
)

const (
	// maxRequestTime bounds one request. A new home must assume slots busy for
	// as long as a request of the old home may run.
	maxRequestTime = 30 * time.Second
	maxQueueLength = 4096 // Requests queued for one service.
	// loadInterval keeps load reports within the control traffic of an
	// instance; shorter ones improve the choice of region only slightly.
	loadInterval = 250 * time.Millisecond
	loadMaxAge   = 4 * loadInterval
)

// scheduledChooser chooses targets through the scheduler.
type scheduledChooser struct {
	runner *scheduling.Runner
}

func (in *Instance) newRunner(peers scheduling.PeerSender) *scheduling.Runner {
	s := dispatch.New(dispatch.Config{
		Self:        dispatch.Member{Name: in.settings.Name, Region: in.settings.Region, Domain: in.settings.Domain},
		Incarnation: in.incarnation, MaxQueueLength: maxQueueLength, GrantTTL: maxRequestTime + dispatch.GrantExpiryMargin,
		LoadInterval: loadInterval, LoadMaxAge: loadMaxAge,
	})
	return scheduling.New(s, peers, scheduling.Hooks{
		OnAction:    in.logAction,
		StartProbe:  in.prober.start,
		RefreshView: in.suspendTable,
	})
}

func (in *Instance) logAction(a dispatch.Action) {
	if e, fields, ok := dispatch.Describe(a); ok {
		in.events.Emit(e, fields)
	}
}

// Acquire implements Chooser.
func (c *scheduledChooser) Acquire(ctx context.Context, w AcquireRequest) (Assignment, *outcome.Outcome) {
	if !anyTargetLeft(w) && w.PreviousAttempts > 0 {
		return Assignment{}, noTargetOutcome()
	}
	action := c.runner.Acquire(ctx, dispatch.Request{
		Service: w.Service.Name, EnteredAt: w.Arrived, Deadline: w.Deadline,
		Attempts: w.PreviousAttempts, Hops: w.Forwards, Excluded: w.Excluded,
	})
	switch a := action.(type) {
	case dispatch.Start:
		return c.newAssignment(w, a)
	case dispatch.Forward:
		return Assignment{ForwardTo: a.Instance}, nil
	case dispatch.Refuse:
		if a.Reason == outcome.ReasonNoService {
			// The document has the service, but the scheduler has no view of it yet.
			a.Reason = outcome.ReasonNoConfig
		}
		return Assignment{}, &outcome.Outcome{Status: refusalStatus(a.Reason), Reason: a.Reason, Executed: outcome.No}
	}
	return Assignment{}, noTargetOutcome()
}

func (c *scheduledChooser) newAssignment(w AcquireRequest, a dispatch.Start) (Assignment, *outcome.Outcome) {
	release := func(cause slots.ReleaseCause) {
		if cause == slots.Leaving {
			c.runner.TargetLeaving(a.Target)
		}
		c.runner.RequestFinished(a.Request.ID, cause)
	}
	for _, t := range w.Document.Targets {
		if t.Name == a.Target {
			return Assignment{Target: t, EndBy: a.EndBy, Release: release}, nil
		}
	}
	release(slots.Unused) // The target is not in the request's document any more.
	return Assignment{}, noTargetOutcome()
}

func noTargetOutcome() *outcome.Outcome {
	return &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoTarget, Executed: outcome.No}
}

// anyTargetLeft reports whether a target is left that is not excluded.
func anyTargetLeft(w AcquireRequest) bool {
	for _, t := range w.Document.Targets {
		if t.Service == w.Service.Name && !w.Excluded[t.Name] {
			return true
		}
	}
	return false
}

func refusalStatus(r outcome.Reason) int {
	switch r {
	case outcome.ReasonDeadline:
		return 504
	case outcome.ReasonCanceled:
		return 499
	}
	return 503
}

// view returns what the scheduler needs to know of the document, the instances
// and the member table.
func (in *Instance) schedulerView(d *policy.Document) dispatch.View {
	v := dispatch.View{TransportDelay: in.regionDelays.snapshot(), TableVersion: in.memberTable.version()}
	for _, m := range in.members.view().Members {
		if m.Name == in.settings.Name || m.Usable() {
			v.Members = append(v.Members, dispatch.Member{Name: m.Name, Region: m.Region, Domain: m.Domain})
		}
	}
	for _, s := range d.Services {
		v.Services = append(v.Services, dispatch.Service{Name: s.Name, MaxQueueTime: time.Duration(s.MaxQueueMs) * time.Millisecond})
	}
	for _, t := range d.Targets {
		if d.RegionOf(t.Domain) == in.settings.Region {
			v.Targets = append(v.Targets, in.schedulerTarget(t))
		}
	}
	return v
}

func (in *Instance) schedulerTarget(t policy.Target) dispatch.Target {
	home := in.memberTable.home(t.Name, t.Domain)
	move := in.memberTable.lastHomeMove(t.Name, t.Domain)
	out := dispatch.Target{
		Target:  slots.Target{Name: t.Name, Service: t.Service, Domain: t.Domain, Slots: t.Slots},
		Leaving: t.Leaving, NeverMoved: home.NeverMoved, NextHome: move.To.Name, PreviousHome: move.From.ID(), HomeSince: move.Version,
	}
	if home.Known {
		out.Home = home.Member.Name
	}
	return out
}
