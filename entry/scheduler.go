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
	// maxRequestTime bounds one request. A new home instance must treat slots
	// as busy for as long as a request granted by the previous home may run.
	maxRequestTime = 30 * time.Second
	maxQueueLength = 4096 // Queued requests of one service.
	// loadInterval keeps load reports within an instance's budget for control
	// traffic. Shorter intervals improve the choice of region only slightly.
	loadInterval = 250 * time.Millisecond
	loadMaxAge   = 4 * loadInterval
)

// scheduledChooser chooses targets with the scheduler.
type scheduledChooser struct {
	runner *scheduling.Runner
}

func (inst *Instance) newRunner(peers scheduling.PeerSender) *scheduling.Runner {
	s := dispatch.New(dispatch.Config{
		Self:        dispatch.Member{Name: inst.settings.Name, Region: inst.settings.Region, Domain: inst.settings.Domain},
		Incarnation: inst.incarnation, MaxQueueLength: maxQueueLength, GrantTTL: maxRequestTime + dispatch.GrantExpiryMargin,
		LoadInterval: loadInterval, LoadMaxAge: loadMaxAge,
	})
	return scheduling.New(s, peers, scheduling.Hooks{
		OnAction:    inst.logAction,
		StartProbe:  inst.prober.start,
		RefreshView: inst.suspendTable,
	})
}

func (inst *Instance) logAction(a dispatch.Action) {
	if e, fields, ok := dispatch.Describe(a); ok {
		inst.events.Emit(e, fields)
	}
}

// Acquire implements Chooser.
func (c *scheduledChooser) Acquire(ctx context.Context, request AcquireRequest) (Assignment, *outcome.Outcome) {
	if !anyTargetLeft(request) && request.PreviousAttempts > 0 {
		return Assignment{}, noTargetOutcome()
	}
	action := c.runner.Acquire(ctx, dispatch.Request{
		Service: request.Service.Name, EnteredAt: request.Arrived, Deadline: request.Deadline,
		Attempts: request.PreviousAttempts, Hops: request.Forwards, Excluded: request.Excluded,
	})
	switch a := action.(type) {
	case dispatch.Start:
		return c.newAssignment(request, a)
	case dispatch.Forward:
		return Assignment{ForwardTo: a.Instance}, nil
	case dispatch.Refuse:
		if a.Reason == outcome.ReasonNoService {
			// The service is in the document, but not yet in the scheduler's
			// view.
			a.Reason = outcome.ReasonNoConfig
		}
		return Assignment{}, &outcome.Outcome{Status: refusalStatus(a.Reason), Reason: a.Reason, Executed: outcome.No}
	}
	return Assignment{}, noTargetOutcome()
}

func (c *scheduledChooser) newAssignment(request AcquireRequest, start dispatch.Start) (Assignment, *outcome.Outcome) {
	release := func(cause slots.ReleaseCause) {
		if cause == slots.Leaving {
			c.runner.TargetLeaving(start.Target)
		}
		c.runner.RequestFinished(start.Request.ID, cause)
	}
	for _, t := range request.Document.Targets {
		if t.Name == start.Target {
			return Assignment{Target: t, EndBy: start.EndBy, Release: release}, nil
		}
	}
	release(slots.Unused) // The target is no longer in the request's document.
	return Assignment{}, noTargetOutcome()
}

func noTargetOutcome() *outcome.Outcome {
	return &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoTarget, Executed: outcome.No}
}

// anyTargetLeft reports whether the service has a target that is not excluded.
func anyTargetLeft(request AcquireRequest) bool {
	for _, t := range request.Document.Targets {
		if t.Service == request.Service.Name && !request.Excluded[t.Name] {
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

// schedulerView returns the view of the document, the instances and the member
// table that the scheduler works with.
func (inst *Instance) schedulerView(document *policy.Document) dispatch.View {
	view := dispatch.View{TransportDelay: inst.regionDelays.snapshot(), TableVersion: inst.memberTable.version()}
	for _, member := range inst.members.view().Members {
		if member.Name == inst.settings.Name || member.Usable() {
			view.Members = append(view.Members, dispatch.Member{Name: member.Name, Region: member.Region, Domain: member.Domain})
		}
	}
	for _, service := range document.Services {
		view.Services = append(view.Services, dispatch.Service{Name: service.Name, MaxQueueTime: time.Duration(service.MaxQueueMs) * time.Millisecond})
	}
	for _, target := range document.Targets {
		if document.RegionOf(target.Domain) == inst.settings.Region {
			view.Targets = append(view.Targets, inst.schedulerTarget(target))
		}
	}
	return view
}

func (inst *Instance) schedulerTarget(target policy.Target) dispatch.Target {
	home := inst.memberTable.home(target.Name, target.Domain)
	move := inst.memberTable.lastHomeMove(target.Name, target.Domain)
	result := dispatch.Target{
		Target:  slots.Target{Name: target.Name, Service: target.Service, Domain: target.Domain, Slots: target.Slots},
		Leaving: target.Leaving, NeverMoved: home.NeverMoved, NextHome: move.To.Name, PreviousHome: move.From.ID(), HomeSince: move.Version,
	}
	if home.Known {
		result.Home = home.Member.Name
	}
	return result
}
