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
	"github.com/jacinthstall/jacinthstall/internal/accept"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
)

// maxOperatorConnections bounds the connections to the operators' listener.
// With 64 KB of body and 16 KB of headers for each, clients can occupy at most
// 5 MB.
const maxOperatorConnections = 64

// Status is the body of the operators' /status endpoint.
type Status struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	Version  uint64 `json:"version"` // Version of the document in force; 0 when there is none.
	Leaving  bool   `json:"leaving"`
	InFlight int64  `json:"inFlight"` // Requests in flight.
}

// operatorServer returns the server of the operators' listener. Its clients are
// not authenticated. The memory that they can occupy is bounded by the number
// of connections, the first part of the request on each, and the limits of the
// console.
func (inst *Instance) operatorServer(listener net.Listener) (*server.Hertz, error) {
	h := server.New(append(console.ServerOptions(),
		server.WithListener(limitConnections(accept.Retry(listener, inst.acceptFailed), maxOperatorConnections)),
		server.WithTransport(standard.NewTransporter),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)...)
	h.GET("/health", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	h.GET("/ready", inst.handleReady)
	h.GET("/metrics", inst.handleMetrics)
	h.GET("/status", func(_ context.Context, c *app.RequestContext) { c.JSON(200, inst.status()) })
	if err := console.Register(h, inst.consoleOptions()); err != nil {
		return nil, fmt.Errorf("register console: %w", err)
	}
	return h, nil
}

// consoleOptions connects the console to the platform. Documents cannot be
// published while the platform's document is older than the one in force at
// this instance.
func (inst *Instance) consoleOptions() console.Options {
	publisher := func(sign func([sha256.Size]byte) ([]byte, error)) ctl.Publisher {
		return &ctl.PlatformPublisher{Publisher: &configsync.Publisher{KV: inst.platform, Sign: sign,
			Keys: inst.config.operatorKeys, InForce: inst.config.store.Current}}
	}
	return console.Options{
		Reader: publisher(nil),
		NewPublisher: func(_ context.Context, s ctl.Signature) (ctl.Publisher, error) {
			return publisher(func([sha256.Size]byte) ([]byte, error) { return s.Value, nil }), nil
		},
		OperatorKeys:     inst.config.operatorKeys,
		ReadBackInterval: ctl.DefaultReadBackInterval,
		Log:              inst.log,
	}
}

func (inst *Instance) handleReady(_ context.Context, c *app.RequestContext) {
	if inst.document.Load() == nil || !inst.schedulerViewSet.Load() || inst.isLeaving() {
		c.String(503, "not ready\n")
		return
	}
	c.String(200, "ready\n")
}

func (inst *Instance) status() Status {
	return Status{
		Name:     inst.settings.Name,
		Domain:   inst.settings.Domain,
		Version:  inst.configVersion(),
		Leaving:  inst.isLeaving(),
		InFlight: inst.inFlight.Load(),
	}
}
