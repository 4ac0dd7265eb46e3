package entry

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	maxRequestBytes = 8 << 20
	maxHeaderBytes  = 64 << 10
	// prefetchBytes is read of a streamed body before the handler is called.
	prefetchBytes = 4 << 10
	// readTimeout bounds the arrival of a request's head and prefetched body.
	readTimeout = 10 * time.Second
	idleTimeout = time.Minute
	// pathLookup is the look-up for callers; paths under "/-/" are never
	// carried to targets.
	pathLookup = "/-/lookup"
)

func (in *Instance) callerServer(listener net.Listener) *server.Hertz {
	accepted := func(conn net.Conn) context.Context {
		if in.onAccept != nil {
			in.onAccept(conn)
		}
		return context.Background()
	}
	h := server.New(
		server.WithListener(listener),
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
	h.GET(pathLookup, in.handleLookup)
	h.NoRoute(in.handleRequest)
	return h
}

// keyPrefix is empty once the records have been sealed for a hand-over.
func (in *Instance) keyPrefix() string {
	p, ok := in.keyRegistry.Prefix(time.Now())
	if !ok {
		return ""
	}
	return p.String()
}

func (in *Instance) writeRefusalBody(c *app.RequestContext, o outcome.Outcome) {
	c.Response.Reset()
	c.JSON(o.Status, map[string]string{"reason": string(o.Reason), "executed": string(o.Executed)})
}
