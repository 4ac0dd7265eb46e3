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

// observedMembers returns the region's members as proposals need them.
func (in *Instance) observedMembers() []membertable.ObservedMember {
	var list []membertable.ObservedMember
	for _, m := range in.members.view().Members {
		if m.Region != in.settings.Region || m.Incarnation == 0 {
			continue
		}
		o := membertable.ObservedMember{Member: membertable.Member{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain}, ConfirmedVersion: m.TableVersion}
		switch {
		case m.State == membership.Gone:
			o.State = membertable.Gone
		case m.State == membership.Leaving:
			o.State = membertable.Leaving
		case m.Suspected:
			o.State = membertable.Unresponsive
		}
		list = append(list, o)
	}
	return list
}

// proposeTable writes the next version when the members changed and it is this
// instance's turn.
func (in *Instance) proposeTable(ctx context.Context) {
	view := in.observedMembers()
	in.memberTable.mu.Lock()
	record, changed := in.memberTable.holder.Propose(view)
	revision, ready := in.memberTable.revision, in.memberTable.loaded && !in.memberTable.holder.Suspended()
	now := time.Now()
	if !changed {
		in.memberTable.changeSeenAt = time.Time{}
	} else if in.memberTable.changeSeenAt.IsZero() {
		in.memberTable.changeSeenAt = now
	}
	wait := settleTime + time.Duration(in.proposerRank(view))*proposeStep
	if record.NewestVersion() == 1 {
		wait += firstTableSettleTime
	}
	due := changed && now.Sub(in.memberTable.changeSeenAt) >= wait
	in.memberTable.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if !ready {
		_ = in.readTableRecord(ctx)
		return
	}
	in.writeTableRecord(ctx, record, revision)
}

// proposerRank is the place of the own instance among the live members of the region.
func (in *Instance) proposerRank(view []membertable.ObservedMember) int {
	return max(0, slices.IndexFunc(slices.DeleteFunc(slices.Clone(view), func(o membertable.ObservedMember) bool {
		return o.State != membertable.Alive
	}), func(o membertable.ObservedMember) bool { return o.Name == in.settings.Name }))
}

// writeTableRecord replaces the record. After a conflict or an unknown outcome it is
// read again, and the next proposal starts from what was read.
func (in *Instance) writeTableRecord(ctx context.Context, r membertable.Record, revision uint64) {
	data, err := r.Encode()
	if err != nil {
		return
	}
	next, err := in.platform.Put(ctx, membertable.RecordKey(in.settings.Region), data, revision)
	if err == nil {
		in.applyTableRecord(data, next)
		return
	}
	in.events.Emit(events.MemberTableNotWritten, log.Fields{"version": r.NewestVersion(), "error": err.Error()})
	in.memberTable.mu.Lock()
	in.memberTable.loaded, in.memberTable.changeSeenAt = false, time.Now()
	in.memberTable.mu.Unlock()
}
