package entry

import (
	"context"
	"crypto/ed25519"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/policy"
)

const documentLabel = "published document"

// config holds the published configuration of an instance and updates it.
type config struct {
	store        *configsync.Store
	peers        *configPeers
	operatorKeys []ed25519.PublicKey // Public keys that may sign documents.
	relay        *configsync.Relay
	log          *events.Log
}

// newConfig returns a config without a document. It fails when an operator key
// in the settings is not valid.
func newConfig(inst *Instance) (*config, error) {
	keys, err := configsync.ParseKeys(inst.settings.OperatorKeys)
	if err != nil {
		return nil, err
	}
	self := configsync.Member{Name: inst.settings.Name, Domain: inst.settings.Domain}
	c := &config{
		operatorKeys: keys,
		store:        &configsync.Store{},
		peers:        &configPeers{self: self, members: inst.members},
		log:          inst.events,
	}
	if len(keys) == 0 {
		c.log.Emit(events.ConfigNoKeys, log.Fields{})
	}
	c.relay = configsync.NewRelay(self, c.store, c.peers, keys, c.log, inst.applySnapshot)
	return c, nil
}

// watchDocument applies published documents until ctx ends.
func (inst *Instance) watchDocument(ctx context.Context) {
	inst.readList(ctx)
	w := configsync.Watcher{KV: inst.platform, Relay: inst.config.relay}
	w.Run(ctx)
}

// applySnapshot makes a configuration snapshot current. It is called in the
// order of versions. The document that the instance keeps has no client blocks:
// these are only in the look-up table, which applies just the blocks that
// changed.
func (inst *Instance) applySnapshot(snapshot *configsync.Snapshot) {
	document, err := parseDocument(snapshot)
	if err == nil {
		err = inst.lookupService.applySnapshot(document, snapshot)
	}
	if err != nil {
		fields := log.Fields{"version": snapshot.Version(), "source": "store", "reason": err.Error()}
		inst.config.log.Emit(events.ConfigRejected, fields)
		return
	}
	inst.document.Store(document)
}

func parseDocument(snapshot *configsync.Snapshot) (*policy.Document, error) {
	core, err := snapshot.Core()
	if err != nil {
		return nil, err
	}
	return policy.Parse(documentLabel, core)
}

// observeConfigVersion handles the configuration version in a heartbeat of a
// peer.
func (inst *Instance) observeConfigVersion(from *peerpb.MemberUpdate, version uint64) {
	if from.GetName() == inst.settings.Name {
		return
	}
	member := configsync.Member{Name: from.GetName(), Domain: from.GetDomain()}
	inst.tasks.start(func(ctx context.Context) { inst.config.relay.ObserveVersion(ctx, member, version) })
}
