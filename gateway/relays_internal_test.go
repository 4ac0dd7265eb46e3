package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Load pattern: a region sends many requests to another region, and each target
// there gets few of them. Guards against spreading requests over so many relays
// that connections time out before the next request.
func TestRelaysWithOpenConnectionsArePreferred(t *testing.T) {
	gw := &Gateway{}
	var live []steering.Instance
	for i := range 20 {
		domain := []string{"b1", "b2"}[i%2]
		live = append(live, steering.Instance{Name: fmt.Sprint("i", i), Domain: domain, Region: "b", PeerAddress: fmt.Sprint(domain, "-", i)})
	}
	live = append(live, steering.Instance{Name: "same-region", Domain: "a1", Region: "a", PeerAddress: "same-region"})
	address := func(in steering.Instance) string { return in.PeerAddress }
	gw.UpdateRelays(steering.Instance{Name: "self", Domain: "a1", Region: "a"}, live, address)
	assert.Len(t, gw.relays.list, 4, "two in each failure domain of the other region")
	now := time.Now()
	noConnection := func(string) bool { return false }
	first, ok := gw.relays.choose(now, "b1", "b", noConnection)
	assert.True(t, ok)
	assert.Contains(t, first, "b1-")
	openTo := func(open string) func(string) bool { return func(a string) bool { return a == open } }
	for range 8 {
		chosen, _ := gw.relays.choose(now, "b1", "b", openTo(first))
		assert.Equal(t, first, chosen)
		other, _ := gw.relays.choose(now, "b2", "b", openTo(first))
		assert.Equal(t, first, other, "a hop within the region takes less time than opening a connection between regions")
	}
	gw.relays.recordFailure(now, first, now, false)
	afterFailure, _ := gw.relays.choose(now, "b1", "b", openTo(first))
	assert.NotEqual(t, first, afterFailure)
	_, ok = gw.relays.choose(now, "c1", "c", noConnection)
	assert.False(t, ok)
}

// Guards against small instances that relay as many requests as large ones.
func TestRelayLoadFollowsCapacity(t *testing.T) {
	live := []steering.Instance{}
	for i := range 10 {
		instance := steering.Instance{Name: fmt.Sprint("i", i), Domain: "b1", Region: "b", PeerAddress: fmt.Sprint(i), Capacity: 0.05}
		if i < 5 {
			instance.Capacity = 0.8
		}
		live = append(live, instance)
	}
	large, small := 0, 0
	for n := range 100 {
		gw := &Gateway{}
		gw.UpdateRelays(steering.Instance{Name: fmt.Sprint("n", n), Region: "a"}, live, func(instance steering.Instance) string { return instance.PeerAddress })
		for _, r := range gw.relays.list {
			if r.address < "5" {
				large++
			} else {
				small++
			}
		}
	}
	assert.Greater(t, large, 8*small)
}

// Guards against pausing a relay because of a slow target, and against using a
// relay that does not respond at all.
func TestTimeoutPausesRelayOnlyWithoutOtherResponses(t *testing.T) {
	var set relaySet
	set.update([]relay{{"x", "b1", "b"}}, map[string]string{"x": "x"})
	now := time.Now()
	set.recordSuccess(now.Add(time.Second), "x")
	set.recordFailure(now.Add(2*time.Second), "x", now, true)
	noConnection := func(string) bool { return false }
	_, ok := set.choose(now.Add(2*time.Second), "b1", "b", noConnection)
	assert.True(t, ok, "it responded to another request meanwhile")
	set.recordFailure(now.Add(4*time.Second), "x", now.Add(3*time.Second), true)
	_, ok = set.choose(now.Add(4*time.Second), "b1", "b", noConnection)
	assert.False(t, ok)
	_, ok = set.choose(now.Add(4*time.Second+relayBackoff), "b1", "b", noConnection)
	assert.True(t, ok)
}

// Guards against a limit from a relay that peers cannot read in this instance's messages.
func TestLimitFromRelayIsInRange(t *testing.T) {
	for _, perSecond := range []float64{0, 4.5, balance.MaxRate, math.Inf(1)} {
		statement := balance.LimitStatement{RateLimit: balance.RateLimit{Active: !math.IsInf(perSecond, 1), PerSecond: perSecond}, Age: time.Second}
		if !statement.Active {
			statement.PerSecond = 0
		}
		assert.Equal(t, &statement, parseLimit(formatLimit(statement)))
	}
	for _, text := range []string{"", "5", "5;x", "5;-1", "-1;0", "NaN;0", "2e9;0", "-Inf;0"} {
		assert.Nil(t, parseLimit(text), text)
	}
}
