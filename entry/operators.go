package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Status is what an instance reports of itself to operators.
type Status struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	Version  uint64 `json:"version"` // Version of the document in force; 0 when there is none.
	Leaving  bool   `json:"leaving"`
	InFlight int64  `json:"inFlight"` // Requests in flight.
}

func (in *Instance) operatorServer() *server.Hertz {
	h := server.New(
		server.WithHostPorts(in.settings.OperatorAddress),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)
	h.GET("/health", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	h.GET("/ready", in.handleReady)
	h.GET("/status", func(_ context.Context, c *app.RequestContext) { c.JSON(200, in.status()) })
	return h
}

func (in *Instance) handleReady(_ context.Context, c *app.RequestContext) {
	if in.document.Load() == nil || !in.viewSet.Load() || in.leaving.Load() {
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
		Leaving:  in.leaving.Load(),
		InFlight: in.inFlight.Load(),
	}
}
