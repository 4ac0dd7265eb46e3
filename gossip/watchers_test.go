package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

// fleet is one domain of a large deployment, without network: each instance
// knows what all others last said.
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
		x := &Exchange{started: started, registered: known, peers: map[string]*peerState{}, remoteDomains: map[string]*remoteDomain{},
			options: Options{Self: known[name], StoreReachable: func() bool { return inTouch(i) }}}
		for d := range minDomainsForOneWatcher {
			x.remoteDomains[fmt.Sprint("far", d)] = &remoteDomain{}
		}
		for j := range n {
			if j != i {
				other := fmt.Sprintf("n%02d", j)
				x.peers[other] = &peerState{instance: known[other], lastMessage: Message{Name: other, StoreReachable: inTouch(j)}, lastHeard: time.Now()}
			}
		}
		list[i] = x
	}
	return list
}

func (f fleet) watching() []int {
	var list []int
	for i, x := range f {
		if x.WatchesStore() {
			list = append(list, i)
		}
	}
	return list
}

func unknownCapacity(int) float64 { return 0 }

// Pattern: the store is down, or refuses a whole domain. Guards against calls
// by every instance of it, which are priced and meet a store in trouble, and
// against an instance that never gets its turn.
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

// Pattern: the store refuses the first instances of a domain and serves others.
// Guards against all of them calling it all the time.
func TestInstanceThatReachesTheStoreWatchesForTheDomain(t *testing.T) {
	only := func(i int) bool { return i == 9 }
	for range 20 {
		list := newFleet(16, time.Now(), only, unknownCapacity).watching()
		assert.Equal(t, []int{0, 1, 9}, list, "the first two go on trying")
	}
}

// Guards against small instances that pass a configuration on to many others.
func TestLargeInstancesWatchForTheDomain(t *testing.T) {
	all := func(int) bool { return true }
	large := func(i int) float64 { return []float64{0.05, 1}[i/20] }
	assert.Equal(t, []int{20}, newFleet(22, time.Now(), all, large).watching())
	assert.Equal(t, []int{0, 1}, newFleet(22, time.Now(), all, unknownCapacity).watching(), "several when none is large")
}
