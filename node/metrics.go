package node

import (
	"bytes"
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jacinthstall/jacinthstall/metrics"
)

// updateGauges takes over what other parts count themselves.
func (n *Node) updateGauges() {
	registry := n.gateway.Counters().Registry
	gauge := func(name string, value int64) { gometrics.GetOrRegisterGauge(name, registry).Update(value) }
	gauge("requests_in_flight", n.callerServer.InFlight())
	gauge("caller_connections", int64(n.callerServer.Connections()))
	gauge("instances_live", int64(len(n.exchange.Live())))
	gauge("store_revision", int64(n.mirror.Revision()))
	if config := n.mirror.State().Config; config != nil {
		gauge("config_version", int64(config.Version))
	}
	if n.options.StoreCalls != nil {
		gauge("store_calls", int64(n.options.StoreCalls()))
	}
	if n.options.DroppedLines != nil {
		gauge("log_lines_dropped", int64(n.options.DroppedLines()))
	}
}

func (n *Node) handleMetrics(_ context.Context, c *app.RequestContext) {
	n.updateGauges()
	var b bytes.Buffer
	if err := metrics.WriteRegistry(&b, n.gateway.Counters().Registry, n.settings.Name); err != nil {
		n.options.Log.WithError(err).Error("metrics not written")
		c.SetStatusCode(500)
		return
	}
	c.Data(200, "text/plain; version=0.0.4; charset=utf-8", b.Bytes())
}
