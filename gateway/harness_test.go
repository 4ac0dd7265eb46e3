package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
	"github.com/jacinthstall/jacinthstall/steering"
)

const host = "shop.example"

// longDialTimeout is for tests in which no connection attempt is to fail. On a busy
// machine, baseDialTimeout can pass before the goroutine that opens a connection runs:
// the only target is then avoided, and the request refused.
const longDialTimeout = 10 * time.Second

// site is a gateway with stand-in targets on loopback.
type site struct {
	t       *testing.T
	address string
	server  *gateway.Server
	gateway *gateway.Gateway
	targets []*wiretarget.Target
	records []*steering.Target
	state   atomic.Pointer[steering.State]
}

type siteOptions struct {
	targets []wiretarget.Options
	timeout time.Duration
	limits  steering.Limits
	wrongID bool // The record of the first target has another ID than the target itself.
	split   []steering.WeightedService
	// scripts are additional targets, one for each function. The function is
	// called for each request with the number of the request on its connection,
	// and returns whether to keep the connection open.
	scripts     []script
	scriptSlots int         // Slots of each script; 0 means 4.
	services    []string    // Services to which the scripts belong in turn; nil means "s".
	attempts    int         // Attempts of each route; 0 means 2.
	logs        log.Handler // Receives the log of the gateway; nil discards it.
	quotas      gateway.Quotas
	// unsafePriority is the priority of the route "unsafe"; that of the other is 0.
	unsafePriority int
	memory         int64 // Memory limit; 0 means none.
}

type script func(number int, r *http.Request, c net.Conn) bool

func startSite(t *testing.T, o siteOptions) *site {
	t.Helper()
	s := &site{t: t}
	if o.timeout == 0 {
		o.timeout = 2 * time.Second
	}
	if o.attempts == 0 {
		o.attempts = 2
	}
	if o.scriptSlots == 0 {
		o.scriptSlots = 4
	}
	config := &steering.Config{Version: 1, Limits: o.limits, Services: map[string]steering.Service{"s": {Name: "s"}}}
	for _, name := range o.services {
		config.Services[name] = steering.Service{Name: name}
	}
	split := []steering.WeightedService{{Service: "s", Weight: 1}}
	if o.split != nil {
		split = o.split
	}
	for _, r := range []steering.Route{{Name: "safe", Prefix: "/safe/", Idempotent: true}, {Name: "unsafe", Prefix: "/unsafe/", Priority: o.unsafePriority}} {
		r.Host, r.Timeout, r.Objective, r.MaxAttempts, r.Sticky, r.Split = host, o.timeout, 400*time.Millisecond, o.attempts, true, split
		config.Routes = append(config.Routes, r)
	}
	config.Index()
	updates := []steering.Update{steering.ConfigUpdate{Config: config}}
	for i, options := range o.targets {
		updates = append(updates, steering.TargetUpdate{Target: s.startTarget(i, options, o.wrongID && i == 0)})
	}
	for i, script := range o.scripts {
		record := &steering.Target{ID: fmt.Sprint("script", i), Service: "s", Address: s.startScript(script), Domain: "d", Slots: o.scriptSlots}
		if o.services != nil {
			record.Service = o.services[i%len(o.services)]
		}
		updates = append(updates, steering.TargetUpdate{Target: record})
	}
	if o.logs == nil {
		o.logs = events.NewDroppingHandler(io.Discard)
	}
	s.startGateway(steering.NewState().Apply(1, updates), o)
	return s
}

// scriptServer is a target implemented by a function.
type scriptServer struct {
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	handle   script
}

// scriptServers holds the running ones by address.
var scriptServers sync.Map

// startScript starts a target implemented by a function.
func (s *site) startScript(handle script) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	server := &scriptServer{listener: listener, conns: map[net.Conn]bool{}, handle: handle}
	address := listener.Addr().String()
	scriptServers.Store(address, server)
	s.t.Cleanup(func() {
		scriptServers.Delete(address)
		server.mu.Lock()
		defer server.mu.Unlock()
		_ = server.listener.Close()
	})
	go server.run(listener)
	return address
}

func (server *scriptServer) run(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		server.mu.Lock()
		server.conns[c] = true
		server.mu.Unlock()
		go func() {
			defer func() {
				_ = c.Close()
				server.mu.Lock()
				defer server.mu.Unlock()
				delete(server.conns, c)
			}()
			reader := bufio.NewReader(c)
			for number := 1; ; number++ {
				r, err := http.ReadRequest(reader)
				if err != nil || !server.handle(number, r, c) {
					return
				}
			}
		}()
	}
}

// crashDownTime is how long a target is down after a crash.
const crashDownTime = 250 * time.Millisecond

// crashTarget ends the target of a connection like the end of its process, and lets
// it return.
func crashTarget(c net.Conn) {
	address := c.LocalAddr().String()
	value, ok := scriptServers.Load(address)
	if !ok {
		return
	}
	server := value.(*scriptServer)
	server.mu.Lock()
	defer server.mu.Unlock()
	_ = server.listener.Close()
	for conn := range server.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	time.AfterFunc(crashDownTime, func() {
		if _, running := scriptServers.Load(address); !running {
			return
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return // Another process has taken the port.
		}
		server.mu.Lock()
		server.listener = listener
		server.mu.Unlock()
		go server.run(listener)
	})
}

// stampedHead returns the start of a target's response head, without the length
// header and the final empty line.
func stampedHead(status int, r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: stamp\r\n", status, platform.HeaderRequestID,
		r.Header.Get(platform.HeaderRequestID), platform.HeaderServerStamp)
}

func (s *site) startTarget(i int, o wiretarget.Options, wrongID bool) *steering.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	o.ID = fmt.Sprint("t", i)
	target := wiretarget.New(o)
	h := target.NewServer(listener)
	go func() { _ = h.Run() }()
	s.t.Cleanup(func() { _ = h.Close() })
	s.targets = append(s.targets, target)
	record := &steering.Target{ID: o.ID, Service: "s", Address: listener.Addr().String(), Domain: "d", Slots: o.Slots}
	if wrongID {
		record.ID = "gone"
	}
	s.records = append(s.records, record)
	return record
}

func (s *site) startGateway(state *steering.State, o siteOptions) {
	now := time.Now()
	balancer := balance.New(balance.Options{Name: "n", Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}}, now)
	balancer.SetState(now, state)
	s.state.Store(state)
	gw := gateway.New(gateway.Options{State: s.state.Load, Balancer: balancer, Suspects: balance.NewSuspects(),
		Budget:    balance.NewRetryBudget(settings.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50}, time.Now().Add(-10*time.Second)),
		Forwarder: forward.New(), RelayForwarder: forward.New(), Headers: platform.Headers{}, LiveInstances: func() int { return 1 },
		Events: events.New(&log.Logger{Handler: o.logs}), Quotas: o.quotas, MemoryBytes: o.memory})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.address, s.gateway = listener.Addr().String(), gw
	s.server = gateway.NewServer(gw, listener)
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(func() { cancel(); s.server.StopAccepting(); s.server.CloseAll() })
	go func() { _ = s.server.Run(ctx) }()
}

// setLimits puts a configuration with other limits into force.
func (s *site) setLimits(limits steering.Limits) {
	s.changeConfig(func(config *steering.Config) { config.Limits = limits })
}

// moveRoutes puts a configuration into force that sends all requests to one service.
func (s *site) moveRoutes(service string) {
	s.changeConfig(func(config *steering.Config) {
		config.Routes = slices.Clone(config.Routes)
		for i := range config.Routes {
			config.Routes[i].Split = []steering.WeightedService{{Service: service, Weight: 1}}
		}
	})
}

// changeConfig puts a changed copy of the configuration into force.
func (s *site) changeConfig(change func(*steering.Config)) {
	config := *s.state.Load().Config
	config.Version++
	change(&config)
	config.Index()
	s.state.Store(s.state.Load().Apply(2, []steering.Update{steering.ConfigUpdate{Config: &config}}))
}

// caller is a caller with one connection to the gateway.
type caller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *site) dial() *caller {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return &caller{Conn: conn, t: s.t, reader: bufio.NewReader(conn)}
}

// send writes a request that has 3 s. Each header is a complete line.
func (c *caller) send(method, path, id, body string, headers ...string) {
	c.t.Helper()
	c.sendWithin(3*time.Second, method, path, id, body, headers...)
}

// sendWithin is like send for a request that has the given time.
func (c *caller) sendWithin(limit time.Duration, method, path, id, body string, headers ...string) {
	c.t.Helper()
	lines := append([]string{fmt.Sprintf("%s %s HTTP/1.1", method, path), "Host: " + host, platform.HeaderRequestID + ": " + id,
		fmt.Sprintf("%s: %d", platform.HeaderDeadline, limit.Milliseconds())}, headers...)
	if body != "" {
		lines = append(lines, fmt.Sprint("Content-Length: ", len(body)))
	}
	_, err := io.WriteString(c.Conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
	require.NoError(c.t, err)
}

// callerResponse is a response as received by a caller, with its body read.
type callerResponse struct {
	*http.Response
	body string
}

func (c *caller) receive(method string) callerResponse {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	require.NoError(c.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(c.t, err)
	return callerResponse{Response: r, body: string(body)}
}

// request sends a request on a new connection and returns the response.
func (s *site) request(method, path, id, body string, headers ...string) callerResponse {
	s.t.Helper()
	c := s.dial()
	c.send(method, path, id, body, headers...)
	return c.receive(method)
}

// executed returns how often the targets executed a request in total.
func (s *site) executed(id string) int {
	n := 0
	for _, t := range s.targets {
		n += t.Executions()[id]
	}
	return n
}
