package entry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/console"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
)

// maxOperatorConnections bounds the connections to the operators' listener.
// With 64 KB of body and 16 KB of head on each, peers hold at most 5 MB there.
const maxOperatorConnections = 64

// Status is what an instance reports of itself to operators.
type Status struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	Version  uint64 `json:"version"` // Version of the document in force; 0 when there is none.
	Leaving  bool   `json:"leaving"`
	InFlight int64  `json:"inFlight"` // Requests in flight.
}

// operatorServer returns the server of the operators' listener. Its peers are
// not authenticated: what they can make it keep is bounded by the number of
// connections, the first part of a request on each, and the console's bounds.
func (in *Instance) operatorServer() (*server.Hertz, error) {
	listener, err := net.Listen("tcp", in.settings.OperatorAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	h := server.New(append(console.ServerOptions(),
		server.WithListener(limitConnections(listener, maxOperatorConnections)),
		server.WithTransport(standard.NewTransporter),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)...)
	h.GET("/health", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	h.GET("/ready", in.handleReady)
	h.GET("/metrics", in.handleMetrics)
	h.GET("/status", func(_ context.Context, c *app.RequestContext) { c.JSON(200, in.status()) })
	if err := console.Register(h, in.consoleOptions()); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("console: %w", err)
	}
	return h, nil
}

// consoleOptions connects the console to the platform. Publications are
// refused while the platform is behind the document in force here.
func (in *Instance) consoleOptions() console.Options {
	publisher := func(sign func([sha256.Size]byte) ([]byte, error)) ctl.Publisher {
		return &ctl.PlatformPublisher{Publisher: &configsync.Publisher{KV: in.platform, Sign: sign,
			Keys: in.config.operatorKeys, InForce: in.config.store.Current}}
	}
	return console.Options{
		Reader: publisher(nil),
		NewPublisher: func(_ context.Context, s ctl.Signature) (ctl.Publisher, error) {
			return publisher(func([sha256.Size]byte) ([]byte, error) { return s.Value, nil }), nil
		},
		OperatorKeys:     in.config.operatorKeys,
		ReadBackInterval: ctl.DefaultReadBackInterval,
		Log:              in.log,
	}
}

func (in *Instance) handleReady(_ context.Context, c *app.RequestContext) {
	if in.document.Load() == nil || !in.schedulerViewSet.Load() || in.isLeaving() {
		c.String(503, "not ready\n")
		return
	}
	c.String(200, "ready\n")
}

func (in *Instance) status() Status {
	return Status{
		Name:     in.settings.Name,
		Domain:   in.settings.Domain,
		Version:  in.configVersion(),
		Leaving:  in.isLeaving(),
		InFlight: in.inFlight.Load(),
	}
}
