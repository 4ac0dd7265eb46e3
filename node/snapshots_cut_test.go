package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/mirror"
	"github.com/jacinthstall/jacinthstall/platform"
)

// fixedStore is a store whose items never change.
type fixedStore struct {
	kv.Store
	items []kv.Item
}

func (s *fixedStore) Range(context.Context, string) ([]kv.Item, kv.Revision, error) {
	return s.items, kv.Revision{Number: uint64(len(s.items))}, nil
}

func (s *fixedStore) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, nil
}

// cutConnections forwards connections to an address and ends them after a number
// of bytes in the other direction.
func cutConnections(t *testing.T, to string, bytes int64, reset bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			here, err := listener.Accept()
			if err != nil {
				return
			}
			there, err := net.Dial("tcp", to)
			if err != nil {
				_ = here.Close()
				return
			}
			go func() { _, _ = io.Copy(there, here) }()
			go func() {
				_, _ = io.CopyN(here, there, bytes)
				if reset {
					_ = here.(*net.TCPConn).SetLinger(0)
				}
				_ = here.Close()
				_ = there.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a snapshot that breaks off and counts as all records of the peer.
func TestCutSnapshotIsNotAccepted(t *testing.T) {
	for name, count := range map[string]int{"plain": 3, "compressed": 200} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &fixedStore{}
			for i := range count {
				store.items = append(store.items, kv.Item{Key: fmt.Sprintf("other/%d", i), Value: []byte("a value"), Revision: uint64(i + 1)})
			}
			source := mirror.New(mirror.Options{Store: store, Codec: platform.Codec{}, Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)})})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go source.Run(ctx)
			require.Eventually(t, func() bool { return source.Revision() == uint64(count) }, 5*time.Second, time.Millisecond)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = serveSnapshots(ctx, listener, source) }()
			cuts := 0
			for n := int64(0); ; n++ {
				address := cutConnections(t, listener.Addr().String(), n, n%2 == 1)
				s, err := fetchSnapshot(ctx, mirror.Peer{Address: address}, kv.Revision{})
				if err == nil {
					assert.Len(t, s.Items, count)
					assert.Equal(t, uint64(count), s.Revision)
					break
				}
				cuts++
				require.Less(t, cuts, 1<<20)
			}
			assert.Greater(t, cuts, 100, "bytes of the snapshot")
		})
	}
}
