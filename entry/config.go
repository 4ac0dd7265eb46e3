package entry

import (
	"context"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/policy"
)

const documentLabel = "published document"

// config keeps the configuration of the instance up to date.
type config struct {
	store *configsync.Store
	peers *configPeers
	relay *configsync.Relay
	log   *events.Log
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
		store: &configsync.Store{},
		peers: &configPeers{self: self, members: in.members, addresses: map[string]string{}, domains: map[string]string{}},
		log:   events.New(in.log),
	}
	if len(keys) == 0 {
		c.log.Emit(events.ConfigNoKeys, log.Fields{})
	}
	c.relay = configsync.NewRelay(self, c.store, c.peers, keys, c.log, in.useSnapshot)
	return c, nil
}

// watchDocument keeps the document in force up to date until ctx ends.
func (in *Instance) watchDocument(ctx context.Context) {
	in.refreshList(ctx)
	w := configsync.Watcher{KV: in.platform, Relay: in.config.relay}
	w.Run(ctx)
}

// refreshList reads the platform's list once, so that a cold instance knows
// its peers. Without the platform it learns them from their heartbeats.
func (in *Instance) refreshList(ctx context.Context) {
	if list, err := in.platform.Instances(ctx); err == nil {
		in.members.apply(list, in.settings.Name)
	}
}

// useSnapshot replaces the document. It is called in the order of versions.
func (in *Instance) useSnapshot(s *configsync.Snapshot) {
	src, err := s.Document()
	if err == nil {
		var d *policy.Document
		if d, err = policy.Parse(documentLabel, src); err == nil {
			in.document.Store(d)
			return
		}
	}
	fields := log.Fields{"version": s.Version(), "source": "store", "reason": err.Error()}
	in.config.log.Emit(events.ConfigRejected, fields)
}

// heartbeatSeen takes in the version that a heartbeat carries.
func (in *Instance) heartbeatSeen(ctx context.Context, from *peerpb.MemberUpdate, version uint64) {
	if from == nil || from.GetName() == in.settings.Name {
		return
	}
	in.config.peers.heard(from)
	member := configsync.Member{Name: from.GetName(), Domain: from.GetDomain()}
	go in.config.relay.Observed(context.WithoutCancel(ctx), member, version)
}
