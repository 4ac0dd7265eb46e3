package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// minRebalanceInterval is the pause between two looks at the load of targets, and
	// between two tables of a region, in a deployment of up to homesDomains
	// failure domains. Each table wakes the watches of all domains, so in larger
	// deployments it is longer in proportion.
	minRebalanceInterval    = 4 * time.Second
	maxDomainsAtMinInterval = 6
)

// runRebalancing keeps the objects of the region spread over its targets while
// this instance is the one that decides for the region.
func (n *Node) runRebalancing(ctx context.Context) {
	pause := max(minRebalanceInterval, minRebalanceInterval*time.Duration(len(n.settings.RegionByDomain))/maxDomainsAtMinInterval)
	for ctx.Err() == nil {
		sleep(ctx, pause)
		if n.leadsRebalancing() {
			n.rebalance(ctx)
		}
	}
}

// leadsRebalancing reports whether this instance decides for its region: the first
// live one by name. Two that do not know each other may both decide; the
// store takes one table after the other.
func (n *Node) leadsRebalancing() bool {
	if !n.storeReachable() || n.leaving.Load() {
		return false
	}
	for _, in := range n.exchange.Live() { // In the order of names.
		if in.Region == n.self.Region {
			return in.Name == n.self.Name
		}
	}
	return false
}

func (n *Node) rebalance(ctx context.Context) {
	table, moves := n.balancer.Rebalance(time.Now())
	if len(moves) == 0 {
		return
	}
	if err := n.writeHomeTable(ctx, table); err != nil {
		n.events.Emit(events.HomesNotWritten, log.Fields{"region": n.self.Region, "revision": table.Revision, "error": err.Error()})
		return
	}
	for _, m := range moves {
		n.events.Emit(events.HomeMoved, moveLogFields(m))
	}
}

func (n *Node) writeHomeTable(ctx context.Context, table *steering.HomeTable) error {
	value, err := n.options.Platform.HomesValue(table)
	if err != nil {
		return err
	}
	return n.options.Store.Swap(ctx, n.options.Platform.HomesKey(n.self.Region), value, table.Revision)
}

func moveLogFields(m balance.HomeMove) log.Fields {
	levels := roundToHundredths(map[string]float64{"from": m.FromUtilization, "to": m.ToUtilization, "part": m.ObjectUtilization})
	return log.Fields{"service": m.Service, "from": m.From, "to": m.To,
		"fromLevel": levels["from"], "toLevel": levels["to"], "part": levels["part"], "more": m.AddsHome}
}
