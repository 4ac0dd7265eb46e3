package entry

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcconn"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/platform"
)

// PushConfig takes in a configuration that another instance offers.
func (p *peerServer) PushConfig(ctx context.Context, r *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	return p.in.config.relay.HandlePush(ctx, r)
}

// FetchConfig returns the configuration in force or parts of it.
func (p *peerServer) FetchConfig(ctx context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return p.in.config.relay.HandleFetch(ctx, r)
}

// configPeers reaches other instances for the configuration. Addresses come
// from the platform's list and from heartbeats, so that an instance that
// starts while the platform is down reaches those that send it heartbeats.
type configPeers struct {
	self    configsync.Member
	members *members

	mu        sync.Mutex
	addresses map[string]string // From heartbeats, by name.
	domains   map[string]string // From heartbeats, by name.
}

// heard notes the sender of a heartbeat.
func (p *configPeers) heard(from *peerpb.MemberUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[from.GetName()] = from.GetPeerAddress()
	p.domains[from.GetName()] = from.GetDomain()
}

// Members implements configsync.Peers.
func (p *configPeers) Members() []configsync.Member {
	list := []configsync.Member{p.self}
	listed := p.members.configMembers()
	for _, m := range listed {
		if m.State == platform.InstanceLive {
			list = append(list, configsync.Member{Name: m.Name, Domain: m.Domain})
		}
	}
	if len(listed) > 0 {
		return list
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, domain := range p.domains {
		list = append(list, configsync.Member{Name: name, Domain: domain})
	}
	return list
}

// Push implements configsync.Peers.
func (p *configPeers) Push(ctx context.Context, name string, r *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	conn, err := p.dial(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return peerpb.NewDRPCPeerClient(conn).PushConfig(ctx, r)
}

// Fetch implements configsync.Peers.
func (p *configPeers) Fetch(ctx context.Context, name string, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	conn, err := p.dial(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return peerpb.NewDRPCPeerClient(conn).FetchConfig(ctx, r)
}

func (p *configPeers) dial(ctx context.Context, name string) (*drpcconn.Conn, error) {
	address, ok := p.members.addresses()[name]
	if !ok {
		p.mu.Lock()
		address = p.addresses[name]
		p.mu.Unlock()
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// configMembers returns the members of the platform's list, this instance not
// included.
func (m *members) configMembers() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]platform.Instance, 0, len(m.list))
	for _, member := range m.list {
		list = append(list, member.info)
	}
	return list
}
