package node_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// crashingTarget is a target that requests for crashPath end, like the end of its
// process. It returns after a moment.
type crashingTarget struct {
	t       *testing.T
	crashes *atomic.Int32
}

const (
	crashPath     = "/app/poison"
	crashDownTime = 250 * time.Millisecond
)

func (target *crashingTarget) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go target.serveConn(listener, conn)
	}
}

func (target *crashingTarget) serveConn(listener net.Listener, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path != crashPath {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", platform.HeaderRequestID,
				r.Header.Get(platform.HeaderRequestID), platform.HeaderServerStamp)
			continue
		}
		target.crashes.Add(1)
		_ = listener.Close()
		time.AfterFunc(crashDownTime, func() {
			if again, err := net.Listen("tcp", listener.Addr().String()); err == nil {
				target.t.Cleanup(func() { _ = again.Close() })
				go target.serve(again)
			}
		})
		return
	}
}

// addCrashingTargets adds targets and returns the number of their crashes.
func (d *deployment) addCrashingTargets(count int) *atomic.Int32 {
	crashes := &atomic.Int32{}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(d.t, err)
		d.t.Cleanup(func() { _ = listener.Close() })
		go (&crashingTarget{t: d.t, crashes: crashes}).serve(listener)
		d.setTarget(fmt.Sprint("crashing", i), "a1", listener.Addr().String(), "ready")
	}
	return crashes
}

// Guards against forgetting which requests crash targets when all instances are
// restarted: nothing but the store remembers it then.
func TestRefusedRequestStaysRefusedAfterAllInstancesWereRestarted(t *testing.T) {
	d := newDeployment(t)
	for id := range d.targets {
		d.store.Delete(wiresite.TargetKey(id))
	}
	crashes := d.addCrashingTargets(6)
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
		status, _ := n.request(crashPath)
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
	before := crashes.Load()
	for range 5 {
		for _, n := range nodes {
			assert.True(t, refused(n), n.settings.Name)
		}
	}
	assert.Equal(t, before, crashes.Load())
	status, _ := nodes[0].request("/app/sound")
	assert.Equal(t, 200, status)
}
