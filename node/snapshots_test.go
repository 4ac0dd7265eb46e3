package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/mirror"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/steering"
)

// All followers of a large domain fetch a large configuration at the same time
// from an instance with a slow link. Guards against snapshots that are sent
// with little or no compression.
func TestSnapshotsAreCompressed(t *testing.T) {
	s := mirror.Snapshot{Revision: 7, Whole: true, ReturnedMs: 3}
	size := 0
	for i := range 1400 {
		value := fmt.Appendf(nil, `{"host":"a%d.example","prefix":"/route%d/","timeout":"1500ms","routeKind":"safe","attempts":2}`, i%3, i)
		size += len(value)
		s.Items = append(s.Items, kv.Item{Key: fmt.Sprint("k", i), Value: value, Revision: uint64(i + 1), Deleted: i%9 == 0})
	}
	b, err := compressedEncoding{}.Marshal(&s)
	require.NoError(t, err)
	assert.Less(t, len(b), size/4)
	var got mirror.Snapshot
	require.NoError(t, compressedEncoding{}.Unmarshal(b, &got))
	assert.Equal(t, s, got)
	assert.Error(t, compressedEncoding{}.Unmarshal(b[:len(b)/2], &got))
	assert.Error(t, compressedEncoding{}.Unmarshal(nil, &got))

	s = mirror.Snapshot{Revision: 8, Items: s.Items[:1]}
	b, err = compressedEncoding{}.Marshal(&s)
	require.NoError(t, err)
	got = mirror.Snapshot{}
	require.NoError(t, compressedEncoding{}.Unmarshal(b, &got))
	assert.Equal(t, s, got)
}

// Guards against instances that follow a peer and can't take its state because
// large records don't fit into one message.
func TestLargeSnapshotsReachPeers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	store := &fixedStore{}
	for region := range 6 {
		table := &steering.HomeTable{Objects: map[uint32]uint32{}}
		for range 90_000 {
			table.Objects[random.Uint32()] = random.Uint32()
		}
		value, err := platform.Codec{}.HomesValue(table)
		require.NoError(t, err)
		require.LessOrEqual(t, len(value), kv.MaxValueBytes)
		store.items = append(store.items, kv.Item{Key: platform.Codec{}.HomesKey(fmt.Sprint("r", region)), Value: value, Revision: uint64(region + 1)})
	}
	m := mirror.New(mirror.Options{Store: store, Codec: platform.Codec{}, Events: events.New(&log.Logger{Handler: discard.New()})})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	require.Eventually(t, func() bool { return m.Revision() == 6 }, 10*time.Second, 10*time.Millisecond)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = serveSnapshots(ctx, listener, m) }()
	s, err := requestSnapshot(ctx, mirror.Peer{Address: listener.Addr().String()}, kv.Revision{})
	require.NoError(t, err)
	assert.Equal(t, store.items, s.Items)
}
