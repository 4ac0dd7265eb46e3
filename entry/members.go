package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
)

const (
	listInterval      = time.Second
	heartbeatInterval = time.Second
	heartbeatTimeout  = 500 * time.Millisecond
	// silentAfter is the time without an answer after which a member is not
	// named to callers any more.
	silentAfter = 2500 * time.Millisecond
)

type member struct {
	info    platform.Instance
	seen    time.Time
	leaving bool
}

type members struct {
	mu   sync.Mutex
	list map[string]*member
}

func newMembers() *members {
	return &members{list: map[string]*member{}}
}

func (m *members) apply(list []platform.Instance, self string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, info := range list {
		if info.Name == self {
			continue
		}
		if known, ok := m.list[info.Name]; ok {
			known.info = info
			continue
		}
		m.list[info.Name] = &member{info: info}
	}
}

func (m *members) addresses() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]string, len(m.list))
	for name, member := range m.list {
		out[name] = member.info.PeerAddress
	}
	return out
}

func (m *members) answered(name string, leaving bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if member, ok := m.list[name]; ok {
		member.seen, member.leaving = now, leaving
	}
}

// preferred lists the members that answer, those of the domain first, then
// those of the region.
func (m *members) preferred(domain, region string) []LookupInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var usable []*member
	for _, member := range m.list {
		live := member.info.State == platform.InstanceLive && !member.leaving
		if live && time.Since(member.seen) < silentAfter {
			usable = append(usable, member)
		}
	}
	rank := func(x *member) int {
		switch {
		case x.info.Domain == domain:
			return 0
		case x.info.Region == region:
			return 1
		}
		return 2
	}
	sort.Slice(usable, func(i, j int) bool {
		if ri, rj := rank(usable[i]), rank(usable[j]); ri != rj {
			return ri < rj
		}
		return usable[i].info.Name < usable[j].info.Name
	})
	out := make([]LookupInstance, len(usable))
	for i, x := range usable {
		out[i] = LookupInstance{Name: x.info.Name, Address: x.info.CallerAddress, Domain: x.info.Domain}
	}
	return out
}

func (in *Instance) watchInstances(ctx context.Context) {
	every(ctx, listInterval, func() {
		list, err := in.platform.Instances(ctx)
		if err != nil {
			in.log.WithError(err).Warn("list of instances not read")
			return
		}
		in.members.apply(list, in.settings.Name)
	})
}

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
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
