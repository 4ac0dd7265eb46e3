package node

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/jacinthstall/jacinthstall/mirror"
)

const (
	// fetchTimeout bounds an exchange of all records with a peer.
	fetchTimeout = time.Second
	rpcSnapshot  = "/jacinthstall.Mirror/Snapshot"
)

// snapshotRequest asks for what has changed after a revision.
type snapshotRequest struct {
	After uint64 `json:"after"`
}

// jsonEncoding encodes the messages of this service. One is exchanged for each
// change of the records.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(m drpc.Message) ([]byte, error)   { return json.Marshal(m) }
func (jsonEncoding) Unmarshal(b []byte, m drpc.Message) error { return json.Unmarshal(b, m) }

// snapshotService answers with the records of a mirror.
type snapshotService struct{ mirror *mirror.Mirror }

func (s *snapshotService) Snapshot(_ context.Context, r *snapshotRequest) (*mirror.Snapshot, error) {
	changes := s.mirror.Since(r.After)
	return &changes, nil
}

// snapshotDescription describes the service to drpc.
type snapshotDescription struct{}

func (snapshotDescription) NumMethods() int { return 1 }

func (snapshotDescription) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	receive := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		return srv.(*snapshotService).Snapshot(ctx, in1.(*snapshotRequest))
	}
	return rpcSnapshot, jsonEncoding{}, receive, (*snapshotService).Snapshot, true
}

func servePeers(ctx context.Context, l net.Listener, m *mirror.Mirror) error {
	mux := drpcmux.New()
	if err := mux.Register(&snapshotService{m}, snapshotDescription{}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// fetchSnapshot asks a peer for what has changed after a revision.
func fetchSnapshot(ctx context.Context, p mirror.Peer, after uint64) (mirror.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return mirror.Snapshot{}, err
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	var s mirror.Snapshot
	err = conn.Invoke(ctx, rpcSnapshot, jsonEncoding{}, &snapshotRequest{After: after}, &s)
	return s, err
}
