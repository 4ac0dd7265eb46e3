package node

import (
	"context"
	"net"
	"strings"
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
	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Guards against a home table that is never written again because another
// writer has replaced it by a record that can't be read.
func TestDamagedHomeTableIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := metastore.New()
	server := metastore.NewServer(store, listener)
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Close() })
	client, err := platform.NewStore(listener.Addr().String())
	require.NoError(t, err)
	codec := platform.Codec{}
	key := codec.HomesKey("r")
	for name, value := range map[string]string{"empty": "", "no base64": `{"pairs":"?"}`, "half a pair": `{"pairs":"AAAA"}`, "list": "[]", "number": `{"pairs":1e400}`,
		"deep": strings.Repeat("[", 500_000), "bytes": "\x00\xff", "1 MB": strings.Repeat("x", kv.MaxValueBytes)} {
		store.Delete(key)
		store.Put(key, []byte(`{"pairs":"AAAAAQAAAAI="}`))
		ctx, cancel := context.WithCancel(context.Background())
		m := mirror.New(mirror.Options{Store: client, Codec: codec, Events: events.New(&log.Logger{Handler: discard.New()})})
		go m.Run(ctx)
		require.Eventually(t, func() bool { return m.State().HomeTables["r"] != nil }, 5*time.Second, 10*time.Millisecond, name)
		damaged := store.Put(key, []byte(value))
		require.Eventually(t, func() bool { return m.Revision() >= damaged }, 5*time.Second, 10*time.Millisecond, name)
		table := m.State().HomeTables["r"]
		assert.Equal(t, map[uint32]uint32{1: 2}, table.Objects, "%s: the table stays in force", name)
		node := &Node{options: Options{Platform: codec, Store: client}, mirror: m, self: steering.Instance{Region: "r"}}
		next := &steering.HomeTable{Revision: table.Revision, Objects: map[uint32]uint32{1: 3}}
		assert.NoError(t, node.writeHomeTable(ctx, next), name)
		assert.Eventually(t, func() bool { return m.State().HomeTables["r"].Objects[1] == 3 }, 5*time.Second, 10*time.Millisecond, name)
		table = m.State().HomeTables["r"]
		assert.NoError(t, node.writeHomeTable(ctx, table), name)
		assert.ErrorIs(t, node.writeHomeTable(ctx, &steering.HomeTable{Revision: damaged}), kv.ErrConflict, "%s: a readable table is not overwritten unseen", name)
		cancel()
	}
}
