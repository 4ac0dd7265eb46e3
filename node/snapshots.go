package node

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"sync"
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
	After uint64
}

// compressedEncoding compresses long messages: a snapshot may hold a whole
// configuration or the records of all targets, which repeat the names of their
// fields. The first byte tells whether a message is compressed.
type compressedEncoding struct{}

const (
	formatPlain      = 0
	formatCompressed = 1
	// minCompressedBytes is the length of messages from which on they are compressed.
	minCompressedBytes = 4 << 10
	// maxUncompressedBytes bounds a message once it is unpacked. All records of a
	// deployment of 8,000 instances take some 20 MB.
	maxUncompressedBytes = 64 << 20
)

// compressorPool are compressors for reuse. Each takes some 100 KB.
var compressorPool = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

func (compressedEncoding) Marshal(m drpc.Message) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(formatPlain)
	if err := gob.NewEncoder(&b).Encode(m); err != nil || b.Len() < minCompressedBytes {
		return b.Bytes(), err
	}
	w := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
	var out bytes.Buffer
	out.WriteByte(formatCompressed)
	w.Reset(&out)
	if _, err := w.Write(b.Bytes()[1:]); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

var errEmptyMessage = errors.New("message of a peer is empty")

func (compressedEncoding) Unmarshal(b []byte, m drpc.Message) error {
	if len(b) == 0 {
		return errEmptyMessage
	}
	var from io.Reader = bytes.NewReader(b[1:])
	if b[0] == formatCompressed {
		from = io.LimitReader(flate.NewReader(from), maxUncompressedBytes)
	}
	return gob.NewDecoder(from).Decode(m)
}

// snapshotService answers with the records of a mirror.
type snapshotService struct{ mirror *mirror.Mirror }

func (s *snapshotService) Snapshot(_ context.Context, r *snapshotRequest) (*mirror.Snapshot, error) {
	changes := s.mirror.ChangesSince(r.After)
	return &changes, nil
}

// snapshotDescription describes the service to drpc.
type snapshotDescription struct{}

func (snapshotDescription) NumMethods() int { return 1 }

func (snapshotDescription) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	receive := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		return srv.(*snapshotService).Snapshot(ctx, in1.(*snapshotRequest))
	}
	return rpcSnapshot, compressedEncoding{}, receive, (*snapshotService).Snapshot, true
}

func serveSnapshots(ctx context.Context, l net.Listener, m *mirror.Mirror) error {
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
	err = conn.Invoke(ctx, rpcSnapshot, compressedEncoding{}, &snapshotRequest{After: after}, &s)
	return s, err
}
