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
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/mirror"
)

const (
	// fetchTimeout bounds the fetch of a snapshot from a peer.
	fetchTimeout = time.Second
	// maxMessageBytes bounds a message as it is sent. Home tables and large
	// records of other writers are hard to compress.
	maxMessageBytes = 16 << 20
	rpcSnapshot     = "/jacinthstall.Mirror/Snapshot"
)

// snapshotRequest asks for the changes after a revision.
type snapshotRequest struct {
	After uint64
	Era   uint64 // Of After.
}

// compressedEncoding compresses long messages: a snapshot may hold a large
// configuration or the records of all targets, which repeat their field names.
// The first byte tells whether a message is compressed.
type compressedEncoding struct{}

const (
	formatPlain      = 0
	formatCompressed = 1
	// minCompressedBytes is the length from which messages are compressed.
	minCompressedBytes = 4 << 10
	// maxUncompressedBytes bounds a decompressed message. All records of a
	// deployment of 8,000 instances take some 20 MB.
	maxUncompressedBytes = 64 << 20
)

// compressorPool reuses compressors, which take some 100 KB each.
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

var errEmptyMessage = errors.New("empty snapshot message from peer")

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

// snapshotService serves snapshots of a mirror to peers.
type snapshotService struct{ mirror *mirror.Mirror }

func (s *snapshotService) Snapshot(_ context.Context, r *snapshotRequest) (*mirror.Snapshot, error) {
	changes := s.mirror.ChangesSince(kv.Revision{Era: r.Era, Number: r.After})
	return &changes, nil
}

// snapshotDescription describes snapshotService to drpc.
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

// fetchSnapshot fetches the changes at a peer after a revision.
func fetchSnapshot(ctx context.Context, p mirror.Peer, after kv.Revision) (mirror.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return requestSnapshot(ctx, p, after)
}

func requestSnapshot(ctx context.Context, p mirror.Peer, after kv.Revision) (mirror.Snapshot, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return mirror.Snapshot{}, err
	}
	options := drpcconn.Options{Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}}
	conn := drpcconn.NewWithOptions(raw, options)
	defer func() { _ = conn.Close() }()
	var s mirror.Snapshot
	err = conn.Invoke(ctx, rpcSnapshot, compressedEncoding{}, &snapshotRequest{After: after.Number, Era: after.Era}, &s)
	return s, err
}
