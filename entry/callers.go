package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
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

func (in *Instance) callerServer() *server.Hertz {
	accepted := func(conn net.Conn) context.Context {
		if in.onAccept != nil {
			in.onAccept(conn)
		}
		return context.Background()
	}
	h := server.New(
		server.WithHostPorts(in.settings.CallerAddress),
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

// LookupAnswer tells a caller which entry instances to use.
type LookupAnswer struct {
	Version   uint64           `json:"version"` // Version of the document in force.
	TTLMs     int              `json:"ttlMs"`   // Time that the answer may be cached.
	Site      string           `json:"site"`
	KeyPrefix string           `json:"keyPrefix"` // Prefix of idempotency keys.
	Instances []LookupInstance `json:"instances"` // Preferred first.
}

// LookupInstance is one entry instance of a look-up answer.
type LookupInstance struct {
	Name    string `json:"name"`
	Address string `json:"address"` // ip:port.
	Domain  string `json:"domain"`
}

func (in *Instance) handleLookup(_ context.Context, c *app.RequestContext) {
	d := in.document.Load()
	if d == nil {
		in.refuse(c, outcome.Outcome{Status: 503, Reason: outcome.ReasonNoConfig, Executed: outcome.No})
		return
	}
	answer := LookupAnswer{Version: d.Version, TTLMs: d.Timing.LookupTTLMs, KeyPrefix: in.keyPrefix()}
	if address, err := netip.ParseAddr(c.Query("caller")); err == nil {
		answer.Site = siteOf(d, address)
	}
	answer.Instances = in.members.preferred(in.settings.Domain, in.settings.Region)
	if !in.leaving.Load() {
		self := LookupInstance{Name: in.settings.Name, Address: in.settings.CallerAddress, Domain: in.settings.Domain}
		answer.Instances = append([]LookupInstance{self}, answer.Instances...)
	}
	c.JSON(200, answer)
}

func siteOf(d *policy.Document, address netip.Addr) string {
	best, site := -1, ""
	for _, b := range d.Blocks {
		p, err := netip.ParsePrefix(b.Prefix)
		if err == nil && p.Contains(address) && p.Bits() > best {
			best, site = p.Bits(), b.Site
		}
	}
	return site
}

// keyPrefix is empty once the records have been sealed for a hand-over.
func (in *Instance) keyPrefix() string {
	p, ok := in.once.Prefix(time.Now())
	if !ok {
		return ""
	}
	return p.String()
}

func (in *Instance) refuse(c *app.RequestContext, o outcome.Outcome) {
	c.Response.Reset()
	c.JSON(o.Status, map[string]string{"reason": string(o.Reason), "executed": string(o.Executed)})
}
