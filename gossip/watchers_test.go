package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

// fleet is one domain of a large deployment without a network: each instance
// has the latest message of every peer.
type fleet []*Exchange

func newFleet(n int, started time.Time, inTouch func(i int) bool, capacity func(i int) float64) fleet {
	list := make(fleet, n)
	known := map[string]steering.Instance{}
	for i := range n {
		in := steering.Instance{Name: fmt.Sprintf("n%02d", i), Domain: "a", Region: "r", Capacity: capacity(i)}
		known[in.Name] = in
	}
	for i := range n {
		name := fmt.Sprintf("n%02d", i)
		exchange := &Exchange{started: started, registered: known, peers: map[string]*peerState{}, remoteDomains: map[string]*remoteDomain{},
			options: Options{Self: known[name], StoreReachable: func() bool { return inTouch(i) }}}
		for d := range minDomainsForOneWatcher {
			exchange.remoteDomains[fmt.Sprint("far", d)] = &remoteDomain{}
		}
		for j := range n {
			if j != i {
				other := fmt.Sprintf("n%02d", j)
				exchange.peers[other] = &peerState{instance: known[other], lastMessage: Message{Name: other, StoreReachable: inTouch(j)}, lastHeard: time.Now()}
			}
		}
		list[i] = exchange
	}
	return list
}

func (f fleet) watching() []int {
	var list []int
	for i, exchange := range f {
		if exchange.WatchesStore() {
			list = append(list, i)
		}
	}
	return list
}

func unknownCapacity(int) float64 { return 0 }

// The store is down or refuses a whole domain. Guards against calls by every
// instance, which cost money and add load to a store in trouble, and against an
// instance that is never selected to probe it.
func TestFewInstancesProbeAnUnreachableStore(t *testing.T) {
	nobody := func(int) bool { return false }
	most, tried := 0, map[int]bool{}
	for second := range 200 {
		list := newFleet(22, time.Now().Add(-time.Duration(second)*time.Second), nobody, unknownCapacity).watching()
		most = max(most, len(list))
		for _, i := range list {
			tried[i] = true
		}
	}
	assert.LessOrEqual(t, most, 14)
	assert.Len(t, tried, 22)
}

// The store refuses the first instances of a domain and serves another one.
// Guards against all instances calling it continuously.
func TestInstanceThatReachesTheStoreWatchesForTheDomain(t *testing.T) {
	only := func(i int) bool { return i == 9 }
	for range 20 {
		list := newFleet(16, time.Now(), only, unknownCapacity).watching()
		assert.Equal(t, []int{0, 1, 9}, list, "the first two keep calling the store")
	}
}

// Guards against small instances that send a configuration to many followers.
func TestLargeInstancesWatchForTheDomain(t *testing.T) {
	all := func(int) bool { return true }
	large := func(i int) float64 { return []float64{0.05, 1}[i/20] }
	assert.Equal(t, []int{20}, newFleet(22, time.Now(), all, large).watching())
	assert.Equal(t, []int{0, 1}, newFleet(22, time.Now(), all, unknownCapacity).watching(), "several instances watch when none is large")
}
