package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/node"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// deployment is a store, targets and instances on loopback addresses.
type deployment struct {
	t       *testing.T
	store   *metastore.Store
	address string // Of the store.
	targets map[string]*wiretarget.Target
	nodes   []*runningNode
}

type runningNode struct {
	settings settings.Node
	stop     context.CancelFunc
	done     chan error
}

var domainRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &deployment{t: t, store: metastore.New(), address: listener.Addr().String(), targets: map[string]*wiretarget.Target{}}
	h := metastore.NewServer(d.store, listener)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	d.configure(1, "app")
	for i, domain := range []string{"a1", "a2", "b1"} {
		d.addTarget(fmt.Sprint("t", i), domain)
	}
	return d
}

// configure writes a configuration with one route.
func (d *deployment) configure(version int64, segment string) {
	d.store.Put(wiresite.ConfigKey, wiresite.Config(version, "s", wiresite.Route{Segment: segment, Idempotent: true, Timeout: 2 * time.Second}))
}

func (d *deployment) addTarget(id, domain string) {
	d.addTargetWithWork(5*time.Millisecond, id, domain)
}

func (d *deployment) addTargetWithWork(work time.Duration, id, domain string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	target := wiretarget.New(wiretarget.Options{ID: id, Slots: 8, MaxQueued: 8, WarmTime: work})
	h := target.NewServer(listener)
	go func() { _ = h.Run() }()
	d.t.Cleanup(func() { _ = h.Close() })
	d.targets[id] = target
	d.setTarget(id, domain, listener.Addr().String(), "ready")
}

func (d *deployment) setTarget(id, domain, address, state string) {
	d.store.Put(wiresite.TargetKey(id), wiresite.TargetRecord("s", domain, address, state, 8))
}

func (d *deployment) startNode(name, domain string) *runningNode {
	host := loopback.Host()
	s := settings.Node{Name: name, Domain: domain, Region: domainRegions[domain], RegionByDomain: domainRegions, CallerAddress: host + ":7001",
		ReadinessAddress: host + ":7002", LookupAddress: host + ":7003", PeerAddress: host + ":7004", MetricsAddress: host + ":7005", RelayPort: 7006, StoreAddress: d.address,
		Bounds: settings.Bounds{GracePeriod: 6 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, QuotaWindow: 5 * time.Second, QuotaOver: 0.1, QuotaSlack: 20}}
	store, err := platform.NewStore(d.address)
	require.NoError(d.t, err)
	n, err := node.New(node.Options{Settings: s, Platform: platform.Codec{}, Headers: platform.Headers{}, Store: store,
		Log:    &log.Logger{Handler: events.NewDroppingHandler(io.Discard)},
		Reload: func() (settings.Node, error) { return s, nil }})
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{settings: s, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- n.Run(ctx, nil) }()
	d.t.Cleanup(cancel)
	d.nodes = append(d.nodes, r)
	return r
}

func get(url string) (int, string) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(body)
}

func (r *runningNode) ready() bool {
	status, _ := get("http://" + r.settings.ReadinessAddress + "/-/ready")
	return status == 200
}

// resolve returns the addresses from a look-up response.
func (r *runningNode) resolve(domain string) []string {
	status, body := get(fmt.Sprintf("http://%s/-/resolve?name=shop.example&region=%s&zone=%s", r.settings.LookupAddress, domainRegions[domain], domain))
	if status != 200 {
		return nil
	}
	var response struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if json.Unmarshal([]byte(body), &response) != nil || response.TTL == "" {
		return nil
	}
	return response.Addresses
}

var nextRequestID atomic.Int64

// request sends a request to an instance and returns the status and body.
func (r *runningNode) request(path string) (int, string) { return r.requestObject("", path) }

// requestObject is like request with the affinity key of an object, unless it
// is "".
func (r *runningNode) requestObject(object, path string) (int, string) {
	conn, err := net.DialTimeout("tcp", r.settings.CallerAddress, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	cookie := ""
	if object != "" {
		cookie = "Cookie: X-Jacinthstall-Affinity-Key=" + object + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\n%s: r%d\r\n%s: 2000\r\n%s\r\n",
		path, platform.HeaderRequestID, nextRequestID.Add(1), platform.HeaderDeadline, cookie)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func (r *runningNode) serves(path string) bool {
	status, _ := r.request(path)
	return status == 200
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, 20*time.Millisecond, what)
}

func TestCallersAreServedThroughAllInstances(t *testing.T) {
	d := newDeployment(t)
	first, second, third := d.startNode("n1", "a1"), d.startNode("n2", "a1"), d.startNode("n3", "b1")
	for _, n := range d.nodes {
		eventually(t, "ready", n.ready)
		eventually(t, "serves", func() bool { return n.serves("/app/x") })
	}
	status, _ := first.request("/other/")
	assert.Equal(t, 404, status)
	eventually(t, "look-ups return both instances of the domain", func() bool { return len(third.resolve("a1")) == 2 })
	assert.ElementsMatch(t, []string{first.settings.CallerAddress, second.settings.CallerAddress}, third.resolve("a1"))
	assert.Len(t, first.resolve("a2"), 2, "a look-up from a domain without instances returns those of its region")
	_, metrics := get("http://" + first.settings.MetricsAddress + "/metrics")
	for _, name := range []string{"requests_total", "request_microseconds", "attempts_answered_total", "config_version", "instances_live"} {
		assert.Contains(t, metrics, "jacinthstall_"+name)
	}
}

// Guards against an instance that is ready, or that routes to a new service, before
// its balancer knows the targets: such requests got 503 (no-target).
func TestRequestsAreServedFromTheFirstReadyResponse(t *testing.T) {
	d := newDeployment(t)
	// Reading many records takes long enough for requests to arrive meanwhile.
	for i := range 3000 {
		d.store.Put(wiresite.TargetKey(fmt.Sprint("other", i)), wiresite.TargetRecord(fmt.Sprint("other", i%50), "a1", "127.0.0.1:9", "ready", 8))
	}
	n := d.startNode("n1", "a1")
	for deadline := time.Now().Add(10 * time.Second); ; {
		if n.ready() {
			break
		}
		require.True(t, time.Now().Before(deadline), "the instance is not ready")
	}
	status, body := n.request("/app/x")
	require.Equal(t, 200, status, body)
}

// Guards against changes that don't take effect on all instances within
// seconds, or that are reverted.
func TestChangesReachAllInstances(t *testing.T) {
	d := newDeployment(t)
	for i, domain := range []string{"a1", "a1", "a1", "b1"} {
		d.startNode(fmt.Sprint("n", i), domain)
	}
	for _, n := range d.nodes {
		eventually(t, "serves", func() bool { return n.serves("/app/x") })
	}
	d.configure(5, "new")
	started := time.Now()
	for _, n := range d.nodes {
		eventually(t, "new route", func() bool { return n.serves("/new/x") })
	}
	assert.Less(t, time.Since(started), 2500*time.Millisecond)
	for _, n := range d.nodes {
		status, _ := n.request("/app/x")
		assert.Equal(t, 404, status)
	}
	d.store.Put("op/evacuate/a1", []byte("{}"))
	d.store.Put("op/evacuate/b1", []byte("{}"))
	time.Sleep(time.Second)
	for _, n := range d.nodes {
		for range 5 {
			_, body := n.request("/new/x")
			assert.True(t, strings.HasSuffix(body, "by t1"), body)
		}
	}
}

// Guards against an outage of the store that stops the service.
func TestServiceContinuesWithoutTheStore(t *testing.T) {
	d := newDeployment(t)
	first := d.startNode("n1", "a1")
	d.startNode("n2", "b1")
	for _, n := range d.nodes {
		eventually(t, "serves", func() bool { return n.serves("/app/x") })
	}
	d.store.SetFaults(metastore.Faults{Silent: true})
	end := time.Now().Add(3 * time.Second)
	for time.Now().Before(end) {
		for _, n := range d.nodes {
			status, body := n.request("/app/x")
			require.Equal(t, 200, status, body)
			require.True(t, n.ready())
		}
		time.Sleep(50 * time.Millisecond)
	}
	late := d.startNode("n3", "a1")
	d.store.SetFaults(metastore.Faults{})
	eventually(t, "an instance that started during the outage serves", func() bool { return late.serves("/app/x") })
	eventually(t, "look-ups return it", func() bool { return len(first.resolve("a1")) == 2 })
}

// Guards against failed requests during a graceful shutdown.
func TestCallersDoNotNoticeAGracefulShutdown(t *testing.T) {
	d := newDeployment(t)
	leaving, other := d.startNode("n1", "a1"), d.startNode("n2", "a1")
	for _, n := range d.nodes {
		eventually(t, "serves", func() bool { return n.serves("/app/x") })
	}
	for _, n := range d.nodes {
		eventually(t, "look-ups of both return both", func() bool { return len(n.resolve("a1")) == 2 })
	}
	leaving.stop()
	eventually(t, "look-ups no longer return it", func() bool { return len(other.resolve("a1")) == 1 })
	assert.False(t, leaving.ready())
	assert.Equal(t, []string{other.settings.CallerAddress}, leaving.resolve("a1"))
	for range 20 {
		status, body := leaving.request("/app/x")
		require.Equal(t, 200, status, "callers that keep an old look-up response are served: %s", body)
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case err := <-leaving.done:
		require.NoError(t, err)
	case <-time.After(6 * time.Second):
		t.Fatal("the shutdown takes longer than the shutdown period")
	}
	assert.NotContains(t, d.store.Keys("jacinthstall/instances/"), "jacinthstall/instances/n1")
}

// All busy objects of a region have the same home by their hash. Guards against
// instances that don't follow when one of them moves objects, running ones and
// those that start later.
func TestObjectsMoveOnAllInstances(t *testing.T) {
	d := newDeployment(t)
	d.configure(2, "app")
	for i := range 4 {
		d.addTargetWithWork(100*time.Millisecond, fmt.Sprint("busy", i), "b1")
	}
	n := d.startNode("n1", "b1")
	other := d.startNode("n2", "b1")
	eventually(t, "serves", func() bool { return n.serves("/app/x") && other.serves("/app/x") })
	const home = "by busy0"
	var objects []string
	for i := 0; len(objects) < 8; i++ {
		object := fmt.Sprint("o", i)
		if _, body := n.requestObject(object, "/app/x"); strings.HasSuffix(body, home) {
			objects = append(objects, object)
		}
	}
	elsewhere := func(r *runningNode) bool {
		for _, object := range objects {
			if status, body := r.requestObject(object, "/app/x"); status == 200 && !strings.HasSuffix(body, home) {
				return true
			}
		}
		return false
	}
	require.False(t, elsewhere(other))
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for _, object := range objects {
		load.Go(func() {
			for ctx.Err() == nil {
				n.requestObject(object, "/app/x")
			}
		})
	}
	require.Eventually(t, func() bool { return len(d.store.Keys("jacinthstall/homes/")) > 0 }, 20*time.Second, 50*time.Millisecond)
	cancel()
	load.Wait()
	eventually(t, "the peer uses the new homes", func() bool { return elsewhere(other) })
	late := d.startNode("n3", "b1")
	eventually(t, "serves", func() bool { return late.serves("/app/x") })
	assert.True(t, elsewhere(late), "the new homes are in the store")
}
