package node

import (
	"bytes"
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/metrics"
)

func (n *Node) handleMetrics(_ context.Context, c *app.RequestContext) {
	var b bytes.Buffer
	if err := metrics.WriteRegistry(&b, n.gateway.Counters().Registry, n.settings.Name); err != nil {
		n.options.Log.WithError(err).Error("metrics not written")
		c.SetStatusCode(500)
		return
	}
	c.Data(200, "text/plain; version=0.0.4; charset=utf-8", b.Bytes())
}
