package capacity

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"io"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/policy/policytest"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// timedConfigChanges is the number of one-block changes that are timed.
const timedConfigChanges = 3

// configBlockCounts are smaller than designBlocks because each publication validates
// the whole document.
var configBlockCounts = []int{5_000, 20_000, 80_000}

// noPeers implements the peers of a relay in a fleet of one instance.
type noPeers struct{ self configsync.Member }

func (p noPeers) Members() []configsync.Member { return []configsync.Member{p.self} }

func (noPeers) Push(context.Context, string, *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	return &peerpb.PushConfigResponse{}, nil
}

func (noPeers) Fetch(context.Context, string, *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return &peerpb.FetchConfigResponse{}, nil
}

// documentWithBlocks returns a policy document with designSites sites and as many
// client blocks as size says.
func documentWithBlocks(size int) *policy.Document {
	document := policytest.Document()
	policytest.AddSites(document, "site-%04d", designSites)
	first := len(document.Sites) - designSites
	for _, b := range randomBlocks(size) {
		document.Blocks = append(document.Blocks, policy.Block{Prefix: b.Prefix.String(), Site: document.Sites[first+int(b.Site)].Name})
	}
	return document
}

// configReceiver is an instance that applies pushed changes of one policy document,
// together with the publisher of the changes.
type configReceiver struct {
	publisher *configsync.Publisher
	document  *policy.Document
	version   uint64
	snapshot  *configsync.Snapshot // In force at the publisher.
	store     *configsync.Store
	relay     *configsync.Relay
	steering  *lookup.SteeringPolicy
}

// newConfigReceiver publishes a document and applies it at the instance.
func newConfigReceiver(ctx context.Context, size int) (*configReceiver, error) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	keys := []ed25519.PublicKey{configsync.PublicKey(key)}
	receiver := &configReceiver{document: documentWithBlocks(size), store: &configsync.Store{}}
	receiver.publisher = &configsync.Publisher{KV: platformd.Local{Store: platformd.NewStore(nil)}, Sign: configsync.SignWith(key), Keys: keys}
	if err := receiver.publish(ctx); err != nil {
		return nil, err
	}
	receiver.store.Offer(receiver.snapshot)
	self := configsync.Member{Name: "self", Domain: "domain"}
	logger := events.New(&log.Logger{Handler: events.NewHandler(io.Discard), Level: log.ErrorLevel})
	receiver.relay = configsync.NewRelay(self, receiver.store, noPeers{self}, keys, logger, nil)
	core := *receiver.document
	core.Blocks = nil
	steering, _, err := lookup.NewSteeringPolicy(&core, "domain", nil)
	if err != nil {
		return nil, err
	}
	delta, err := steering.ParseDelta(receiver.document.Blocks, nil)
	if err != nil {
		return nil, err
	}
	receiver.steering, err = steering.WithAllBlocks(receiver.version, delta.Set)
	return receiver, err
}

// publish publishes the document and reads the snapshot back, as the operator's
// command does.
func (receiver *configReceiver) publish(ctx context.Context) error {
	doc, err := json.Marshal(receiver.document)
	if err != nil {
		return err
	}
	if receiver.version, err = receiver.publisher.Publish(ctx, doc, receiver.version); err != nil {
		return err
	}
	receiver.snapshot, err = receiver.publisher.Snapshot(ctx)
	inForce := receiver.snapshot
	receiver.publisher.InForce = func() *configsync.Snapshot { return inForce }
	return err
}

// measureChange publishes a change of one block and returns how long the instance
// takes to apply the push to its snapshot and look-up table.
func (receiver *configReceiver) measureChange(ctx context.Context, i int) (time.Duration, error) {
	receiver.document.Blocks[i].Site = receiver.document.Sites[i%designSites].Name
	if err := receiver.publish(ctx); err != nil {
		return 0, err
	}
	value, err := receiver.publisher.KV.Get(ctx, configsync.HeadKey)
	if err != nil {
		return 0, err
	}
	head, err := configsync.DecodeHead(value.Data)
	if err != nil {
		return 0, err
	}
	push := &peerpb.PushConfigRequest{Version: receiver.version, Head: head.EncodeSince(receiver.version - 1)}
	start := time.Now()
	err = receiver.applyPush(ctx, push)
	return time.Since(start), err
}

// applyPush passes a push to the relay and applies the resulting block changes to
// the look-up table.
func (receiver *configReceiver) applyPush(ctx context.Context, push *peerpb.PushConfigRequest) error {
	previous := receiver.store.Current()
	if _, err := receiver.relay.HandlePush(ctx, push); err != nil {
		return err
	}
	set, removed, err := receiver.store.Current().BlockChanges(previous)
	if err != nil {
		return err
	}
	delta, err := receiver.steering.ParseDelta(set, removed)
	if err != nil {
		return err
	}
	receiver.steering, err = receiver.steering.WithDelta(receiver.version, delta)
	return err
}

// MeasureConfiguration measures the size of an instance's configuration snapshot
// and the time to apply pushed one-block changes.
func MeasureConfiguration() ([]Row, error) {
	ctx := context.Background()
	var rows []Row
	for _, size := range configBlockCounts {
		receiver, err := newConfigReceiver(ctx, size)
		if err != nil {
			return nil, err
		}
		var total time.Duration
		for i := range timedConfigChanges {
			duration, err := receiver.measureChange(ctx, i)
			if err != nil {
				return nil, err
			}
			total += duration
		}
		bytes := snapshotBytes(receiver)
		cpuPerSecond := float64(total) / timedConfigChanges * dailyConfigChanges / secondsPerDay
		rows = append(rows, Row{Role: "configuration", Size: size, SizeUnit: "blocks", StateBytes: bytes, CPUPerSecond: time.Duration(cpuPerSecond),
			Note: "26,000 one-block changes a day, snapshot and table; one: " + (total / timedConfigChanges).Round(time.Microsecond).String()})
	}
	return rows, nil
}

// snapshotBytes returns the live heap of the snapshot in force: the memory freed by
// dropping the store, after all other references have been dropped. The receiver
// is not usable afterwards.
func snapshotBytes(receiver *configReceiver) int64 {
	receiver.document, receiver.steering, receiver.publisher, receiver.relay = nil, nil, nil, nil
	receiver.snapshot = nil
	before := liveHeap()
	receiver.store = nil
	return before - liveHeap()
}

// MeasureDraft measures the memory of an operator's draft in the console: the base
// document, the edited document and the document to sign.
func MeasureDraft() ([]Row, error) {
	var rows []Row
	for _, size := range []int{10_000, 100_000, designBlocks} {
		doc, err := json.Marshal(documentWithBlocks(size))
		if err != nil {
			return nil, err
		}
		var buildErr error
		type draft struct {
			edit  ctl.Edit
			final []byte
		}
		_, bytes := stateBytes(func() *draft {
			d := &draft{}
			if d.edit.Base, buildErr = policy.Parse("base", doc); buildErr != nil {
				return d
			}
			if d.edit.Mine, buildErr = policy.Parse("mine", doc); buildErr != nil {
				return d
			}
			d.final, buildErr = ctl.Final(d.edit.Mine, d.edit.Base.Version)
			return d
		})
		if buildErr != nil {
			return nil, buildErr
		}
		rows = append(rows, Row{Role: "console draft", Size: size, SizeUnit: "blocks", StateBytes: bytes,
			Note: "one draft that was reviewed; only while an operator edits"})
	}
	return rows, nil
}
