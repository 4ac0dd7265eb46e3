package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/internal/accept"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// lookupTTL is how long callers may keep a look-up response. Some keep it
	// three times as long, and an instance that shuts down waits for them.
	lookupTTL = time.Second
	// maxLookupAddresses bounds the addresses of a response, as the platform
	// does.
	maxLookupAddresses = 64
	idleTimeout        = 30 * time.Second
)

// startListeners starts the servers for readiness, look-ups, metrics and peers.
func (node *Node) startListeners(ctx context.Context, failed chan<- error) error {
	peers, err := net.Listen("tcp", node.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	go func() { failed <- serveSnapshots(ctx, accept.Retry(peers, node.acceptFailed), node.mirror) }()
	servers := map[string]func(*server.Hertz){
		node.settings.ReadinessAddress: func(h *server.Hertz) { h.GET(node.options.Platform.ReadyPath(), node.handleReady) },
	}
	if node.settings.LookupAddress != "" {
		servers[node.settings.LookupAddress] = func(h *server.Hertz) { h.GET(node.options.Platform.ResolvePath(), node.handleResolve) }
	}
	if node.settings.MetricsAddress != "" {
		servers[node.settings.MetricsAddress] = func(h *server.Hertz) {
			h.GET("/metrics", node.handleMetrics)
			h.GET("/explain", node.handleExplain)
		}
	}
	for address, routes := range servers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		h := server.New(server.WithListener(accept.Retry(listener, node.acceptFailed)), server.WithTransport(standard.NewTransporter),
			server.WithIdleTimeout(idleTimeout), server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
		routes(h)
		go func() { failed <- h.Run() }()
	}
	return nil
}

func (node *Node) acceptFailed(err error) {
	node.events.Emit(events.AcceptFailed, log.Fields{"error": err.Error()})
}

func (node *Node) handleReady(_ context.Context, c *app.RequestContext) {
	if node.ready() {
		c.SetStatusCode(200)
		return
	}
	c.SetStatusCode(503)
}

// handleResolve responds to a look-up with the addresses of instances.
func (node *Node) handleResolve(_ context.Context, c *app.RequestContext) {
	addresses := nearestAddresses(node.exchange.Live(), c.Query("zone"), c.Query("region"))
	if len(addresses) == 0 {
		c.SetStatusCode(503)
		return
	}
	ttl := lookupTTL
	if bound := node.settings.Bounds.MaxLookupTTL; bound > 0 {
		ttl = min(ttl, bound)
	}
	body, err := node.options.Platform.Resolution(addresses, ttl)
	if err != nil {
		node.options.Log.WithError(err).Error("look-up response could not be encoded")
		c.SetStatusCode(500)
		return
	}
	c.Data(200, "application/json", body)
}

// nearestAddresses returns the addresses of the live instances in the caller's
// failure domain; if there are none, those in its region, or else all.
func nearestAddresses(live []steering.Instance, domain, region string) []string {
	proximities := []func(steering.Instance) bool{
		func(in steering.Instance) bool { return in.Domain == domain },
		func(in steering.Instance) bool { return in.Region == region },
		func(steering.Instance) bool { return true },
	}
	var list []string
	for _, matches := range proximities {
		list = list[:0]
		for _, in := range live {
			if matches(in) {
				list = append(list, in.Address)
			}
		}
		if len(list) > 0 {
			break
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxLookupAddresses)]
}
