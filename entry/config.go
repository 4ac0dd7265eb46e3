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

// config keeps the configuration of the instance up to date.
type config struct {
	store        *configsync.Store
	peers        *configPeers
	operatorKeys []ed25519.PublicKey // Operators' keys.
	relay        *configsync.Relay
	log          *events.Log
}

// newConfig returns the configuration of an instance before the first
// document. It fails when an operator key of the settings is not valid.
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

// watchDocument keeps the document in force up to date until ctx ends.
func (inst *Instance) watchDocument(ctx context.Context) {
	inst.readList(ctx)
	w := configsync.Watcher{KV: inst.platform, Relay: inst.config.relay}
	w.Run(ctx)
}

// applySnapshot puts a snapshot in force. It is called in the order of versions.
// The document that the instance keeps has no client blocks; they are in the
// look-up table, which takes only the blocks that changed.
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

// observeConfigVersion takes in the configuration version that a heartbeat carries.
func (inst *Instance) observeConfigVersion(from *peerpb.MemberUpdate, version uint64) {
	if from.GetName() == inst.settings.Name {
		return
	}
	member := configsync.Member{Name: from.GetName(), Domain: from.GetDomain()}
	go inst.config.relay.Observed(context.Background(), member, version)
}
