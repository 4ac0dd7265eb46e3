package node

import (
	"bytes"
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jacinthstall/jacinthstall/metrics"
)

// updateGauges copies values that other components count into the gauges.
func (node *Node) updateGauges() {
	registry := node.gateway.Counters().Registry
	gauge := func(name string, value int64) { gometrics.GetOrRegisterGauge(name, registry).Update(value) }
	gauge("requests_in_flight", node.callerServer.InFlight())
	requests, held, maxRequests, maxHeld := node.gateway.MemoryUse()
	gauge("requests_accepted", int64(requests))
	gauge("requests_accepted_max", int64(maxRequests))
	gauge("body_bytes_held", held)
	gauge("body_bytes_held_max", maxHeld)
	gauge("caller_connections", int64(node.callerServer.Connections()))
	gauge("instances_live", int64(len(node.exchange.Live())))
	gauge("targets_limited", int64(node.balancer.LimitedTargets()))
	leaving, paused := node.balancer.UnavailableTargets()
	gauge("targets_leaving", int64(leaving))
	gauge("targets_paused", int64(paused))
	gauge("accounts_limited", int64(node.quotas.OverLimit()))
	slow, belowSlots := node.balancer.CapacityCounts(time.Now())
	gauge("targets_slow", int64(slow))
	gauge("targets_below_slots", int64(belowSlots))
	gauge("store_revision", int64(node.mirror.Revision()))
	gauge("store_era", int64(node.mirror.Position().Era))
	if config := node.mirror.State().Config; config != nil {
		gauge("config_version", int64(config.Version))
		gauge("accounts", int64(len(config.Accounts)))
	}
	if node.options.StoreCalls != nil {
		gauge("store_calls", int64(node.options.StoreCalls()))
	}
	if node.options.DroppedLines != nil {
		gauge("log_lines_dropped", int64(node.options.DroppedLines()))
	}
}

func (node *Node) handleMetrics(_ context.Context, c *app.RequestContext) {
	node.updateGauges()
	var b bytes.Buffer
	if err := metrics.WriteRegistry(&b, node.gateway.Counters().Registry, node.settings.Name); err != nil {
		node.options.Log.WithError(err).Error("metrics could not be encoded")
		c.SetStatusCode(500)
		return
	}
	c.Data(200, "text/plain; version=0.0.4; charset=utf-8", b.Bytes())
}
