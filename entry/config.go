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
func newConfig(in *Instance) (*config, error) {
	keys, err := configsync.ParseKeys(in.settings.OperatorKeys)
	if err != nil {
		return nil, err
	}
	self := configsync.Member{Name: in.settings.Name, Domain: in.settings.Domain}
	c := &config{
		operatorKeys: keys,
		store:        &configsync.Store{},
		peers:        &configPeers{self: self, members: in.members},
		log:          in.events,
	}
	if len(keys) == 0 {
		c.log.Emit(events.ConfigNoKeys, log.Fields{})
	}
	c.relay = configsync.NewRelay(self, c.store, c.peers, keys, c.log, in.applySnapshot)
	return c, nil
}

// watchDocument keeps the document in force up to date until ctx ends.
func (in *Instance) watchDocument(ctx context.Context) {
	in.readList(ctx)
	w := configsync.Watcher{KV: in.platform, Relay: in.config.relay}
	w.Run(ctx)
}

// applySnapshot puts a snapshot in force. It is called in the order of versions.
// The document that the instance keeps has no client blocks; they are in the
// look-up table, which takes only the blocks that changed.
func (in *Instance) applySnapshot(s *configsync.Snapshot) {
	d, err := parseDocument(s)
	if err == nil {
		err = in.lookupService.applySnapshot(d, s)
	}
	if err != nil {
		fields := log.Fields{"version": s.Version(), "source": "store", "reason": err.Error()}
		in.config.log.Emit(events.ConfigRejected, fields)
		return
	}
	in.document.Store(d)
}

func parseDocument(s *configsync.Snapshot) (*policy.Document, error) {
	core, err := s.Core()
	if err != nil {
		return nil, err
	}
	return policy.Parse(documentLabel, core)
}

// observeConfigVersion takes in the configuration version that a heartbeat carries.
func (in *Instance) observeConfigVersion(from *peerpb.MemberUpdate, version uint64) {
	if from.GetName() == in.settings.Name {
		return
	}
	member := configsync.Member{Name: from.GetName(), Domain: from.GetDomain()}
	go in.config.relay.ObserveVersion(context.Background(), member, version)
}
