package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// lookupTTL is how long callers may keep an answer. Some keep it three
	// times as long, and an instance that stops waits for them.
	lookupTTL = time.Second
	// maxLookupAddresses bounds the addresses of an answer, as the platform does.
	maxLookupAddresses = 64
	idleTimeout        = 30 * time.Second
)

// startListeners serves readiness, look-ups, metrics and peers.
func (n *Node) startListeners(ctx context.Context, failed chan<- error) error {
	peers, err := net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	go func() { failed <- serveSnapshots(ctx, peers, n.mirror) }()
	servers := map[string]func(*server.Hertz){
		n.settings.ReadinessAddress: func(h *server.Hertz) { h.GET(n.options.Platform.ReadyPath(), n.handleReady) },
	}
	if n.settings.LookupAddress != "" {
		servers[n.settings.LookupAddress] = func(h *server.Hertz) { h.GET(n.options.Platform.ResolvePath(), n.handleResolve) }
	}
	if n.settings.MetricsAddress != "" {
		servers[n.settings.MetricsAddress] = func(h *server.Hertz) { h.GET("/metrics", n.handleMetrics) }
	}
	for address, routes := range servers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
			server.WithIdleTimeout(idleTimeout), server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
		routes(h)
		go func() { failed <- h.Run() }()
	}
	return nil
}

func (n *Node) handleReady(_ context.Context, c *app.RequestContext) {
	if n.ready() {
		c.SetStatusCode(200)
		return
	}
	c.SetStatusCode(503)
}

// handleResolve names the instances for a caller.
func (n *Node) handleResolve(_ context.Context, c *app.RequestContext) {
	addresses := nearestAddresses(n.exchange.Live(), c.Query("zone"), c.Query("region"))
	if len(addresses) == 0 {
		c.SetStatusCode(503)
		return
	}
	ttl := lookupTTL
	if most := n.settings.Bounds.MaxLookupTTL; most > 0 {
		ttl = min(ttl, most)
	}
	body, err := n.options.Platform.Resolution(addresses, ttl)
	if err != nil {
		n.options.Log.WithError(err).Error("look-up answer not encoded")
		c.SetStatusCode(500)
		return
	}
	c.Data(200, "application/json", body)
}

// nearestAddresses returns the addresses of the live instances of the caller's failure
// domain, else of its region, else all.
func nearestAddresses(live []steering.Instance, domain, region string) []string {
	levels := []func(steering.Instance) bool{
		func(in steering.Instance) bool { return in.Domain == domain },
		func(in steering.Instance) bool { return in.Region == region },
		func(steering.Instance) bool { return true },
	}
	var list []string
	for _, near := range levels {
		list = list[:0]
		for _, in := range live {
			if near(in) {
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
