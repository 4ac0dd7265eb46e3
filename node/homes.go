package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// minRebalanceInterval is the interval between checks of the load of
	// targets, and so between writes of a region's home table, in deployments
	// of up to maxDomainsAtMinInterval failure domains. Each table wakes the
	// watches of all domains, so in larger deployments the interval grows in
	// proportion.
	minRebalanceInterval    = 4 * time.Second
	maxDomainsAtMinInterval = 6
)

// runRebalancing keeps the objects of the region balanced across its targets
// while this instance leads the rebalancing.
func (node *Node) runRebalancing(ctx context.Context) {
	pause := max(minRebalanceInterval, minRebalanceInterval*time.Duration(len(node.settings.RegionByDomain))/maxDomainsAtMinInterval)
	for ctx.Err() == nil {
		sleep(ctx, pause)
		if node.leadsRebalancing() {
			node.restoreHomeTable(ctx, time.Now())
			node.rebalance(ctx)
		}
	}
}

// leadsRebalancing reports whether this instance rebalances its region: the
// first live one by name does. Two instances that don't know each other may
// both do so; of two tables based on the same revision, the store accepts one.
func (node *Node) leadsRebalancing() bool {
	if !node.storeReachable() || node.leaving.Load() {
		return false
	}
	for _, in := range node.exchange.Live() { // Sorted by name.
		if in.Region == node.self.Region {
			return in.Name == node.self.Name
		}
	}
	return false
}

func (node *Node) rebalance(ctx context.Context) {
	table, moves := node.balancer.Rebalance(time.Now())
	if len(moves) == 0 {
		return
	}
	if err := node.writeHomeTable(ctx, table); err != nil {
		node.events.Emit(events.HomesNotWritten, log.Fields{"region": node.self.Region, "revision": table.Revision, "error": err.Error()})
		return
	}
	for _, m := range moves {
		node.events.Emit(events.HomeMoved, moveLogFields(m))
	}
}

func (node *Node) writeHomeTable(ctx context.Context, table *steering.HomeTable) error {
	value, err := node.options.Platform.HomesValue(table)
	if err != nil {
		return err
	}
	key := node.options.Platform.HomesKey(node.self.Region)
	return node.options.Store.Swap(ctx, key, value, node.expectedRevision(key, kv.Revision{Era: table.Era, Number: table.Revision}))
}

func moveLogFields(m balance.HomeMove) log.Fields {
	levels := roundToHundredths(map[string]float64{"from": m.FromUtilization, "to": m.ToUtilization, "part": m.ObjectUtilization})
	return log.Fields{"service": m.Service, "from": m.From, "to": m.To,
		"fromLevel": levels["from"], "toLevel": levels["to"], "part": levels["part"], "more": m.AddsHome}
}
