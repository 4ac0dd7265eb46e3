package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/membertable"
)

const (
	tableTickInterval = 100 * time.Millisecond
	tableWatchTime    = 5 * time.Second
	tableTimeout      = 2 * time.Second
	// tableWatchers is the number of instances of each failure domain that
	// watch the platform's record. The others fetch it from a peer whose
	// heartbeats name a higher version.
	tableWatchers = 2
	// proposeStep is the additional delay of each further member of the region
	// before it proposes a table, so that usually a single instance writes.
	proposeStep = 300 * time.Millisecond
	// settleTime is the delay between a change of the members and its proposal,
	// so that instances that start together share one version. The first table
	// waits longer, because homes in it may grant immediately.
	settleTime           = 200 * time.Millisecond
	firstTableSettleTime = time.Second
)

// memberTable holds the member table of the region. It is safe for concurrent
// use.
type memberTable struct {
	mu             sync.Mutex
	holder         *membertable.Holder
	revision       uint64    // Platform revision of the record; 0 when none was read.
	loaded         bool      // Whether the platform was read successfully since the start or the last failed write.
	changeSeenAt   time.Time // When a pending change was first seen; zero when there is none.
	fetching       bool
	lastRun        time.Time           // Last run of detectFreeze.
	viewInputs     schedulerViewInputs // Inputs of the scheduler's current view.
	appliedVersion uint64              // Version that the scheduler applies.
}

// schedulerViewInputs identifies the state that a scheduler view was built
// from.
type schedulerViewInputs struct {
	document, members, oldest, newest uint64
	suspended                         bool
}

func newMemberTable(inst *Instance) *memberTable {
	return &memberTable{holder: membertable.NewHolder(inst.tableMember())}
}

func (inst *Instance) tableMember() membertable.Member {
	self := inst.members.self()
	return membertable.Member{Name: self.Name, Incarnation: self.Incarnation, Domain: self.Domain}
}

// home returns the home of a target's slots. It is empty when the home is an
// earlier incarnation of this instance, which must not grant.
func (table *memberTable) home(target, domain string) membertable.Home {
	table.mu.Lock()
	defer table.mu.Unlock()
	h := table.holder.Home(target, domain)
	if self := table.holder.Self(); h.Known && h.Member.Name == self.Name && h.Member != self {
		return membertable.Home{}
	}
	return h
}

// selfID returns the ID of this instance in the member table.
func (table *memberTable) selfID() string {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.holder.Self().ID()
}

// version returns the newest version that the instance knows.
func (table *memberTable) version() uint64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.holder.ConfirmedVersion()
}

// lastHomeMove returns the last change of a target's home.
func (table *memberTable) lastHomeMove(target, domain string) membertable.HomeMove {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.holder.LastHomeMove(target, domain)
}

// linkShare returns the fraction of each link's cap that the instance may use,
// 0 to 1.
func (table *memberTable) linkShare() float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.holder.Share()
}

// runTable updates the member table until ctx ends.
func (inst *Instance) runTable(ctx context.Context) {
	go inst.watchTable(ctx)
	runEvery(ctx, tableTickInterval, func() {
		inst.detectFreeze(time.Now())
		inst.observeMembers()
		inst.proposeTable(ctx)
		inst.updateSchedulerView()
		inst.confirmTable()
	})
}

// confirmTable announces the newest version to the other members once this
// instance no longer uses rights of an older one: the scheduler applies the new
// version, and no bytes are being written that a reduced share would not have
// permitted.
func (inst *Instance) confirmTable() {
	inst.memberTable.mu.Lock()
	version, applied := inst.memberTable.holder.ConfirmedVersion(), inst.memberTable.appliedVersion
	inst.memberTable.mu.Unlock()
	if inst.document.Load() != nil && applied != version || !inst.LinksSettled() {
		return
	}
	inst.members.changeSelf(func(u *membership.Update) { u.TableVersion = version })
}

// observeMembers passes the versions that members have confirmed to the holder,
// and fetches a newer record from a peer that has one.
func (inst *Instance) observeMembers() {
	view := inst.members.view()
	inst.memberTable.mu.Lock()
	defer inst.memberTable.mu.Unlock()
	for _, m := range view.Members {
		if m.Region != inst.settings.Region || m.Incarnation == 0 || m.Name == inst.settings.Name {
			continue
		}
		member := membertable.Member{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain}
		inst.memberTable.holder.SetConfirmed(member, m.TableVersion)
		if m.State == membership.Gone {
			inst.memberTable.holder.MarkGone(member)
		}
		if m.TableVersion > inst.memberTable.holder.ConfirmedVersion() && m.Usable() && !inst.memberTable.fetching {
			inst.memberTable.fetching = true
			go inst.fetchNewerTable(m.PeerAddress)
		}
	}
}

func (inst *Instance) fetchNewerTable(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	inst.fetchTableFrom(ctx, address)
	inst.memberTable.mu.Lock()
	defer inst.memberTable.mu.Unlock()
	inst.memberTable.fetching = false
}

// updateSchedulerView gives the scheduler a new view when one of its inputs
// changed.
func (inst *Instance) updateSchedulerView() {
	document := inst.document.Load()
	if document == nil {
		return
	}
	inst.memberTable.mu.Lock()
	oldest, newest := inst.memberTable.holder.VersionRange()
	inputs := schedulerViewInputs{document: document.Version, members: inst.members.revision(), oldest: oldest, newest: newest,
		suspended: inst.memberTable.holder.Suspended()}
	skip := inputs == inst.memberTable.viewInputs || inputs.suspended
	inst.memberTable.viewInputs = inputs
	inst.memberTable.mu.Unlock()
	if skip {
		return
	}
	for _, region := range document.Regions {
		if region.Name != inst.settings.Region {
			inst.regionDelays.addRegion(region.Name)
		}
	}
	built := time.Now()
	inst.runner.SetView(inst.schedulerView(document), built, func(applied bool) { inst.onViewApplied(newest, applied) })
	inst.schedulerViewSet.Store(newest > 0)
}

// onViewApplied records the table version that the scheduler applies, or makes
// the next run build the view again.
func (inst *Instance) onViewApplied(version uint64, applied bool) {
	inst.memberTable.mu.Lock()
	defer inst.memberTable.mu.Unlock()
	if !applied {
		inst.memberTable.viewInputs = schedulerViewInputs{}
		return
	}
	inst.memberTable.appliedVersion = version
}
