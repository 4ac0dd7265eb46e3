package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/membertable"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/slots"
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
	return t.holder.Version()
}

// moved returns the last move of a target's home.
func (t *table) moved(target, domain string) membertable.Move {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Moved(target, domain)
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

// noticeFreeze suspends the table when the duty itself was frozen.
func (in *Instance) noticeFreeze(now time.Time) {
	in.table.mu.Lock()
	gap := now.Sub(in.table.checked)
	first := in.table.checked.IsZero()
	in.table.checked = now
	in.table.mu.Unlock()
	if !first && gap > dispatch.FreezeAfter {
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
	if !known && !in.table.holder.AloneInDomain() {
		return false
	}
	in.table.shown = viewKey{} // The scheduler waits for a view, too.
	if in.table.holder.Refreshed() {
		return true
	}
	in.members.reincarnate(uint64(time.Now().UnixNano()))
	record := in.table.holder.Record()
	in.table.holder = membertable.NewHolder(in.tableMember())
	in.table.holder.Learn(record)
	in.events.Emit(events.TableRetired, log.Fields{"version": record.Newest()})
	return true
}

func (m *members) reincarnate(incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Reincarnate(time.Now(), incarnation)
}

// watchTable reads the record while this instance is one of the watchers.
func (in *Instance) watchTable(ctx context.Context) {
	for ctx.Err() == nil {
		if !in.watchesTable() {
			pause(ctx, tableWatch)
			continue
		}
		in.table.mu.Lock()
		revision := in.table.revision
		in.table.mu.Unlock()
		v, err := in.platform.Watch(ctx, membertable.Key(in.settings.Region), revision, tableWatch)
		switch {
		case err == nil:
			in.learnTable(v.Data, v.Revision)
		case errors.Is(err, platform.ErrNotFound):
			in.noRecord()
		default:
			pause(ctx, tableInterval)
		}
	}
}

// watchesTable reports whether the instance is one of the first tableWatchers
// of its domain by rendezvous hashing.
func (in *Instance) watchesTable() bool {
	own, higher := slots.Weight(in.settings.Domain, in.settings.Name), 0
	for _, m := range in.members.view().Members {
		if m.Domain == in.settings.Domain && m.Usable() && slots.Weight(in.settings.Domain, m.Name) > own {
			higher++
		}
	}
	return higher < tableWatchers
}

func (in *Instance) readTable(ctx context.Context) error {
	v, err := in.platform.Get(ctx, membertable.Key(in.settings.Region))
	if errors.Is(err, platform.ErrNotFound) {
		in.noRecord()
		return nil
	}
	if err != nil {
		return err
	}
	in.learnTable(v.Data, v.Revision)
	return nil
}

func (in *Instance) noRecord() {
	in.table.mu.Lock()
	defer in.table.mu.Unlock()
	in.table.read, in.table.revision = true, 0
}

// learnTable takes a record from the platform (with its revision) or a peer (0).
func (in *Instance) learnTable(data []byte, revision uint64) {
	r, err := membertable.Decode(data)
	if err != nil {
		in.events.Emit(events.TableRejected, log.Fields{"error": err.Error()})
		return
	}
	in.table.mu.Lock()
	changed := in.table.holder.Learn(r)
	if revision > 0 {
		in.table.read, in.table.revision = true, revision
	}
	version := in.table.holder.Version()
	in.table.mu.Unlock()
	if changed {
		in.events.Emit(events.TableInForce, log.Fields{"version": version, "members": len(r.Tables[len(r.Tables)-1].Members)})
	}
}

// confirmTable tells the other members the newest version once this instance
// uses no right of an older one: the scheduler applies it, and no bytes are
// under way that a smaller share would not have permitted.
func (in *Instance) confirmTable() {
	in.table.mu.Lock()
	version, applied := in.table.holder.Version(), in.table.applied
	in.table.mu.Unlock()
	if in.document.Load() != nil && applied != version || !in.LinksSettled() {
		return
	}
	in.members.changeSelf(func(u *membership.Update) { u.TableVersion = version })
}

// FetchTable returns the record of the region when it is newer than what the
// asking instance knows.
func (p *peerServer) FetchTable(_ context.Context, r *peerpb.FetchTableRequest) (*peerpb.FetchTableResponse, error) {
	p.in.table.mu.Lock()
	record := p.in.table.holder.Record()
	p.in.table.mu.Unlock()
	if record.Newest() <= r.Since {
		return &peerpb.FetchTableResponse{}, nil
	}
	data, err := record.Encode()
	return &peerpb.FetchTableResponse{Record: data}, err
}

// fetchTable asks a peer for a newer record and reports whether it answered.
func (in *Instance) fetchTable(ctx context.Context, address string) bool {
	in.table.mu.Lock()
	since := in.table.holder.Version()
	in.table.mu.Unlock()
	answer, err := in.peers.Client(ctx, address).FetchTable(ctx, &peerpb.FetchTableRequest{Since: since})
	if err == nil && len(answer.Record) > 0 {
		in.learnTable(answer.Record, 0)
	}
	return err == nil
}

func (in *Instance) fetchFromDomain(ctx context.Context) bool {
	for _, m := range in.members.view().Members {
		if m.Domain == in.settings.Domain && m.Name != in.settings.Name && m.Usable() && in.fetchTable(ctx, m.PeerAddress) {
			return true
		}
	}
	return false
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
		in.table.holder.Confirm(member, m.TableVersion)
		if m.State == membership.Gone {
			in.table.holder.Gone(member)
		}
		if m.TableVersion > in.table.holder.Version() && m.Usable() && !in.table.fetching {
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

// observed returns the region's members as proposals need them.
func (in *Instance) observed() []membertable.Observed {
	var list []membertable.Observed
	for _, m := range in.members.view().Members {
		if m.Region != in.settings.Region || m.Incarnation == 0 {
			continue
		}
		o := membertable.Observed{Member: membertable.Member{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain}, Version: m.TableVersion}
		switch {
		case m.State == membership.Gone:
			o.State = membertable.Gone
		case m.State == membership.Leaving:
			o.State = membertable.Leaving
		case m.Suspected:
			o.State = membertable.Silent
		}
		list = append(list, o)
	}
	return list
}

// proposeTable writes the next version when the members changed and it is this
// instance's turn.
func (in *Instance) proposeTable(ctx context.Context) {
	view := in.observed()
	in.table.mu.Lock()
	record, changed := in.table.holder.Propose(view)
	revision, ready := in.table.revision, in.table.read && !in.table.holder.Suspended()
	now := time.Now()
	if !changed {
		in.table.changeAt = time.Time{}
	} else if in.table.changeAt.IsZero() {
		in.table.changeAt = now
	}
	wait := gatherTime + time.Duration(in.turn(view))*proposeStep
	if record.Newest() == 1 {
		wait += firstGatherTime
	}
	due := changed && now.Sub(in.table.changeAt) >= wait
	in.table.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if !ready {
		_ = in.readTable(ctx)
		return
	}
	in.writeTable(ctx, record, revision)
}

// turn is the place of the own instance among the live members of the region.
func (in *Instance) turn(view []membertable.Observed) int {
	return max(0, slices.IndexFunc(slices.DeleteFunc(slices.Clone(view), func(o membertable.Observed) bool {
		return o.State != membertable.Alive
	}), func(o membertable.Observed) bool { return o.Name == in.settings.Name }))
}

// writeTable replaces the record. After a conflict or an unknown outcome it is
// read again, and the next proposal starts from what was read.
func (in *Instance) writeTable(ctx context.Context, r membertable.Record, revision uint64) {
	data, err := r.Encode()
	if err != nil {
		return
	}
	next, err := in.platform.Put(ctx, membertable.Key(in.settings.Region), data, revision)
	if err == nil {
		in.learnTable(data, next)
		return
	}
	in.events.Emit(events.TableNotWritten, log.Fields{"version": r.Newest(), "error": err.Error()})
	in.table.mu.Lock()
	in.table.read, in.table.changeAt = false, time.Now()
	in.table.mu.Unlock()
}

// updateView gives the scheduler a new view when something in it changed.
func (in *Instance) updateView() {
	d := in.document.Load()
	if d == nil {
		return
	}
	in.table.mu.Lock()
	oldest, newest := in.table.holder.Range()
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
