package entry

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/membertable"
)

// noticeFreeze suspends the table when the duty itself was frozen.
func (in *Instance) noticeFreeze(now time.Time) {
	in.table.mu.Lock()
	gap := now.Sub(in.table.checked)
	first := in.table.checked.IsZero()
	in.table.checked = now
	in.table.mu.Unlock()
	if !first && gap > dispatch.FreezeThreshold {
		in.frozen()
	}
}

// frozen gives up shares and homes until the record was read again. It does
// not block.
func (in *Instance) frozen() {
	in.table.mu.Lock()
	defer in.table.mu.Unlock()
	if in.table.holder.Suspended() {
		return
	}
	in.table.holder.Suspend()
	go in.refreshTable()
}

// refreshTable reads the record from the platform or a peer of the own domain,
// then resumes, with a new incarnation when the old one was replaced.
func (in *Instance) refreshTable() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		known := in.readTable(ctx) == nil || in.fetchFromDomain(ctx)
		cancel()
		if in.resumeTable(known) {
			return
		}
		time.Sleep(tableInterval)
	}
}

func (in *Instance) resumeTable(known bool) bool {
	in.table.mu.Lock()
	defer in.table.mu.Unlock()
	if !known && !in.table.holder.OnlyMemberInDomain() {
		return false
	}
	in.table.shown = viewKey{} // The scheduler waits for a view, too.
	if in.table.holder.ResumeAfterRefresh() {
		return true
	}
	in.members.reincarnate(uint64(time.Now().UnixNano()))
	record := in.table.holder.Record()
	in.table.holder = membertable.NewHolder(in.tableMember())
	in.table.holder.ApplyRecord(record)
	in.events.Emit(events.MemberTableRetired, log.Fields{"version": record.NewestVersion()})
	return true
}

func (m *members) reincarnate(incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetIncarnation(time.Now(), incarnation)
}
