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

// PushConfig handles a configuration that a peer offers.
func (server *peerServer) PushConfig(ctx context.Context, r *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	return server.instance.config.relay.HandlePush(ctx, r)
}

// FetchConfig returns the current configuration, or the requested parts of it,
// to a peer.
func (server *peerServer) FetchConfig(ctx context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return server.instance.config.relay.HandleFetch(ctx, r)
}

// configPeers sends configuration calls to peers.
type configPeers struct {
	self    configsync.Member
	members *members
}

// Members implements configsync.Peers.
func (peers *configPeers) Members() []configsync.Member {
	list := []configsync.Member{peers.self}
	for _, m := range peers.members.view().Members {
		if m.Name != peers.self.Name && m.State < membership.Leaving {
			list = append(list, configsync.Member{Name: m.Name, Domain: m.Domain})
		}
	}
	return list
}

// Push implements configsync.Peers.
func (peers *configPeers) Push(ctx context.Context, name string, r *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	conn, err := peers.dial(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return peerpb.NewDRPCPeerClient(conn).PushConfig(ctx, r)
}

// Fetch implements configsync.Peers.
func (peers *configPeers) Fetch(ctx context.Context, name string, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	conn, err := peers.dial(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return peerpb.NewDRPCPeerClient(conn).FetchConfig(ctx, r)
}

func (peers *configPeers) dial(ctx context.Context, name string) (*drpcconn.Conn, error) {
	address, ok := peers.members.address(name)
	if !ok {
		return nil, fmt.Errorf("entry: no peer address known for instance %q", name)
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// address returns the peer address of an instance, and whether it is known.
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
