package entry

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/membertable"
)

// observedMembers returns the members of the region in the form that proposals
// need.
func (inst *Instance) observedMembers() []membertable.ObservedMember {
	var list []membertable.ObservedMember
	for _, member := range inst.members.view().Members {
		if member.Region != inst.settings.Region || member.Incarnation == 0 {
			continue
		}
		observed := membertable.ObservedMember{Member: membertable.Member{Name: member.Name, Incarnation: member.Incarnation,
			Domain: member.Domain}, ConfirmedVersion: member.TableVersion}
		switch {
		case member.State == membership.Gone:
			observed.State = membertable.Gone
		case member.State == membership.Leaving:
			observed.State = membertable.Leaving
		case member.Suspected:
			observed.State = membertable.Unresponsive
		}
		list = append(list, observed)
	}
	return list
}

// proposeTable writes the next version of the table when the members changed
// and it is this instance's turn.
func (inst *Instance) proposeTable(ctx context.Context) {
	observed := inst.observedMembers()
	inst.memberTable.mu.Lock()
	record, changed := inst.memberTable.holder.Propose(observed)
	revision, ready := inst.memberTable.revision, inst.memberTable.loaded && !inst.memberTable.holder.Suspended()
	now := time.Now()
	if !changed {
		inst.memberTable.changeSeenAt = time.Time{}
	} else if inst.memberTable.changeSeenAt.IsZero() {
		inst.memberTable.changeSeenAt = now
	}
	wait := settleTime + time.Duration(inst.proposerRank(observed))*proposeStep
	if record.NewestVersion() == 1 {
		wait += firstTableSettleTime
	}
	due := changed && now.Sub(inst.memberTable.changeSeenAt) >= wait
	inst.memberTable.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if !ready {
		_ = inst.readTableRecord(ctx)
		return
	}
	inst.writeTableRecord(ctx, record, revision)
}

// proposerRank returns the position of this instance among the live members of
// the region.
func (inst *Instance) proposerRank(observed []membertable.ObservedMember) int {
	return max(0, slices.IndexFunc(slices.DeleteFunc(slices.Clone(observed), func(o membertable.ObservedMember) bool {
		return o.State != membertable.Alive
	}), func(o membertable.ObservedMember) bool { return o.Name == inst.settings.Name }))
}

// writeTableRecord replaces the record on the platform. After a conflict or an
// unknown result, the record is read again, and the next proposal is based on
// it.
func (inst *Instance) writeTableRecord(ctx context.Context, record membertable.Record, revision uint64) {
	data, err := record.Encode()
	if err != nil {
		return
	}
	next, err := inst.platform.Put(ctx, membertable.RecordKey(inst.settings.Region), data, revision)
	if err == nil {
		inst.applyTableRecord(data, next)
		return
	}
	inst.events.Emit(events.MemberTableNotWritten, log.Fields{"version": record.NewestVersion(), "error": err.Error()})
	inst.memberTable.mu.Lock()
	inst.memberTable.loaded, inst.memberTable.changeSeenAt = false, time.Now()
	inst.memberTable.mu.Unlock()
}
