package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
