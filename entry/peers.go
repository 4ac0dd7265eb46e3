package entry

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/ring"
)

const (
	// heartbeatTimeout bounds one heartbeat, connecting included. It is below
	// membership.SlowAfter, so that a late answer is not mistaken for the
	// answer to a later heartbeat.
	heartbeatTimeout = 800 * time.Millisecond
	// heartbeatConnIdleTimeout is the time without a heartbeat after which the connection to a
	// former peer is closed.
	heartbeatConnIdleTimeout = 30 * time.Second
)

type peerServer struct {
	peerpb.DRPCPeerUnimplementedServer
	instance *Instance
}

func (in *Instance) servePeers(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &peerServer{instance: in}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// Heartbeat takes the state of a peer and answers with the own one.
func (p *peerServer) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	in, from := p.instance, r.GetFrom()
	if from != nil {
		in.members.heartbeat(memberUpdate(from), memberUpdates(r.GetUpdates()))
		in.handleHeartbeat(from, r.GetConfigVersion(), r.GetLoads())
	}
	return &peerpb.HeartbeatResponse{
		From:          MemberMessage(in.members.self()),
		Updates:       memberMessages(in.members.updatesFor(from.GetName())),
		ConfigVersion: in.configVersion(),
		Loads:         in.localLoads(),
	}, nil
}

func (in *Instance) localLoads() []*peerpb.ServiceLoad {
	if f := in.members.hooks.Load().Loads; f != nil {
		return f()
	}
	return nil
}

func (in *Instance) handleHeartbeat(from *peerpb.MemberUpdate, configVersion uint64, loads []*peerpb.ServiceLoad) {
	in.observeConfigVersion(from, configVersion)
	if f := in.members.hooks.Load().OnHeartbeat; f != nil {
		f(from, configVersion, loads)
	}
}

func (m *members) heartbeat(from membership.Update, updates []membership.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.HandleHeartbeat(time.Now(), from, updates)
}

func (m *members) heartbeatResponse(from membership.Update, updates []membership.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.HandleResponse(time.Now(), from, updates)
}

// heartbeatConns keeps one connection and one goroutine for each heartbeat
// peer. A drpc connection carries one call at a time, so heartbeats have
// connections of their own. It is used by one goroutine.
type heartbeatConns struct {
	instance  *Instance
	byAddress map[string]*heartbeatConn // By peer address.
}

type heartbeatConn struct {
	address  string
	pending  *ring.Ring[string] // Names of the peer to send a heartbeat to.
	lastUsed time.Time
	rpcConn  *drpcconn.Conn // Owned by the link's goroutine.
}

func newHeartbeatConns(in *Instance) *heartbeatConns {
	return &heartbeatConns{instance: in, byAddress: map[string]*heartbeatConn{}}
}

// send asks for a heartbeat to each peer. A peer whose last heartbeat is still
// under way is left out.
func (h *heartbeatConns) send(ctx context.Context, peers []membership.Update) {
	now := time.Now()
	for _, p := range peers {
		link, ok := h.byAddress[p.PeerAddress]
		if !ok {
			link = &heartbeatConn{address: p.PeerAddress, pending: ring.New[string](1)}
			h.byAddress[p.PeerAddress] = link
			go h.instance.sendHeartbeats(ctx, link)
		}
		link.lastUsed = now
		link.pending.TryPush(p.Name)
	}
	for address, link := range h.byAddress {
		if now.Sub(link.lastUsed) >= heartbeatConnIdleTimeout {
			link.pending.Close()
			delete(h.byAddress, address)
		}
	}
}

func (h *heartbeatConns) close() {
	for _, link := range h.byAddress {
		link.pending.Close()
	}
}

// sendHeartbeats sends heartbeats to one peer until its link is closed.
func (in *Instance) sendHeartbeats(ctx context.Context, link *heartbeatConn) {
	defer link.disconnect()
	for {
		name, ok := link.pending.Pop(ctx)
		if !ok {
			return
		}
		if err := in.sendHeartbeat(ctx, link, name); err != nil {
			link.disconnect()
		}
	}
}

func (in *Instance) sendHeartbeat(ctx context.Context, link *heartbeatConn, name string) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if err := link.connect(ctx); err != nil {
		return err
	}
	in.metrics.Heartbeats.Inc(1)
	sent := time.Now()
	answer, err := peerpb.NewDRPCPeerClient(link.rpcConn).Heartbeat(ctx, &peerpb.HeartbeatRequest{
		From:          MemberMessage(in.members.self()),
		Updates:       memberMessages(in.members.updatesFor(name)),
		ConfigVersion: in.configVersion(),
		Loads:         in.localLoads(),
	})
	if err != nil {
		return err
	}
	if from := answer.GetFrom(); from != nil {
		in.members.heartbeatResponse(memberUpdate(from), memberUpdates(answer.GetUpdates()))
		if from.Region != in.settings.Region {
			in.regionDelays.record(from.Region, time.Since(sent))
		}
		in.handleHeartbeat(from, answer.GetConfigVersion(), answer.GetLoads())
	}
	return nil
}

func (l *heartbeatConn) connect(ctx context.Context) error {
	if l.rpcConn != nil {
		select {
		case <-l.rpcConn.Closed():
			l.disconnect()
		default:
			return nil
		}
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	l.rpcConn = drpcconn.New(raw)
	return nil
}

func (l *heartbeatConn) disconnect() {
	if l.rpcConn != nil {
		_ = l.rpcConn.Close()
		l.rpcConn = nil
	}
}

// MemberMessage returns the message of a member update as heartbeats carry it.
func MemberMessage(u membership.Update) *peerpb.MemberUpdate {
	return &peerpb.MemberUpdate{
		Name:          u.Name,
		Incarnation:   u.Incarnation,
		Counter:       u.Counter,
		State:         peerpb.MemberState(u.State) + peerpb.MemberState_MEMBER_STATE_ALIVE,
		Domain:        u.Domain,
		Region:        u.Region,
		PeerAddress:   u.PeerAddress,
		CallerAddress: u.CallerAddress,
		KeyEpoch:      u.KeyEpoch,
		TableVersion:  u.TableVersion,
		Successor:     u.Successor,
	}
}

func memberMessages(list []membership.Update) []*peerpb.MemberUpdate {
	messages := make([]*peerpb.MemberUpdate, len(list))
	for i, u := range list {
		messages[i] = MemberMessage(u)
	}
	return messages
}

// memberUpdate returns the update of a message. An unknown state becomes one that
// the tracker ignores.
func memberUpdate(m *peerpb.MemberUpdate) membership.Update {
	return membership.Update{
		Name:          m.GetName(),
		Incarnation:   m.GetIncarnation(),
		Counter:       m.GetCounter(),
		State:         membership.State(m.GetState() - peerpb.MemberState_MEMBER_STATE_ALIVE),
		Domain:        m.GetDomain(),
		Region:        m.GetRegion(),
		PeerAddress:   m.GetPeerAddress(),
		CallerAddress: m.GetCallerAddress(),
		KeyEpoch:      m.GetKeyEpoch(),
		TableVersion:  m.GetTableVersion(),
		Successor:     m.GetSuccessor(),
	}
}

func memberUpdates(list []*peerpb.MemberUpdate) []membership.Update {
	updates := make([]membership.Update, len(list))
	for i, m := range list {
		updates[i] = memberUpdate(m)
	}
	return updates
}

func (in *Instance) configVersion() uint64 {
	if d := in.document.Load(); d != nil {
		return d.Version
	}
	return 0
}
