// Package configtest computes the cost of distributing the configuration in the
// largest system of the design (8,000 instances in 56 failure domains) from the
// sizes of real encoded messages and the number of calls to the platform
// stand-in.
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

// Size of the largest system in the design, and the bounds that apply to it.
const (
	domains                   = 56
	instances                 = 8000
	changesPerSecond          = 26000.0 / 86400
	maxInstanceBytesPerSecond = 9000.0     // Control traffic of one instance.
	maxReadsPerSecond         = 2000.0 / 4 // A quarter of the platform's rate limit.
	maxWritesPerSecond        = 300.0 / 4  // A quarter of the platform's rate limit.
)

const (
	// blocksPerBucket is lower than in the largest system. This does not affect the
	// results: deltas have the same size, and no bucket is empty.
	blocksPerBucket = 2
	sites           = 1200
	// httpOverheadBytes is an allowance for the request line, the status line and
	// the headers of one watch.
	httpOverheadBytes = 512
	command           = "go test ./configsync/configtest -run TestFigures -v"
)

// measurements contains the measured message sizes and call counts.
type measurements struct {
	pushBytes                   int             // Size of a push and its response.
	watchBytes                  int             // Size of the response to a watch.
	publishCalls                platformd.Calls // Calls of a publication at an instance.
	publishCallsWithoutInstance platformd.Calls // Calls of a publication without an instance.
}

// Figures returns the figures of the distribution of the configuration. They are
// deterministic.
func Figures() ([]figures.Figure, error) {
	measured, err := measure(context.Background())
	if err != nil {
		return nil, err
	}
	// A watch ends at the first change, at the latest after WatchWait.
	watchesPerSecond := changesPerSecond / (1 - math.Exp(-changesPerSecond*configsync.WatchWait.Seconds()))
	push, watch := float64(measured.pushBytes), float64(measured.watchBytes)
	// A relay may receive a change from both watchers.
	relayBytesPerSecond := (2 + configsync.FanOut) * push * changesPerSecond
	// A watcher pushes to the first level of the relay tree and to the other watcher.
	watcherBytesPerSecond := (2+configsync.FanOut)*push*changesPerSecond + watch*watchesPerSecond
	watchReads := domains * configsync.WatchersPerDomain * watchesPerSecond
	totalReads := watchReads + changesPerSecond*float64(measured.publishCalls.Reads)
	totalReadsWithoutInstance := watchReads + changesPerSecond*float64(measured.publishCallsWithoutInstance.Reads)
	writes := changesPerSecond * float64(max(measured.publishCalls.Writes, measured.publishCallsWithoutInstance.Writes))
	figureName := func(text string) string {
		return fmt.Sprintf("configuration, %d instances, %d domains: %s", instances, domains, text)
	}
	return []figures.Figure{
		{Name: figureName("push of one change"), Value: push, Unit: "B", Bound: 1024, Command: command},
		{Name: figureName("inner instance of the tree"), Value: relayBytesPerSecond, Unit: "B/s", Bound: maxInstanceBytesPerSecond, Command: command},
		{Name: figureName("watching instance"), Value: watcherBytesPerSecond, Unit: "B/s", Bound: maxInstanceBytesPerSecond, Command: command},
		{Name: figureName("platform reads"), Value: totalReads, Unit: "1/s", Bound: maxReadsPerSecond, Command: command},
		{Name: figureName("platform reads, publisher without an instance"), Value: totalReadsWithoutInstance, Unit: "1/s", Bound: maxReadsPerSecond, Command: command},
		{Name: figureName("platform writes"), Value: writes, Unit: "1/s", Bound: maxWritesPerSecond, Command: command},
		{Name: figureName("platform writes for one change"), Value: float64(measured.publishCalls.Writes), Unit: "calls", Bound: 3, Command: command},
		{Name: figureName("platform reads for one change, publisher"), Value: float64(measured.publishCalls.Reads), Unit: "calls", Bound: 3, Command: command},
	}, nil
}

// measure publishes changes of one block until the head record contains the
// maximum number of deltas. The last publication is without an instance.
func measure(ctx context.Context) (measurements, error) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	store := platformd.NewStore(nil)
	withInstance := &configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(key), Keys: []ed25519.PublicKey{configsync.PublicKey(key)}}
	document := designScaleDocument()
	if _, err := publish(ctx, withInstance, document, 0); err != nil {
		return measurements{}, err
	}
	inForce, err := withInstance.Snapshot(ctx)
	if err != nil {
		return measurements{}, err
	}
	withoutInstance := *withInstance
	withInstance.InForce = func() *configsync.Snapshot { return inForce }
	var measured measurements
	for base := uint64(1); base <= configsync.MaxDeltas+1; base++ {
		document.Blocks[base].Site = fmt.Sprintf("site-%04d", (base*7)%sites)
		publisher := withInstance
		if base == configsync.MaxDeltas+1 {
			publisher = &withoutInstance
		}
		measured.publishCallsWithoutInstance, err = publish(ctx, publisher, document, base)
		if err != nil {
			return measurements{}, err
		}
		if base == configsync.MaxDeltas {
			measured.publishCalls = measured.publishCallsWithoutInstance
		}
		if inForce, err = withInstance.Snapshot(ctx); err != nil {
			return measurements{}, err
		}
	}
	return measured, measured.setMessageSizes(store)
}

// designScaleDocument returns a document with the sites of the design scale and
// blocksPerBucket blocks in each bucket.
func designScaleDocument() *policy.Document {
	doc := policytest.Document()
	policytest.AddSites(doc, "site-%04d", sites)
	var blocksInBucket [configsync.Buckets]int
	for i := 0; len(doc.Blocks) < blocksPerBucket*configsync.Buckets; i++ {
		prefix := fmt.Sprintf("%d.%d.%d.0/24", 100+i>>16, i>>8&255, i&255)
		if bucket := configsync.BucketOf(prefix); blocksInBucket[bucket] < blocksPerBucket {
			blocksInBucket[bucket]++
			doc.Blocks = append(doc.Blocks, policy.Block{Prefix: prefix, Site: fmt.Sprintf("site-%04d", i%sites)})
		}
	}
	return doc
}

// publish publishes a document and returns the number of platform calls.
func publish(ctx context.Context, publisher *configsync.Publisher, document *policy.Document, base uint64) (platformd.Calls, error) {
	doc, err := json.Marshal(document)
	if err != nil {
		return platformd.Calls{}, err
	}
	store := publisher.KV.(platformd.Local).Store
	before := store.Calls()
	_, err = publisher.Publish(ctx, doc, base)
	after := store.Calls()
	return platformd.Calls{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes}, err
}

// setMessageSizes measures the sizes of the messages that contain the published
// head record.
func (measured *measurements) setMessageSizes(store *platformd.Store) error {
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
	measured.watchBytes = len(body) + httpOverheadBytes
	// The encoded size of the version number after one year of changes.
	version := uint64(365 * 26000)
	request := &peerpb.PushConfigRequest{Version: version, Head: head.EncodeSince(head.Version - 1), Depth: 3}
	response := &peerpb.PushConfigResponse{Version: version}
	measured.pushBytes, err = callBytes("/jacinthstall.peer.Peer/PushConfig", request, response)
	return err
}

// callBytes returns the size of a call and its response in DRPC framing.
func callBytes(rpc string, request, response proto.Message) (int, error) {
	requestBytes, err := proto.Marshal(request)
	if err != nil {
		return 0, err
	}
	responseBytes, err := proto.Marshal(response)
	if err != nil {
		return 0, err
	}
	var wire []byte
	for i, frame := range []drpcwire.Frame{
		{Data: []byte(rpc), Kind: drpcwire.KindInvoke},
		{Data: requestBytes, Kind: drpcwire.KindMessage},
		{Kind: drpcwire.KindCloseSend},
		{Data: responseBytes, Kind: drpcwire.KindMessage},
		{Kind: drpcwire.KindCloseSend},
	} {
		frame.Done = true
		frame.ID = drpcwire.ID{Stream: 1, Message: uint64(i + 1)}
		wire = drpcwire.AppendFrame(wire, frame)
	}
	return len(wire), nil
}
