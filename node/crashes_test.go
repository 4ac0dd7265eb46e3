package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// executions returns how often the targets have executed requests.
func (d *deployment) executions() int {
	n := 0
	for _, target := range d.targets {
		for _, count := range target.Executions() {
			n += count
		}
	}
	return n
}

// Guards against forgetting which requests crash targets when all instances are
// restarted: nothing but the store remembers it then.
func TestRefusedRequestStaysRefusedAfterAllInstancesWereRestarted(t *testing.T) {
	const poison, crash = "/app/poison", wiretarget.HeaderFault + ": " + wiretarget.FaultNoResponse + "\r\n"
	d := newDeployment(t)
	domains := []string{"a1", "a1", "b1"}
	start := func() []*runningNode {
		var nodes []*runningNode
		for i, domain := range domains {
			nodes = append(nodes, d.startNode(fmt.Sprint("n", i), domain))
		}
		for _, n := range nodes {
			eventually(t, "serves", func() bool { return n.serves("/app/x") })
		}
		return nodes
	}
	nodes := start()
	refused := func(n *runningNode) bool {
		status, _ := n.requestWithHeader(crash, poison)
		return status == 503
	}
	for _, n := range nodes {
		eventually(t, "refused", func() bool { return refused(n) })
	}
	key := platform.Codec{}.CrashesKey()
	eventually(t, "the store knows", func() bool { return len(d.store.Keys(key)) == 1 })
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		select {
		case err := <-n.done:
			require.NoError(t, err)
		case <-time.After(8 * time.Second):
			t.Fatal("the instance does not end")
		}
	}
	nodes = start()
	before := d.executions()
	for range 5 {
		for _, n := range nodes {
			assert.True(t, refused(n), n.settings.Name)
		}
	}
	assert.Equal(t, before, d.executions())
	status, _ := nodes[0].request("/app/sound")
	assert.Equal(t, 200, status)
}
