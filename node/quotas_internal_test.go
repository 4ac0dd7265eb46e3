package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/gossip"
	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/mirror"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Accounts lose their limits while requests are refused. Guards against a state per
// account that is never removed, and against excesses whose end is not logged.
func TestRefusalsOfRemovedAccountsAreForgotten(t *testing.T) {
	now, handler := time.Now(), memory.New()
	quotas := newAccountQuotas(settings.Bounds{}, events.New(&log.Logger{Handler: handler, Level: log.InfoLevel}), now)
	quotas.refused = gometrics.NewCounter()
	before := &steering.Config{}
	for i := range 3 {
		name := fmt.Sprint("a", i)
		config := &steering.Config{Accounts: map[string]*steering.Account{name: {Name: name, RequestsPerSecond: 1}}}
		quotas.configChanged(now, before, config)
		for range 10 {
			quotas.Admit(now, name)
		}
		before = config
	}
	quotas.configChanged(now, before, &steering.Config{})
	assert.Zero(t, quotas.logged.Len())
	restored := 0
	for _, entry := range handler.Entries {
		if entry.Fields["event"] == events.QuotaRestored.Number {
			restored++
		}
	}
	assert.Equal(t, 3, restored)
}

// A stalled instance reads a change of the store before the messages of its peers.
// Guards against levels that are cut to the part of an instance that hears nobody.
func TestChangesOfTheStateKeepTheShareOfLimits(t *testing.T) {
	now, eventLog := time.Now(), events.New(&log.Logger{Handler: memory.New()})
	node := &Node{balancer: balance.New(balance.Options{}, now), suspects: balance.NewSuspects(), events: eventLog, mirror: mirror.New(mirror.Options{Events: eventLog}),
		quotas: newAccountQuotas(settings.Bounds{}, eventLog, now.Add(-time.Hour))}
	var err error
	node.exchange, err = gossip.Listen(gossip.Options{Self: steering.Instance{Name: "n", Domain: "a", PeerAddress: loopback.Host() + ":7000"}, Events: eventLog, Balancer: node.balancer,
		Suspects: node.suspects, Quotas: node.quotas.Limiter, Revision: func() kv.Revision { return kv.Revision{} }, Ready: func() bool { return true },
		Leaving: func() bool { return false }, StoreReachable: func() bool { return true }})
	require.NoError(t, err)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	defer node.exchange.Run(ended) // Closes its socket.
	config := &steering.Config{Accounts: map[string]*steering.Account{"a": {Name: "a", RequestsPerSecond: 10}}}
	before, after := steering.NewState(), steering.NewState()
	before.Config, after.Config = config, config
	after.Instances = map[string]steering.Instance{"n": {}, "other": {}}
	node.quotas.SetAccounts(now, config.Accounts)
	node.stateChanged(before, after)
	for {
		if decision := node.quotas.Limiter.Admit(time.Now(), "a"); !decision.Admitted {
			assert.InDelta(t, 10, decision.Limit, 0.01)
			return
		}
	}
}
