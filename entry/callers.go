package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	maxRequestBytes = 8 << 20
	// pathLookup is the look-up for callers; paths under "/-/" are never
	// carried to targets.
	pathLookup = "/-/lookup"
)

func (in *Instance) callerServer() *server.Hertz {
	h := server.New(
		server.WithHostPorts(in.settings.CallerAddress),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxRequestBytes),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)
	h.GET(pathLookup, in.handleLookup)
	h.NoRoute(in.handleRequest)
	return h
}

func (in *Instance) keyPrefix() string {
	return in.settings.Name + "." + strconv.FormatUint(in.incarnation, 36) + ".0"
}

func (in *Instance) handleRequest(ctx context.Context, c *app.RequestContext) {
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	o := in.serve(ctx, c)
	if o.Reason != outcome.ReasonAnswered {
		in.refuse(c, o)
	}
	c.Response.Header.Set(outcome.HeaderExecuted, string(o.Executed))
	c.Response.Header.Set(outcome.HeaderReason, string(o.Reason))
	c.Response.Header.Set(outcome.HeaderTarget, o.Target)
	c.Response.Header.Set(outcome.HeaderInstance, in.settings.Name)
	if in.leaving.Load() {
		c.SetConnectionClose()
	}
}

func (in *Instance) refuse(c *app.RequestContext, o outcome.Outcome) {
	c.Response.Reset()
	c.JSON(o.Status, map[string]string{"reason": string(o.Reason), "executed": string(o.Executed)})
}
