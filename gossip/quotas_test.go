package gossip

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

// The store rejects half of the instances until their registrations lapse, then a
// partition begins. Guards against a side that divides the limits by the registered
// instances only and uses more than its part.
func TestUnregisteredInstancesKeepTheirPartInAPartition(t *testing.T) {
	now := time.Now()
	cutOff := now.Add(-10 * time.Second)
	registered := map[string]steering.Instance{"n0": {}, "n1": {}, "far0": {}}
	exchange := &Exchange{options: Options{Self: steering.Instance{Name: "n2"}},
		peers: map[string]*peerState{"n0": {lastHeard: now}, "n1": {lastHeard: now}, "n3": {lastHeard: cutOff},
			"stopped": {lastHeard: cutOff, lastMessage: Message{Leaving: true}}, "old": {lastHeard: now.Add(-2 * unregisteredPeerTTL)}},
		remoteDomains: map[string]*remoteDomain{"far": {lastHeard: cutOff, lastDigest: Message{Members: []Member{{Name: "far0"}, {Name: "far1"}, {Name: "far2", Leaving: true}}}}}}
	assert.Equal(t, 3, exchange.HeardInstances(now))
	assert.Equal(t, 6, exchange.KnownInstances(now, registered), "n0 to n3, far0 and far1")
}

// Guards against a peer that forgets what this instance admits, because the response
// to its first message carries no rates.
func TestResponseToANewPeerCarriesQuotas(t *testing.T) {
	now := time.Now()
	limiter := quota.New(quota.Options{Window: 5 * time.Second})
	limiter.SetAccounts(now, map[string]*steering.Account{"a": {RequestsPerSecond: 100}})
	limiter.Admit(now, "a")
	exchange, err := Listen(Options{Self: steering.Instance{Name: "n", Domain: "a1", PeerAddress: loopback.Host() + ":7000"}, Regions: regions,
		Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)}), Balancer: balance.New(balance.Options{}, now), Suspects: balance.NewSuspects(), Quotas: limiter,
		Revision: func() kv.Revision { return kv.Revision{} }, Ready: func() bool { return true }, Leaving: func() bool { return false }, StoreReachable: func() bool { return true },
		OnLiveChanged: func([]steering.Instance) {}, OnPeerAdvanced: func() {}})
	require.NoError(t, err)
	defer func() { _ = exchange.conn.Close() }()
	peer, err := net.ListenPacket("udp", loopback.Host()+":7000")
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	exchange.handlePeerMessage(now, &Message{Name: "p", Domain: "a1", PeerAddress: peer.LocalAddr().String(), Incarnation: 1, Sequence: 1})
	require.NoError(t, peer.SetReadDeadline(now.Add(5*time.Second)))
	buffer := make([]byte, maxMessageBytes)
	n, _, err := peer.ReadFrom(buffer)
	require.NoError(t, err)
	m, err := Parse(buffer[:n])
	require.NoError(t, err)
	assert.Contains(t, m.Quotas, quota.Hash("a"))
}
