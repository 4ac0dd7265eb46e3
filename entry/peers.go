package entry

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

type peerServer struct {
	peerpb.DRPCPeerUnimplementedServer
	in *Instance
}

func (in *Instance) servePeers(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &peerServer{in: in}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// Heartbeat answers with the state of this instance.
func (p *peerServer) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	if from := r.GetFrom(); from != nil {
		leaving := from.State == peerpb.MemberState_MEMBER_STATE_LEAVING
		p.in.members.answered(from.Name, leaving, time.Now())
	}
	p.in.heartbeatSeen(ctx, r.GetFrom(), r.GetConfigVersion())
	return &peerpb.HeartbeatResponse{From: p.in.selfUpdate(), ConfigVersion: p.in.configVersion()}, nil
}

func (in *Instance) selfUpdate() *peerpb.MemberUpdate {
	state := peerpb.MemberState_MEMBER_STATE_ALIVE
	if in.leaving.Load() {
		state = peerpb.MemberState_MEMBER_STATE_LEAVING
	}
	return &peerpb.MemberUpdate{
		Name:          in.settings.Name,
		Incarnation:   in.incarnation,
		State:         state,
		Domain:        in.settings.Domain,
		Region:        in.settings.Region,
		PeerAddress:   in.settings.PeerAddress,
		CallerAddress: in.settings.CallerAddress,
	}
}

func (in *Instance) sendHeartbeats(ctx context.Context) {
	every(ctx, heartbeatInterval, func() {
		for name, address := range in.members.addresses() {
			go in.heartbeat(ctx, name, address)
		}
	})
}

func (in *Instance) heartbeat(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	request := &peerpb.HeartbeatRequest{From: in.selfUpdate(), ConfigVersion: in.configVersion()}
	answer, err := peerpb.NewDRPCPeerClient(conn).Heartbeat(ctx, request)
	if err != nil {
		return
	}
	leaving := answer.GetFrom().GetState() == peerpb.MemberState_MEMBER_STATE_LEAVING
	in.members.answered(name, leaving, time.Now())
	in.heartbeatSeen(ctx, answer.GetFrom(), answer.GetConfigVersion())
}

func (in *Instance) configVersion() uint64 {
	if d := in.document.Load(); d != nil {
		return d.Version
	}
	return 0
}
