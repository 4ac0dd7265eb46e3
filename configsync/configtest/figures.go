// Package configtest computes the costs of distributing the configuration at
// the design scale from the sizes of real encoded messages and the calls that
// the platform stand-in counts.
package configtest

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/internal/figures"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/policy/policytest"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// The design scale.
const (
	domains                   = 56
	instances                 = 8000
	changesPerSecond          = 26000.0 / 86400
	maxInstanceBytesPerSecond = 9000.0 // Bound in bytes per second.
	maxReadsPerSecond         = 2000.0 / 4
	maxWritesPerSecond        = 300.0 / 4
)

const (
	// blocksPerBucket is lower than at the design scale: deltas have the same
	// size, and no bucket is empty.
	blocksPerBucket = 2
	sites           = 1200
	// httpOverheadBytes is an allowance for request line, status line and headers of
	// one watch.
	httpOverheadBytes = 512
	command           = "go test ./configsync/configtest -run TestFigures -v"
)

// measurements holds what the stand-in and the encoded messages show.
type measurements struct {
	pushBytes                   int             // Bytes of one push and its response.
	watchBytes                  int             // Bytes of the end of one watch.
	publishCalls                platformd.Calls // Calls of one publication next to an instance.
	publishCallsWithoutInstance platformd.Calls // Calls of one publication without an instance.
}

// Figures returns the figures of the configuration, all of them deterministic.
func Figures() ([]figures.Figure, error) {
	m, err := measure(context.Background())
	if err != nil {
		return nil, err
	}
	// A watch ends with a change or after its wait.
	watchesPerSecond := changesPerSecond / (1 - math.Exp(-changesPerSecond*configsync.WatchWait.Seconds()))
	push, watch := float64(m.pushBytes), float64(m.watchBytes)
	// A relay may get a change from both watching instances.
	relay := (2 + configsync.FanOut) * push * changesPerSecond
	// A watching instance pushes to the first level and the other watching instance.
	watcher := (2+configsync.FanOut)*push*changesPerSecond + watch*watchesPerSecond
	watches := domains * configsync.WatchersPerDomain * watchesPerSecond
	reads := watches + changesPerSecond*float64(m.publishCalls.Reads)
	readsAlone := watches + changesPerSecond*float64(m.publishCallsWithoutInstance.Reads)
	writes := changesPerSecond * float64(max(m.publishCalls.Writes, m.publishCallsWithoutInstance.Writes))
	name := func(text string) string {
		return fmt.Sprintf("configuration, %d instances, %d domains: %s", instances, domains, text)
	}
	return []figures.Figure{
		{Name: name("push of one change"), Value: push, Unit: "B", Bound: 1024, Command: command},
		{Name: name("inner instance of the tree"), Value: relay, Unit: "B/s", Bound: maxInstanceBytesPerSecond, Command: command},
		{Name: name("watching instance"), Value: watcher, Unit: "B/s", Bound: maxInstanceBytesPerSecond, Command: command},
		{Name: name("platform reads"), Value: reads, Unit: "1/s", Bound: maxReadsPerSecond, Command: command},
		{Name: name("platform reads, publisher without an instance"), Value: readsAlone, Unit: "1/s", Bound: maxReadsPerSecond, Command: command},
		{Name: name("platform writes"), Value: writes, Unit: "1/s", Bound: maxWritesPerSecond, Command: command},
		{Name: name("platform writes for one change"), Value: float64(m.publishCalls.Writes), Unit: "calls", Bound: 3, Command: command},
		{Name: name("platform reads for one change, publisher"), Value: float64(m.publishCalls.Reads), Unit: "calls", Bound: 3, Command: command},
	}, nil
}

// measure publishes changes of one block until the head record is full.
func measure(ctx context.Context) (measurements, error) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	store := platformd.NewStore(nil)
	p := &configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(key), Keys: []ed25519.PublicKey{configsync.PublicKey(key)}}
	document := designScaleDocument()
	if _, err := publish(ctx, p, document, 0); err != nil {
		return measurements{}, err
	}
	inForce, err := p.Snapshot(ctx)
	if err != nil {
		return measurements{}, err
	}
	alone := *p
	p.InForce = func() *configsync.Snapshot { return inForce }
	var m measurements
	for base := uint64(1); base <= configsync.MaxDeltas+1; base++ {
		document.Blocks[base].Site = fmt.Sprintf("site-%04d", (base*7)%sites)
		publisher := p
		if base == configsync.MaxDeltas+1 {
			publisher = &alone
		}
		m.publishCallsWithoutInstance, err = publish(ctx, publisher, document, base)
		if err != nil {
			return measurements{}, err
		}
		if base == configsync.MaxDeltas {
			m.publishCalls = m.publishCallsWithoutInstance
		}
		if inForce, err = p.Snapshot(ctx); err != nil {
			return measurements{}, err
		}
	}
	return m, m.setMessageSizes(store)
}

// designScaleDocument returns a document with blocksPerBucket blocks in each bucket.
func designScaleDocument() *policy.Document {
	d := policytest.Document()
	policytest.AddSites(d, "site-%04d", sites)
	var count [configsync.Buckets]int
	for i := 0; len(d.Blocks) < blocksPerBucket*configsync.Buckets; i++ {
		prefix := fmt.Sprintf("%d.%d.%d.0/24", 100+i>>16, i>>8&255, i&255)
		if n := configsync.BucketOf(prefix); count[n] < blocksPerBucket {
			count[n]++
			d.Blocks = append(d.Blocks, policy.Block{Prefix: prefix, Site: fmt.Sprintf("site-%04d", i%sites)})
		}
	}
	return d
}

// publish publishes a document and returns the calls that it took.
func publish(ctx context.Context, p *configsync.Publisher, d *policy.Document, base uint64) (platformd.Calls, error) {
	doc, err := json.Marshal(d)
	if err != nil {
		return platformd.Calls{}, err
	}
	store := p.KV.(platformd.Local).Store
	before := store.Calls()
	_, err = p.Publish(ctx, doc, base)
	after := store.Calls()
	return platformd.Calls{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes}, err
}

// setMessageSizes fills in the sizes of the messages that carry the published record.
func (m *measurements) setMessageSizes(store *platformd.Store) error {
	value, err := store.Get(configsync.HeadKey)
	if err != nil {
		return err
	}
	head, err := configsync.DecodeHead(value.Data)
	if err != nil {
		return err
	}
	body, err := json.Marshal(kv.Value{Data: value.Data, Revision: value.Revision})
	if err != nil {
		return err
	}
	m.watchBytes = len(body) + httpOverheadBytes
	// The size of the version number at the end of a year.
	version := uint64(365 * 26000)
	request := &peerpb.PushConfigRequest{Version: version, Head: head.EncodeSince(head.Version - 1), Depth: 3}
	response := &peerpb.PushConfigResponse{Version: version}
	m.pushBytes, err = callBytes("/jacinthstall.peer.Peer/PushConfig", request, response)
	return err
}

// callBytes returns the bytes of one call in DRPC framing.
func callBytes(rpc string, request, response proto.Message) (int, error) {
	in, err := proto.Marshal(request)
	if err != nil {
		return 0, err
	}
	out, err := proto.Marshal(response)
	if err != nil {
		return 0, err
	}
	var wire []byte
	for i, f := range []drpcwire.Frame{
		{Data: []byte(rpc), Kind: drpcwire.KindInvoke},
		{Data: in, Kind: drpcwire.KindMessage},
		{Kind: drpcwire.KindCloseSend},
		{Data: out, Kind: drpcwire.KindMessage},
		{Kind: drpcwire.KindCloseSend},
	} {
		f.Done = true
		f.ID = drpcwire.ID{Stream: 1, Message: uint64(i + 1)}
		wire = drpcwire.AppendFrame(wire, f)
	}
	return len(wire), nil
}
