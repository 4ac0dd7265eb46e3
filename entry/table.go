package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/membertable"
)

const (
	tableInterval = 100 * time.Millisecond
	tableWatch    = 5 * time.Second
	tableTimeout  = 2 * time.Second
	// tableWatchers of each domain watch the record; the others fetch it from
	// the peers whose heartbeats name a higher version.
	tableWatchers = 2
	// proposeStep is how long each further member of the region waits before
	// it proposes, so that usually one instance writes.
	proposeStep = 300 * time.Millisecond
	// gatherTime is how long a change of the members is awaited before it is
	// proposed, so that instances that start together share one version. The
	// first table waits longer, since homes under it are free at once.
	gatherTime      = 200 * time.Millisecond
	firstGatherTime = time.Second
)

// table keeps the member table of the region. It is safe for concurrent use.
type table struct {
	mu       sync.Mutex
	holder   *membertable.Holder
	revision uint64    // Platform revision of the record; 0 when none was read.
	read     bool      // Whether the platform was read since the start.
	changeAt time.Time // When a needed change was first seen; zero when none is.
	fetching bool
	checked  time.Time // Last run of the duty.
	shown    viewKey   // What the scheduler's view was built from.
	applied  uint64    // Version that the scheduler applies.
}

// viewKey names what a scheduler's view is built from.
type viewKey struct {
	document, members, oldest, newest uint64
	suspended                         bool
}

func newTable(in *Instance) *table {
	return &table{holder: membertable.NewHolder(in.tableMember())}
}

func (in *Instance) tableMember() membertable.Member {
	self := in.members.self()
	return membertable.Member{Name: self.Name, Incarnation: self.Incarnation, Domain: self.Domain}
}

// home returns the home of a target's slots. A home of an earlier incarnation
// of the own instance grants nothing.
func (t *table) home(target, domain string) membertable.Home {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holder.Home(target, domain)
	if self := t.holder.Self(); h.Known && h.Member.Name == self.Name && h.Member != self {
		return membertable.Home{}
	}
	return h
}

// id identifies the own instance in the member table.
func (t *table) id() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Self().ID()
}

// version returns the newest version that the instance knows.
func (t *table) version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.ConfirmedVersion()
}

// moved returns the last move of a target's home.
func (t *table) moved(target, domain string) membertable.HomeMove {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.LastHomeMove(target, domain)
}

// share returns the part of a link's cap that the instance may use, 0 to 1.
func (t *table) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Share()
}

// runTable drives the member table until ctx ends.
func (in *Instance) runTable(ctx context.Context) {
	go in.watchTable(ctx)
	every(ctx, tableInterval, func() {
		in.noticeFreeze(time.Now())
		in.observeMembers()
		in.proposeTable(ctx)
		in.updateView()
		in.confirmTable()
	})
}

// confirmTable tells the other members the newest version once this instance
// uses no right of an older one: the scheduler applies it, and no bytes are
// under way that a smaller share would not have permitted.
func (in *Instance) confirmTable() {
	in.table.mu.Lock()
	version, applied := in.table.holder.ConfirmedVersion(), in.table.applied
	in.table.mu.Unlock()
	if in.document.Load() != nil && applied != version || !in.LinksSettled() {
		return
	}
	in.members.changeSelf(func(u *membership.Update) { u.TableVersion = version })
}

// observeMembers passes the members' confirmations to the holder, and fetches
// a newer record from a peer that has one.
func (in *Instance) observeMembers() {
	view := in.members.view()
	in.table.mu.Lock()
	defer in.table.mu.Unlock()
	for _, m := range view.Members {
		if m.Region != in.settings.Region || m.Incarnation == 0 || m.Name == in.settings.Name {
			continue
		}
		member := membertable.Member{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain}
		in.table.holder.SetConfirmed(member, m.TableVersion)
		if m.State == membership.Gone {
			in.table.holder.MarkGone(member)
		}
		if m.TableVersion > in.table.holder.ConfirmedVersion() && m.Usable() && !in.table.fetching {
			in.table.fetching = true
			go in.catchUpTable(m.PeerAddress)
		}
	}
}

func (in *Instance) catchUpTable(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	in.fetchTable(ctx, address)
	in.table.mu.Lock()
	defer in.table.mu.Unlock()
	in.table.fetching = false
}

// updateView gives the scheduler a new view when something in it changed.
func (in *Instance) updateView() {
	d := in.document.Load()
	if d == nil {
		return
	}
	in.table.mu.Lock()
	oldest, newest := in.table.holder.VersionRange()
	key := viewKey{document: d.Version, members: in.members.revision(), oldest: oldest, newest: newest,
		suspended: in.table.holder.Suspended()}
	skip := key == in.table.shown || key.suspended
	in.table.shown = key
	in.table.mu.Unlock()
	if skip {
		return
	}
	for _, r := range d.Regions {
		if r.Name != in.settings.Region {
			in.transport.know(r.Name)
		}
	}
	built := time.Now()
	in.runner.SetView(in.schedulerView(d), built, func(applied bool) { in.viewDone(newest, applied) })
	in.viewSet.Store(newest > 0)
}

// viewDone notes the table version that the scheduler applies, or makes the
// duty build the view again.
func (in *Instance) viewDone(version uint64, applied bool) {
	in.table.mu.Lock()
	defer in.table.mu.Unlock()
	if !applied {
		in.table.shown = viewKey{}
		return
	}
	in.table.applied = version
}
