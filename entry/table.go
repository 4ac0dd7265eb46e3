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
	// tableWatchers of each domain watch the record; the others fetch it from
	// the peers whose heartbeats name a higher version.
	tableWatchers = 2
	// proposeStep is how long each further member of the region waits before
	// it proposes, so that usually one instance writes.
	proposeStep = 300 * time.Millisecond
	// settleTime is how long a change of the members is awaited before it is
	// proposed, so that instances that start together share one version. The
	// first table waits longer, since homes under it are free at once.
	settleTime           = 200 * time.Millisecond
	firstTableSettleTime = time.Second
)

// memberTable keeps the member table of the region. It is safe for concurrent use.
type memberTable struct {
	mu             sync.Mutex
	holder         *membertable.Holder
	revision       uint64    // Platform revision of the record; 0 when none was read.
	loaded         bool      // Whether the platform was read since the start.
	changeSeenAt   time.Time // When a needed change was first seen; zero when none is.
	fetching       bool
	lastRun        time.Time           // Last run of the duty.
	viewInputs     schedulerViewInputs // What the scheduler's view was built from.
	appliedVersion uint64              // Version that the scheduler applies.
}

// schedulerViewInputs names what a scheduler's view is built from.
type schedulerViewInputs struct {
	document, members, oldest, newest uint64
	suspended                         bool
}

func newMemberTable(in *Instance) *memberTable {
	return &memberTable{holder: membertable.NewHolder(in.tableMember())}
}

func (in *Instance) tableMember() membertable.Member {
	self := in.members.self()
	return membertable.Member{Name: self.Name, Incarnation: self.Incarnation, Domain: self.Domain}
}

// home returns the home of a target's slots. A home of an earlier incarnation
// of the own instance grants nothing.
func (t *memberTable) home(target, domain string) membertable.Home {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holder.Home(target, domain)
	if self := t.holder.Self(); h.Known && h.Member.Name == self.Name && h.Member != self {
		return membertable.Home{}
	}
	return h
}

// selfID identifies the own instance in the member table.
func (t *memberTable) selfID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Self().ID()
}

// version returns the newest version that the instance knows.
func (t *memberTable) version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.ConfirmedVersion()
}

// lastHomeMove returns the last move of a target's home.
func (t *memberTable) lastHomeMove(target, domain string) membertable.HomeMove {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.LastHomeMove(target, domain)
}

// linkShare returns the part of a link's cap that the instance may use, 0 to 1.
func (t *memberTable) linkShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Share()
}

// runTable drives the member table until ctx ends.
func (in *Instance) runTable(ctx context.Context) {
	go in.watchTable(ctx)
	runEvery(ctx, tableTickInterval, func() {
		in.detectFreeze(time.Now())
		in.observeMembers()
		in.proposeTable(ctx)
		in.updateSchedulerView()
		in.confirmTable()
	})
}

// confirmTable tells the other members the newest version once this instance
// uses no right of an older one: the scheduler applies it, and no bytes are
// under way that a smaller share would not have permitted.
func (in *Instance) confirmTable() {
	in.memberTable.mu.Lock()
	version, applied := in.memberTable.holder.ConfirmedVersion(), in.memberTable.appliedVersion
	in.memberTable.mu.Unlock()
	if in.document.Load() != nil && applied != version || !in.LinksSettled() {
		return
	}
	in.members.changeSelf(func(u *membership.Update) { u.TableVersion = version })
}

// observeMembers passes the members' confirmations to the holder, and fetches
// a newer record from a peer that has one.
func (in *Instance) observeMembers() {
	view := in.members.view()
	in.memberTable.mu.Lock()
	defer in.memberTable.mu.Unlock()
	for _, m := range view.Members {
		if m.Region != in.settings.Region || m.Incarnation == 0 || m.Name == in.settings.Name {
			continue
		}
		member := membertable.Member{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain}
		in.memberTable.holder.SetConfirmed(member, m.TableVersion)
		if m.State == membership.Gone {
			in.memberTable.holder.MarkGone(member)
		}
		if m.TableVersion > in.memberTable.holder.ConfirmedVersion() && m.Usable() && !in.memberTable.fetching {
			in.memberTable.fetching = true
			go in.fetchNewerTable(m.PeerAddress)
		}
	}
}

func (in *Instance) fetchNewerTable(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	in.fetchTableFrom(ctx, address)
	in.memberTable.mu.Lock()
	defer in.memberTable.mu.Unlock()
	in.memberTable.fetching = false
}

// updateSchedulerView gives the scheduler a new view when something in it changed.
func (in *Instance) updateSchedulerView() {
	d := in.document.Load()
	if d == nil {
		return
	}
	in.memberTable.mu.Lock()
	oldest, newest := in.memberTable.holder.VersionRange()
	key := schedulerViewInputs{document: d.Version, members: in.members.revision(), oldest: oldest, newest: newest,
		suspended: in.memberTable.holder.Suspended()}
	skip := key == in.memberTable.viewInputs || key.suspended
	in.memberTable.viewInputs = key
	in.memberTable.mu.Unlock()
	if skip {
		return
	}
	for _, r := range d.Regions {
		if r.Name != in.settings.Region {
			in.regionDelays.addRegion(r.Name)
		}
	}
	built := time.Now()
	in.runner.SetView(in.schedulerView(d), built, func(applied bool) { in.onViewApplied(newest, applied) })
	in.schedulerViewSet.Store(newest > 0)
}

// onViewApplied notes the table version that the scheduler applies, or makes the
// duty build the view again.
func (in *Instance) onViewApplied(version uint64, applied bool) {
	in.memberTable.mu.Lock()
	defer in.memberTable.mu.Unlock()
	if !applied {
		in.memberTable.viewInputs = schedulerViewInputs{}
		return
	}
	in.memberTable.appliedVersion = version
}
