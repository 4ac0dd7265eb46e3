package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	// memberTickInterval is the interval of the membership tracker's ticks.
	memberTickInterval = 100 * time.Millisecond
	// listTimeout bounds one read of the platform's list.
	listTimeout = 5 * time.Second
)

// PeerHooks connect the other parts of an instance to its heartbeats. Each may
// be nil. They are called from several goroutines and must not block.
type PeerHooks struct {
	// Loads returns the loads of the own region to send.
	Loads func() []*peerpb.ServiceLoad
	// OnHeartbeat takes what a peer sent with a heartbeat or its answer.
	OnHeartbeat func(peer *peerpb.MemberUpdate, configVersion uint64, loads []*peerpb.ServiceLoad)
	// OnFrozen is called when the own instance was frozen, before it handles
	// anything else. Grants are to be given up until Refreshed.
	OnFrozen func()
}

// members holds the membership tracker of an instance. It is safe for
// concurrent use.
type members struct {
	mu              sync.Mutex
	tracker         *membership.Tracker
	events          *events.Log
	logged          map[string]membership.Member // Members as last logged.
	loggedRevision  uint64                       // Revision of shown.
	loggedListState membership.State             // Own state in the list as last logged.
	readingList     atomic.Bool                  // Whether the platform's list is being read.
	hooks           atomic.Pointer[PeerHooks]
}

func newMembers(self membership.Update, l *events.Log) *members {
	m := &members{tracker: membership.NewTracker(self), events: l, logged: map[string]membership.Member{}}
	m.hooks.Store(&PeerHooks{})
	return m
}

// SetPeerHooks sets what heartbeats are connected to.
func (in *Instance) SetPeerHooks(h PeerHooks) { in.members.hooks.Store(&h) }

// ChangeSelf edits what the instance tells of itself in heartbeats, for example
// the member table version that it applies.
func (in *Instance) ChangeSelf(change func(*membership.Update)) { in.members.changeSelf(change) }

func (m *members) changeSelf(change func(*membership.Update)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.ChangeSelf(time.Now(), change)
}

func (m *members) view() *membership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.View()
}

func (m *members) revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Revision()
}

func (m *members) self() membership.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Self()
}

func (m *members) tick(now time.Time) membership.Actions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Tick(now)
}

func (m *members) updatesFor(name string) []membership.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.UpdatesFor(name)
}

func (m *members) applyList(list []kv.Instance, now time.Time) {
	listed := make([]membership.ListedMember, len(list))
	for i, info := range list {
		listed[i] = membership.ListedMember{Name: info.Name, Domain: info.Domain, Region: info.Region,
			PeerAddress: info.PeerAddress, CallerAddress: info.CallerAddress, State: memberStateFromList(info.State)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.HandlePlatformList(now, listed)
}

func memberStateFromList(s kv.InstanceState) membership.State {
	switch s {
	case kv.InstanceLeaving:
		return membership.Leaving
	case kv.InstanceGone:
		return membership.Gone
	}
	return membership.Alive
}

// logChanges writes a line for each member that changed since the last call.
func (m *members) logChanges() {
	m.mu.Lock()
	view, listed := m.tracker.View(), m.tracker.SelfListedState()
	m.mu.Unlock()
	if listed != m.loggedListState {
		m.loggedListState = listed
		m.events.EmitFields(&events.ListedAsLeaving, events.String("state", listed.String()))
	}
	if view.Revision == m.loggedRevision {
		return
	}
	m.loggedRevision = view.Revision
	present := make(map[string]membership.Member, len(view.Members))
	for _, member := range view.Members {
		present[member.Name] = member
		if old, known := m.logged[member.Name]; !known || changedForLog(old, member) {
			m.logMember(member)
		}
	}
	for name := range m.logged {
		if _, kept := present[name]; !kept {
			m.events.EmitFields(&events.MemberForgotten, events.String("member", name))
		}
	}
	m.logged = present
}

func changedForLog(a, b membership.Member) bool {
	return a.State != b.State || a.Suspected != b.Suspected || a.Incarnation != b.Incarnation
}

func (m *members) logMember(member membership.Member) {
	m.events.EmitFields(&events.MemberChanged,
		events.String("member", member.Name),
		events.String("domain", member.Domain),
		events.String("state", member.State.String()),
		events.Bool("suspected", member.Suspected),
		events.Uint("incarnation", member.Incarnation),
		events.Uint("counter", member.Counter),
	)
}

// lookupInstances returns the instances as look-ups see them.
func (in *Instance) lookupInstances() []lookup.Instance {
	view, leaving := in.members.view(), in.plannedLeaving()
	list := make([]lookup.Instance, len(view.Members))
	for i, member := range view.Members {
		list[i] = lookup.Instance{Name: member.Name, Address: member.CallerAddress,
			Domain: member.Domain, Region: member.Region, State: lookupState(member.State)}
		if leaving[member.Name] {
			list[i].State = max(list[i].State, lookup.InstanceLeaving)
		}
	}
	return list
}

func lookupState(s membership.State) lookup.InstanceState {
	return [...]lookup.InstanceState{
		membership.Alive:   lookup.InstanceLive,
		membership.Slow:    lookup.InstanceSlow,
		membership.Leaving: lookup.InstanceLeaving,
		membership.Gone:    lookup.InstanceGone,
	}[s]
}

// runMembers drives the membership tracker until ctx ends.
func (in *Instance) runMembers(ctx context.Context) {
	links := newHeartbeatConns(in)
	defer links.close()
	runEvery(ctx, memberTickInterval, func() {
		in.members.changeSelf(func(u *membership.Update) { u.State = in.reportedState() })
		actions := in.members.tick(time.Now())
		if actions.WasFrozen {
			in.events.EmitFields(&events.InstanceWasFrozen)
			if f := in.members.hooks.Load().OnFrozen; f != nil {
				f()
			}
		}
		if actions.ReadList {
			go in.readList(ctx)
		}
		if len(actions.Heartbeats) > 0 {
			links.send(ctx, actions.Heartbeats)
		}
		in.members.logChanges()
	})
}

// readList reads the platform's list, unless a read is under way.
func (in *Instance) readList(ctx context.Context) {
	if !in.members.readingList.CompareAndSwap(false, true) {
		return
	}
	defer in.members.readingList.Store(false)
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := in.platform.Instances(ctx)
	if err != nil {
		in.events.EmitFields(&events.InstanceListNotRead, events.String("error", err.Error()))
		return
	}
	in.members.applyList(list, time.Now())
}

// runEvery calls f at once and then at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sleep waits for a duration or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
