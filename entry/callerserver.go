package entry

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/internal/accept"
	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	maxRequestBytes = 8 << 20
	maxHeaderBytes  = 64 << 10
	// prefetchBytes of a streamed body are read before the handler is called.
	prefetchBytes = 4 << 10
	// readTimeout bounds the time to read a request's head and the prefetched
	// part of its body.
	readTimeout = 10 * time.Second
	idleTimeout = time.Minute
	// pathLookup is the look-up endpoint for callers. Paths under "/-/" are
	// never forwarded to targets.
	pathLookup = "/-/lookup"
)

func (inst *Instance) callerServer(listener net.Listener) *server.Hertz {
	accepted := func(conn net.Conn) context.Context {
		if inst.onAccept != nil {
			inst.onAccept(conn)
		}
		return context.Background()
	}
	h := server.New(
		server.WithListener(accept.Retry(listener, inst.acceptFailed)),
		server.WithOnAccept(accepted),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(prefetchBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithSenseClientDisconnection(true),
		server.WithDisableDefaultContentType(true),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)
	h.GET(pathLookup, inst.handleLookup)
	h.NoRoute(inst.handleRequest)
	return h
}

// keyPrefix returns the prefix of idempotency keys that this instance issues.
// It is empty once the records have been sealed for a hand-over.
func (inst *Instance) keyPrefix() string {
	p, ok := inst.keyRegistry.Prefix(time.Now())
	if !ok {
		return ""
	}
	return p.String()
}

func (inst *Instance) writeRefusalBody(c *app.RequestContext, o outcome.Outcome) {
	c.Response.Reset()
	c.JSON(o.Status, map[string]string{"reason": string(o.Reason), "executed": string(o.Executed)})
}
