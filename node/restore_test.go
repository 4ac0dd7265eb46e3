package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Guards against instances that go back to the restored configuration, stay out of the
// store, write their records more than once, or keep a target that does not come back.
func TestInstancesFollowARestoredStore(t *testing.T) {
	d := newDeployment(t)
	d.store.SetEra(1)
	copied := time.Now()
	d.configure(2, "next")
	d.addTarget("t3", "a1")
	homes, err := platform.Codec{}.HomesValue(&steering.HomeTable{Objects: map[uint32]uint32{1: 2}})
	require.NoError(t, err)
	d.store.Put(platform.Codec{}.HomesKey("a"), homes)
	d.startNode("n1", "a1")
	d.startNode("n2", "a2")
	registered := func() bool { return len(d.store.Keys("jacinthstall/instances/")) == 2 }
	eventually(t, "instances register", registered)
	for _, n := range d.nodes {
		eventually(t, "serves", func() bool { return n.serves("/next/x") })
	}

	restored := time.Now()
	d.store.RestoreCopy(copied)
	require.Empty(t, d.store.Keys("jacinthstall/"))
	eventually(t, "instances register again", registered)
	for time.Since(restored) < 3*time.Second {
		for _, n := range d.nodes {
			assert.True(t, n.serves("/next/x"), "version 2 stays in force")
		}
		time.Sleep(100 * time.Millisecond)
	}
	eventually(t, "a target that is silent gets no requests", func() bool {
		before := d.targets["t3"].LastExecutionStart()
		for range 10 {
			d.nodes[0].request("/next/x")
		}
		return !d.targets["t3"].LastExecutionStart().After(before)
	})
	key := platform.Codec{}.HomesKey("a")
	require.Eventually(t, func() bool { return len(d.store.Keys(key)) == 1 }, 15*time.Second, 50*time.Millisecond, "the home table is written again")
	writes := d.store.Calls().Writes
	time.Sleep(5 * time.Second) // More than the interval between checks of any record.
	assert.Equal(t, writes, d.store.Calls().Writes, "records that are in the store are not written again")
	assert.Equal(t, []string{wiresite.TargetKey("t0"), wiresite.TargetKey("t1"), wiresite.TargetKey("t2")}, d.store.Keys(wiresite.TargetKey("")))
}
