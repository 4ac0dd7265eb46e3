package gossip

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

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

// startNewcomer starts an instance at the bootstrap of a deployment. It knows
// only the seeds.
func startNewcomer(t *testing.T, name, domain, address string, seeds ...string) *Exchange {
	t.Helper()
	return startNewcomerAt(t, true, 1, name, domain, address, seeds...)
}

// startNewcomerAt starts an instance that knows only the seeds and has records
// at a revision.
func startNewcomerAt(t *testing.T, bootstrap bool, revision uint64, name, domain, address string, seeds ...string) *Exchange {
	t.Helper()
	in := steering.Instance{Name: name, Domain: domain, Region: regions[domain], Address: "10.0.0.1:80", PeerAddress: address, Incarnation: 1}
	exchange, err := Listen(Options{Self: in, Seeds: seeds, Bootstrap: bootstrap, Regions: regions, Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)}),
		Balancer: balance.New(balance.Options{Name: name, Domain: domain, Region: in.Region, Regions: regions}, time.Now()), Suspects: balance.NewSuspects(),
		Revision: func() kv.Revision { return kv.Revision{Number: revision} }, Ready: func() bool { return true }, Leaving: func() bool { return false }, StoreReachable: func() bool { return true },
		OnLiveChanged: func([]steering.Instance) {}, OnPeerAdvanced: func() {}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go exchange.Run(ctx)
	return exchange
}

// All instances start at the same moment and the store has none of their
// registrations yet. Guards against each of them reading all records.
func TestSeedsIntroduceInstancesThatStartTogether(t *testing.T) {
	seed, gone := loopback.Host()+":7000", loopback.Host()+":7000"
	list := []*Exchange{startNewcomer(t, "seed", "b1", seed, seed, gone)}
	for i := range 6 {
		list = append(list, startNewcomer(t, fmt.Sprint("n", i), "a1", loopback.Host()+":7000", gone, seed))
	}
	started := time.Now()
	watching := func() int {
		n := 0
		for _, exchange := range list[1:] {
			if exchange.DefersFirstRead() {
				return -1
			}
			if exchange.WatchesStore() {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return watching() == digestSenderCount }, 5*time.Second, 5*time.Millisecond, "with three domains, two instances of each watch the store")
	assert.Less(t, time.Since(started), 4*time.Second)
}

// Guards against an instance that waits forever because the seeds have stopped.
func TestInstanceWithoutResponsesFromSeedsStopsWaiting(t *testing.T) {
	exchange := startNewcomer(t, "n", "a1", loopback.Host()+":7000", loopback.Host()+":7000")
	assert.True(t, exchange.DefersFirstRead())
	require.Eventually(t, func() bool { return !exchange.DefersFirstRead() && exchange.WatchesStore() }, 2*joinTimeout, 10*time.Millisecond)
}

// Guards against a message of another domain that adds its sender to the
// receiver's domain.
func TestMessageOfAnotherDomainAddsNoPeer(t *testing.T) {
	exchange := startNewcomer(t, "n", "a1", loopback.Host()+":7000")
	m := Message{Name: "far", Domain: "b1", PeerAddress: loopback.Host() + ":7000", Incarnation: 1, Sequence: 1, Ready: true}
	from, err := net.ResolveUDPAddr("udp", m.PeerAddress)
	require.NoError(t, err)
	exchange.handlePeerMessage(time.Now(), &m)
	m.Hello = true
	exchange.handleHello(time.Now(), &m, from)
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	assert.Empty(t, exchange.peers)
	assert.Empty(t, exchange.membersOf(time.Now(), "a1", "n"))
	assert.Len(t, exchange.membersOf(time.Now(), "b1", "n"), 1)
}

// Instances are restarted one after another while callers wait. Guards against
// an instance that waits instead of reading the store although it is alone in
// its domain or its peers have no records either.
func TestLateInstanceWaitsOnlyForPeersWithRecords(t *testing.T) {
	seed := loopback.Host() + ":7000"
	startNewcomerAt(t, false, 7, "seed", "b1", seed, seed)
	alone := startNewcomerAt(t, false, 0, "alone", "a2", loopback.Host()+":7000", seed)
	require.Eventually(t, func() bool { return !alone.DefersFirstRead() }, lateJoinTimeout, time.Millisecond, "the seed knows no peer of this domain")
	first := startNewcomerAt(t, false, 0, "first", "a1", loopback.Host()+":7000", seed)
	second := startNewcomerAt(t, false, 0, "second", "a1", loopback.Host()+":7000", seed)
	require.Eventually(t, func() bool { return !first.DefersFirstRead() && !second.DefersFirstRead() }, 2*lateJoinTimeout, time.Millisecond)
	third := startNewcomerAt(t, false, 0, "third", "b1", loopback.Host()+":7000", seed)
	require.Eventually(t, func() bool { _, _, ok := third.NewerPeer(kv.Revision{}); return ok }, time.Second, time.Millisecond)
	assert.True(t, third.DefersFirstRead(), "the seed has the records")
}
