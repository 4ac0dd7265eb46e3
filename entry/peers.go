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
	// heartbeatTimeout bounds one heartbeat, including the time to connect. It
	// is shorter than membership.SlowAfter, so that a late response is not
	// taken for the response to a later heartbeat.
	heartbeatTimeout = 800 * time.Millisecond
	// heartbeatConnIdleTimeout is the time without heartbeats after which the
	// connection to a peer is closed.
	heartbeatConnIdleTimeout = 30 * time.Second
)

type peerServer struct {
	peerpb.DRPCPeerUnimplementedServer
	instance *Instance
}

func (inst *Instance) servePeers(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &peerServer{instance: inst}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// Heartbeat handles the state of a peer and responds with the state of this
// instance.
func (server *peerServer) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	inst, from := server.instance, r.GetFrom()
	if from != nil {
		inst.members.heartbeat(memberUpdate(from), memberUpdates(r.GetUpdates()))
		inst.handleHeartbeat(from, r.GetConfigVersion(), r.GetLoads())
	}
	return &peerpb.HeartbeatResponse{
		From:          MemberMessage(inst.members.self()),
		Updates:       memberMessages(inst.members.updatesFor(from.GetName())),
		ConfigVersion: inst.configVersion(),
		Loads:         inst.localLoads(),
	}, nil
}

func (inst *Instance) localLoads() []*peerpb.ServiceLoad {
	if f := inst.members.hooks.Load().Loads; f != nil {
		return f()
	}
	return nil
}

func (inst *Instance) handleHeartbeat(from *peerpb.MemberUpdate, configVersion uint64, loads []*peerpb.ServiceLoad) {
	inst.observeConfigVersion(from, configVersion)
	if f := inst.members.hooks.Load().OnHeartbeat; f != nil {
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

// heartbeatConns keeps one connection and one goroutine for each peer that
// heartbeats are sent to. A drpc connection carries one call at a time, so
// heartbeats do not share connections with other calls. It is used by one
// goroutine.
type heartbeatConns struct {
	instance  *Instance
	byAddress map[string]*heartbeatConn // By peer address.
}

type heartbeatConn struct {
	address  string
	pending  *ring.Ring[string] // Name of the peer that a heartbeat is due for.
	lastUsed time.Time
	rpcConn  *drpcconn.Conn // Used only by the goroutine of sendHeartbeats.
}

func newHeartbeatConns(inst *Instance) *heartbeatConns {
	return &heartbeatConns{instance: inst, byAddress: map[string]*heartbeatConn{}}
}

// send queues a heartbeat to each peer. A peer is skipped while a heartbeat to
// it is already queued.
func (conns *heartbeatConns) send(ctx context.Context, peers []membership.Update) {
	now := time.Now()
	for _, peer := range peers {
		conn, ok := conns.byAddress[peer.PeerAddress]
		if !ok {
			conn = &heartbeatConn{address: peer.PeerAddress, pending: ring.New[string](1)}
			conns.byAddress[peer.PeerAddress] = conn
			go conns.instance.sendHeartbeats(ctx, conn)
		}
		conn.lastUsed = now
		conn.pending.TryPush(peer.Name)
	}
	for address, conn := range conns.byAddress {
		if now.Sub(conn.lastUsed) >= heartbeatConnIdleTimeout {
			conn.pending.Close()
			delete(conns.byAddress, address)
		}
	}
}

func (conns *heartbeatConns) close() {
	for _, conn := range conns.byAddress {
		conn.pending.Close()
	}
}

// sendHeartbeats sends the queued heartbeats of one connection until its queue
// is closed.
func (inst *Instance) sendHeartbeats(ctx context.Context, conn *heartbeatConn) {
	defer conn.disconnect()
	for {
		name, ok := conn.pending.Pop(ctx)
		if !ok {
			return
		}
		if err := inst.sendHeartbeat(ctx, conn, name); err != nil {
			conn.disconnect()
		}
	}
}

func (inst *Instance) sendHeartbeat(ctx context.Context, conn *heartbeatConn, name string) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if err := conn.connect(ctx); err != nil {
		return err
	}
	inst.metrics.Heartbeats.Inc(1)
	sent := time.Now()
	response, err := peerpb.NewDRPCPeerClient(conn.rpcConn).Heartbeat(ctx, &peerpb.HeartbeatRequest{
		From:          MemberMessage(inst.members.self()),
		Updates:       memberMessages(inst.members.updatesFor(name)),
		ConfigVersion: inst.configVersion(),
		Loads:         inst.localLoads(),
	})
	if err != nil {
		return err
	}
	if from := response.GetFrom(); from != nil {
		inst.members.heartbeatResponse(memberUpdate(from), memberUpdates(response.GetUpdates()))
		if from.Region != inst.settings.Region {
			inst.regionDelays.record(from.Region, time.Since(sent))
		}
		inst.handleHeartbeat(from, response.GetConfigVersion(), response.GetLoads())
	}
	return nil
}

func (conn *heartbeatConn) connect(ctx context.Context) error {
	if conn.rpcConn != nil {
		select {
		case <-conn.rpcConn.Closed():
			conn.disconnect()
		default:
			return nil
		}
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", conn.address)
	if err != nil {
		return err
	}
	conn.rpcConn = drpcconn.New(raw)
	return nil
}

func (conn *heartbeatConn) disconnect() {
	if conn.rpcConn != nil {
		_ = conn.rpcConn.Close()
		conn.rpcConn = nil
	}
}

// MemberMessage converts a member update to the message that heartbeats carry.
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

// memberUpdate converts a message to a member update. An unknown state becomes
// one that the tracker ignores.
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

func (inst *Instance) configVersion() uint64 {
	if document := inst.document.Load(); document != nil {
		return document.Version
	}
	return 0
}
