package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Pattern: a region sends many requests to another, each target there gets few
// of them. Guards against relays so many that no connection is still open when
// the next request comes.
func TestRelaysWithOpenConnectionsArePreferred(t *testing.T) {
	g := &Gateway{}
	var live []steering.Instance
	for i := range 20 {
		domain := []string{"b1", "b2"}[i%2]
		live = append(live, steering.Instance{Name: fmt.Sprint("i", i), Domain: domain, Region: "b", PeerAddress: fmt.Sprint(domain, "-", i)})
	}
	live = append(live, steering.Instance{Name: "mate", Domain: "a1", Region: "a", PeerAddress: "mate"})
	address := func(in steering.Instance) string { return in.PeerAddress }
	g.UpdateRelays(steering.Instance{Name: "self", Domain: "a1", Region: "a"}, live, address)
	assert.Len(t, g.relays.list, 4, "two of each failure domain of another region")
	now := time.Now()
	none := func(string) bool { return false }
	first, ok := g.relays.choose(now, "b1", "b", none)
	assert.True(t, ok)
	assert.Contains(t, first, "b1-")
	only := func(open string) func(string) bool { return func(a string) bool { return a == open } }
	for range 8 {
		near, _ := g.relays.choose(now, "b1", "b", only(first))
		assert.Equal(t, first, near)
		other, _ := g.relays.choose(now, "b2", "b", only(first))
		assert.Equal(t, first, other, "a hop inside the region is shorter than opening a connection between regions")
	}
	g.relays.recordFailure(now, first, now, false)
	again, _ := g.relays.choose(now, "b1", "b", only(first))
	assert.NotEqual(t, first, again)
	_, ok = g.relays.choose(now, "c1", "c", none)
	assert.False(t, ok)
}

// Guards against small instances that carry as many requests for others as
// large ones.
func TestRelayLoadFollowsCapacity(t *testing.T) {
	live := []steering.Instance{}
	for i := range 10 {
		in := steering.Instance{Name: fmt.Sprint("i", i), Domain: "b1", Region: "b", PeerAddress: fmt.Sprint(i), Capacity: 0.05}
		if i < 5 {
			in.Capacity = 0.8
		}
		live = append(live, in)
	}
	large, small := 0, 0
	for n := range 100 {
		g := &Gateway{}
		g.UpdateRelays(steering.Instance{Name: fmt.Sprint("n", n), Region: "a"}, live, func(in steering.Instance) string { return in.PeerAddress })
		for _, x := range g.relays.list {
			if x.address < "5" {
				large++
			} else {
				small++
			}
		}
	}
	assert.Greater(t, large, 8*small)
}

// Guards against a relay that is blamed for a slow target, and against one that
// answers nothing and stays in use.
func TestTimeoutPausesRelayOnlyWithoutOtherResponses(t *testing.T) {
	var r relaySet
	r.update([]relay{{"x", "b1", "b"}})
	now := time.Now()
	r.recordSuccess(now.Add(time.Second), "x")
	r.recordFailure(now.Add(2*time.Second), "x", now, true)
	none := func(string) bool { return false }
	_, ok := r.choose(now.Add(2*time.Second), "b1", "b", none)
	assert.True(t, ok, "it answered another request meanwhile")
	r.recordFailure(now.Add(4*time.Second), "x", now.Add(3*time.Second), true)
	_, ok = r.choose(now.Add(4*time.Second), "b1", "b", none)
	assert.False(t, ok)
	_, ok = r.choose(now.Add(4*time.Second+relayBackoff), "b1", "b", none)
	assert.True(t, ok)
}
