package gossip

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/steering"
)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// testInstance is an exchange of an instance with settable state.
type testInstance struct {
	*Exchange
	balancer       *balance.Balancer
	leaving        atomic.Bool
	storeReachable atomic.Bool
	revision       atomic.Uint64
	era            atomic.Uint64
	advanced       atomic.Int64
	cancel         func() // Returns when the exchange has ended and its address is free.
}

// startFleet starts instances that know each other's registrations.
func startFleet(t *testing.T, domains ...string) []*testInstance {
	t.Helper()
	known := map[string]steering.Instance{}
	var list []steering.Instance
	for i, d := range domains {
		in := steering.Instance{Name: fmt.Sprintf("%s-%d", d, i), Domain: d, Region: regions[d],
			Address: fmt.Sprintf("10.0.0.%d:80", i), PeerAddress: loopback.Host() + ":7000", Incarnation: 1}
		known[in.Name] = in
		list = append(list, in)
	}
	fleet := make([]*testInstance, len(list))
	for i, in := range list {
		fleet[i] = startInstance(t, in, known)
	}
	return fleet
}

func (instance *testInstance) position() kv.Revision {
	return kv.Revision{Era: instance.era.Load(), Number: instance.revision.Load()}
}

func startInstance(t *testing.T, in steering.Instance, known map[string]steering.Instance) *testInstance {
	t.Helper()
	instance := &testInstance{balancer: balance.New(balance.Options{Name: in.Name, Domain: in.Domain, Region: in.Region, Regions: regions}, time.Now())}
	instance.storeReachable.Store(true)
	exchange, err := Listen(Options{Self: in, Regions: regions, Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)}),
		Balancer: instance.balancer, Suspects: balance.NewSuspects(), Revision: instance.position, Ready: func() bool { return true }, Leaving: instance.leaving.Load,
		StoreReachable: instance.storeReachable.Load, OnLiveChanged: func(live []steering.Instance) { instance.balancer.SetInstances(time.Now(), live, 0) }, OnPeerAdvanced: func() { instance.advanced.Add(1) }})
	require.NoError(t, err)
	instance.Exchange = exchange
	exchange.SetRegistered(known)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); exchange.Run(ctx) }()
	instance.cancel = func() { cancel(); <-done }
	t.Cleanup(instance.cancel)
	return instance
}

func instanceNames(list []steering.Instance) []string {
	out := []string{}
	for _, in := range list {
		out = append(out, in.Name)
	}
	return out
}

func waitLive(t *testing.T, instance *testInstance, want ...string) {
	t.Helper()
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual(want, instanceNames(instance.Live())) }, 10*time.Second, 10*time.Millisecond,
		"%s sees %v", instance.options.Self.Name, instanceNames(instance.Live()))
}

// Guards against instances of other domains that remain unknown, and against
// dead or leaving ones that remain in look-up responses.
func TestLiveInstancesAreKnownAcrossDomains(t *testing.T) {
	fleet := startFleet(t, "a1", "a1", "a1", "a2", "b1", "b1")
	all := []string{"a1-0", "a1-1", "a1-2", "a2-3", "b1-4", "b1-5"}
	for _, instance := range fleet {
		waitLive(t, instance, all...)
	}
	fleet[4].leaving.Store(true)
	fleet[4].Leave()
	for _, instance := range []*testInstance{fleet[2], fleet[3], fleet[5]} {
		waitLive(t, instance, "a1-0", "a1-1", "a1-2", "a2-3", "b1-5")
	}
	fleet[0].cancel()
	for _, instance := range fleet[1:4] {
		waitLive(t, instance, "a1-1", "a1-2", "a2-3", "b1-5")
	}
}

// Guards against two instances per domain that call the store where one is
// enough, because changes that it misses arrive from watchers of other domains.
func TestOneInstancePerDomainWatchesTheStoreWhenThereAreManyDomains(t *testing.T) {
	fleet := startFleet(t, "a1", "a1", "a1")
	for _, instance := range fleet {
		instance.mu.Lock()
		for i := range minDomainsForOneWatcher {
			instance.remoteDomains[fmt.Sprint("far", i)] = &remoteDomain{}
		}
		instance.mu.Unlock()
	}
	waitLive(t, fleet[2], "a1-0", "a1-1", "a1-2")
	watching := func() []bool {
		return []bool{fleet[0].WatchesStore(), fleet[1].WatchesStore(), fleet[2].WatchesStore()}
	}
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]bool{true, false, false}, watching()) },
		5*time.Second, 10*time.Millisecond)
	fleet[0].storeReachable.Store(false)
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]bool{true, true, false}, watching()) },
		5*time.Second, 10*time.Millisecond, "the next instance replaces it")
	fleet[1].storeReachable.Store(false)
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]bool{true, true, true}, watching()) },
		5*time.Second, 10*time.Millisecond)
	fleet[0].cancel()
	fleet[1].storeReachable.Store(true)
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]bool{true, false}, watching()[1:]) },
		5*time.Second, 10*time.Millisecond)
}

// Guards against a domain in which no instance reaches the store although one
// could, and against one in which all instances watch it.
func TestTwoInstancesOfADomainWatchTheStore(t *testing.T) {
	fleet := startFleet(t, "a1", "a1", "a1", "a1")
	waitLive(t, fleet[3], "a1-0", "a1-1", "a1-2", "a1-3")
	watching := func() []bool {
		var list []bool
		for _, instance := range fleet {
			list = append(list, instance.WatchesStore())
		}
		return list
	}
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]bool{true, true, false, false}, watching()) },
		5*time.Second, 10*time.Millisecond)
	fleet[0].storeReachable.Store(false)
	fleet[1].storeReachable.Store(false)
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]bool{true, true, true, true}, watching()) },
		5*time.Second, 10*time.Millisecond)
	fleet[0].storeReachable.Store(true)
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]bool{true, true, false, false}, watching()) },
		5*time.Second, 10*time.Millisecond)
}

// Guards against an instance that does not watch the store and learns of a
// change only from the next regular message.
func TestRevisionAdvanceIsAnnounced(t *testing.T) {
	fleet := startFleet(t, "a1", "a1", "a1")
	waitLive(t, fleet[2], "a1-0", "a1-1", "a1-2")
	fleet[0].revision.Store(9)
	fleet[0].Announce()
	require.Eventually(t, func() bool { return fleet[2].advanced.Load() > 0 }, time.Second, time.Millisecond)
	in, revision, ok := fleet[2].NewerPeer(kv.Revision{Number: 3})
	require.True(t, ok)
	assert.Equal(t, "a1-0", in.Name)
	assert.Equal(t, kv.Revision{Number: 9}, revision)
	_, _, ok = fleet[2].NewerPeer(kv.Revision{Number: 9})
	assert.False(t, ok)
}

// Guards against late datagrams that replace newer ones, and against an
// instance whose messages are rejected after a restart because its clock was
// set back.
func TestOlderMessagesAreIgnored(t *testing.T) {
	var filter sequenceFilter
	for _, c := range []struct {
		incarnation, sequence uint64
		taken                 bool
	}{
		{20, 5, true},
		{20, 5, false},
		{20, 4, false},
		{20, 6, true},
		{3, 1, true}, // A restart; incarnations are not ordered.
		{20, 9, false},
		{3, 1, false},
		{3, 2, true},
		{50, 1, true},
		{3, 3, false},
		{50, 2, true},
	} {
		assert.Equal(t, c.taken, filter.accept(&Message{Name: "n", Incarnation: c.incarnation, Sequence: c.sequence}), c)
	}
}

// Guards against digests of one sender that cause those of another sender of
// the same domain to be rejected.
func TestDigestSequencesArePerSender(t *testing.T) {
	now := time.Now()
	remote := &remoteDomain{lastHeard: now}
	assert.True(t, remote.accept(now, &Message{Name: "a", Incarnation: 9, Sequence: 7}))
	assert.True(t, remote.accept(now, &Message{Name: "b", Incarnation: 4, Sequence: 1}))
	assert.False(t, remote.accept(now, &Message{Name: "a", Incarnation: 9, Sequence: 6}))
	assert.True(t, remote.accept(now.Add(minDomainTimeout+1), &Message{Name: "a", Incarnation: 9, Sequence: 6}), "after a domain timeout every digest is accepted")
}

// Guards against digests that no instance of a domain forwards, against one
// instance that has to forward those of all domains, and against round trip
// times that only digest senders know.
func TestDigestsAreSpreadOverTheReceivingDomain(t *testing.T) {
	fleet := startFleet(t, "a1", "a1", "a2", "a2", "b1", "b1")
	for _, instance := range fleet {
		waitLive(t, instance, "a1-0", "a1-1", "a2-2", "a2-3", "b1-4", "b1-5")
	}
	receivers := map[string]bool{}
	for _, i := range []int{2, 4} { // First digest senders of the other domains.
		exchange := fleet[i].Exchange
		exchange.mu.Lock()
		receivers[exchange.digestReceiver(time.Now(), "a1", exchange.remoteDomains["a1"], 0)] = true
		exchange.mu.Unlock()
	}
	assert.Len(t, receivers, 2)
	for _, instance := range fleet[:4] {
		require.Eventually(t, func() bool { return instance.balancer.RoundTrip("b") < 50*time.Millisecond }, 10*time.Second, 10*time.Millisecond)
	}
}

// Guards against a large domain in which all instances fetch large changes from
// one instance with a slow link.
func TestWatchersGrowWithTheDomain(t *testing.T) {
	exchange := &Exchange{remoteDomains: map[string]*remoteDomain{"b": {}, "c": {}, "d": {}}}
	for size, want := range map[int]int{1: 1, 11: 1, 16: 1, 17: 2, 50: 4, 143: 9} {
		assert.Equal(t, want, exchange.watcherCount(size), size)
	}
	exchange.remoteDomains = map[string]*remoteDomain{"b": {}}
	assert.Equal(t, 2, exchange.watcherCount(1))
}

// Guards against forgetting the crashes of a request when the instance that has
// counted them ends, and against an instance that starts without knowing them.
func TestCrashCountsOutliveTheirInstance(t *testing.T) {
	fleet := startFleet(t, "a1", "a1", "b1")
	poison := quarantine.Fingerprint{1}
	refuses := func(instance *testInstance) bool {
		_, refused := instance.options.Suspects.Check(time.Now(), poison)
		return refused
	}
	for range 3 {
		sent, _ := fleet[0].options.Suspects.Check(time.Now(), poison)
		fleet[0].options.Suspects.RecordCrash(time.Now(), poison, sent)
	}
	for _, instance := range fleet {
		require.Eventually(t, func() bool { return refuses(instance) }, 10*time.Second, 10*time.Millisecond, instance.options.Self.Name)
	}
	fleet[0].cancel()
	require.Eventually(t, func() bool { return len(fleet[1].Live()) == 2 }, 10*time.Second, 10*time.Millisecond)
	self := fleet[0].options.Self
	self.Incarnation++
	known := map[string]steering.Instance{}
	for _, instance := range fleet {
		known[instance.options.Self.Name] = instance.options.Self
	}
	again := startInstance(t, self, known)
	require.Eventually(t, func() bool { return refuses(again) }, 10*time.Second, 10*time.Millisecond)
	for _, instance := range fleet[1:] {
		assert.True(t, refuses(instance), instance.options.Self.Name)
	}
}

// Guards against a peer that has not noticed that the store was restored, and that is
// taken for newer because its revision has the higher number.
func TestPeerOfAnOlderEraIsNotNewer(t *testing.T) {
	fleet := startFleet(t, "a1", "a1", "b1")
	waitLive(t, fleet[0], "a1-0", "a1-1", "b1-2")
	fleet[0].era.Store(2)
	fleet[0].revision.Store(5)
	for _, peer := range []int{1, 2} {
		fleet[peer].era.Store(1)
		fleet[peer].revision.Store(90)
		fleet[peer].Announce()
	}
	require.Eventually(t, func() bool { _, _, ok := fleet[0].NewerPeer(kv.Revision{Era: 1, Number: 89}); return ok }, 2*time.Second, time.Millisecond)
	_, _, ok := fleet[0].NewerPeer(fleet[0].position())
	assert.False(t, ok)
	for _, peer := range []int{1, 2} {
		require.Eventually(t, func() bool {
			in, revision, ok := fleet[peer].NewerPeer(fleet[peer].position())
			return ok && in.Name == "a1-0" && revision == kv.Revision{Era: 2, Number: 5}
		}, 5*time.Second, time.Millisecond)
	}
	assert.NotContains(t, string((&Message{Name: "n"}).Append(nil)), string(protowire.AppendTag(nil, fieldEra, protowire.VarintType)), "no field in era 0")
	assert.True(t, fleet[1].StoreServes())
	for _, instance := range fleet[:2] {
		instance.storeReachable.Store(false)
		instance.Announce()
	}
	require.Eventually(t, func() bool { return !fleet[1].StoreServes() }, 2*time.Second, time.Millisecond)
}
