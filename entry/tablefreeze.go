package entry

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/membertable"
)

// detectFreeze suspends the table when the duty itself was frozen.
func (in *Instance) detectFreeze(now time.Time) {
	in.memberTable.mu.Lock()
	gap := now.Sub(in.memberTable.lastRun)
	first := in.memberTable.lastRun.IsZero()
	in.memberTable.lastRun = now
	in.memberTable.mu.Unlock()
	if !first && gap > dispatch.FreezeThreshold {
		in.suspendTable()
	}
}

// suspendTable gives up shares and homes until the record was read again. It does
// not block.
func (in *Instance) suspendTable() {
	in.memberTable.mu.Lock()
	defer in.memberTable.mu.Unlock()
	if in.memberTable.holder.Suspended() {
		return
	}
	in.memberTable.holder.Suspend()
	go in.refreshTable()
}

// refreshTable reads the record from the platform or a peer of the own domain,
// then resumes, with a new incarnation when the old one was replaced.
func (in *Instance) refreshTable() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		known := in.readTableRecord(ctx) == nil || in.fetchTableFromDomain(ctx)
		cancel()
		if in.resumeTable(known) {
			return
		}
		time.Sleep(tableTickInterval)
	}
}

func (in *Instance) resumeTable(known bool) bool {
	in.memberTable.mu.Lock()
	defer in.memberTable.mu.Unlock()
	if !known && !in.memberTable.holder.OnlyMemberInDomain() {
		return false
	}
	in.memberTable.viewInputs = schedulerViewInputs{} // The scheduler waits for a view, too.
	if in.memberTable.holder.ResumeAfterRefresh() {
		return true
	}
	in.members.reincarnate(uint64(time.Now().UnixNano()))
	record := in.memberTable.holder.Record()
	in.memberTable.holder = membertable.NewHolder(in.tableMember())
	in.memberTable.holder.ApplyRecord(record)
	in.events.Emit(events.MemberTableRetired, log.Fields{"version": record.NewestVersion()})
	return true
}

func (m *members) reincarnate(incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetIncarnation(time.Now(), incarnation)
}
