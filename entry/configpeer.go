package entry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"

	"storj.io/drpc/drpcconn"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

// PushConfig takes in a configuration that another instance offers.
func (p *peerServer) PushConfig(ctx context.Context, r *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	return p.instance.config.relay.HandlePush(ctx, r)
}

// FetchConfig returns the configuration in force or parts of it.
func (p *peerServer) FetchConfig(ctx context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return p.instance.config.relay.HandleFetch(ctx, r)
}

// configPeers reaches other instances for the configuration.
type configPeers struct {
	self    configsync.Member
	members *members
}

// Members implements configsync.Peers.
func (p *configPeers) Members() []configsync.Member {
	list := []configsync.Member{p.self}
	for _, m := range p.members.view().Members {
		if m.Name != p.self.Name && m.State < membership.Leaving {
			list = append(list, configsync.Member{Name: m.Name, Domain: m.Domain})
		}
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
	address, ok := p.members.address(name)
	if !ok {
		return nil, fmt.Errorf("entry: no address of instance %q", name)
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// address returns the peer address of an instance.
func (m *members) address(name string) (string, bool) {
	view := m.view()
	i, ok := slices.BinarySearchFunc(view.Members, name, func(member membership.Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	if !ok || view.Members[i].PeerAddress == "" {
		return "", false
	}
	return view.Members[i].PeerAddress, true
}
