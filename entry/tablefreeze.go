package entry

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/membertable"
)

// detectFreeze suspends the table when the goroutine that runs it was frozen.
func (inst *Instance) detectFreeze(now time.Time) {
	inst.memberTable.mu.Lock()
	gap := now.Sub(inst.memberTable.lastRun)
	first := inst.memberTable.lastRun.IsZero()
	inst.memberTable.lastRun = now
	inst.memberTable.mu.Unlock()
	if !first && gap > dispatch.FreezeThreshold {
		inst.suspendTable()
	}
}

// suspendTable gives up link shares and homes until the record has been read
// again. It does not block.
func (inst *Instance) suspendTable() {
	inst.memberTable.mu.Lock()
	defer inst.memberTable.mu.Unlock()
	if inst.memberTable.holder.Suspended() {
		return
	}
	inst.memberTable.holder.Suspend()
	go inst.refreshTable()
}

// refreshTable reads the record from the platform, or from a peer of the same
// failure domain, and then resumes. It takes a new incarnation when the record
// has replaced the old one.
func (inst *Instance) refreshTable() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		known := inst.readTableRecord(ctx) == nil || inst.fetchTableFromDomain(ctx)
		cancel()
		if inst.resumeTable(known) {
			return
		}
		time.Sleep(tableTickInterval)
	}
}

func (inst *Instance) resumeTable(known bool) bool {
	inst.memberTable.mu.Lock()
	defer inst.memberTable.mu.Unlock()
	if !known && !inst.memberTable.holder.OnlyMemberInDomain() {
		return false
	}
	// Makes updateSchedulerView set a view, which the scheduler waits for.
	inst.memberTable.viewInputs = schedulerViewInputs{}
	if inst.memberTable.holder.ResumeAfterRefresh() {
		return true
	}
	inst.members.reincarnate(uint64(time.Now().UnixNano()))
	record := inst.memberTable.holder.Record()
	inst.memberTable.holder = membertable.NewHolder(inst.tableMember())
	inst.memberTable.holder.ApplyRecord(record)
	inst.events.Emit(events.MemberTableRetired, log.Fields{"version": record.NewestVersion()})
	return true
}

func (m *members) reincarnate(incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetIncarnation(time.Now(), incarnation)
}
