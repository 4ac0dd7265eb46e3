package node

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// quotaInterval is the interval at which the share of the limits is updated.
	// It is short, because a partition is detected in 0.5 to 1.1 s.
	quotaInterval = 100 * time.Millisecond
	// maxQuotaDelay is the delay of an update from which the process counts as
	// stalled. Messages that arrived meanwhile are read before the next one.
	maxQuotaDelay = 250 * time.Millisecond
	// quotaLogInterval is the shortest time between two lines about an account.
	quotaLogInterval = time.Second
	// joinTime is the time after the start in which registrations of other
	// instances may still be missing.
	joinTime = 2 * time.Second
)

// accountQuotas applies the accounts' limits. It implements gateway.Quotas.
type accountQuotas struct {
	*quota.Limiter
	events  *events.Log
	started time.Time
	refused gometrics.Counter // Nil until the gateway exists.
	// logged limits the lines about refused requests, by account. An account is
	// forgotten when its requests are no longer refused.
	logged *events.RepeatLimit
}

func newAccountQuotas(bounds settings.Bounds, log *events.Log, now time.Time) *accountQuotas {
	return &accountQuotas{Limiter: quota.New(quota.Options{Window: bounds.QuotaWindow, Over: bounds.QuotaOver, Slack: bounds.QuotaSlack}),
		events: log, started: now, logged: events.NewRepeatLimit(quotaLogInterval)}
}

// Admit decides whether a request of an account is admitted.
func (quotas *accountQuotas) Admit(now time.Time, account string) (bool, time.Duration) {
	decision := quotas.Limiter.Admit(now, account)
	if !decision.Admitted {
		quotas.refused.Inc(1)
		quotas.logRefusal(now, account, decision)
	}
	return decision.Admitted, decision.RetryAfter
}

func (quotas *accountQuotas) logRefusal(now time.Time, account string, decision quota.Decision) {
	if refused, write := quotas.logged.Record(now, account); write {
		quotas.events.Emit(events.QuotaExceeded, log.Fields{"account": account, "demand": toHundredths(decision.Demand), "limit": toHundredths(decision.Limit),
			"level": toHundredths(decision.Level), "refused": refused, "retryAfterMs": decision.RetryAfter.Milliseconds()})
	}
}

func (quotas *accountQuotas) logRestored(restored []quota.Restored) {
	for _, r := range restored {
		quotas.logged.Forget(r.Account)
		quotas.events.Emit(events.QuotaRestored, log.Fields{"account": r.Account, "refused": r.Refused, "overMs": r.Over.Milliseconds()})
	}
}

func toHundredths(v float64) float64 { return math.Round(v*100) / 100 }

// configChanged takes over the limits of a new configuration.
func (quotas *accountQuotas) configChanged(now time.Time, before, after *steering.Config) {
	if after != nil && after != before {
		quotas.logRestored(quotas.SetAccounts(now, after.Accounts))
	}
}

// quotaShare is the part of each limit that the instances heard here may use.
// Known instances that are not heard may be cut off and use the rest.
func quotaShare(heard, known, domains int, joining bool) float64 {
	if joining { // All instances may be starting, each without the others' registrations.
		known = max(known, domains)
	}
	return float64(heard) / float64(max(heard, known))
}

func (node *Node) updateQuotaShare(now time.Time, state *steering.State) {
	joining := now.Sub(node.quotas.started) < joinTime
	node.quotas.SetShare(now, quotaShare(node.exchange.HeardInstances(now), node.exchange.KnownInstances(now, state.Instances), len(node.settings.RegionByDomain), joining))
}

// runQuotas updates the share of the limits until ctx ends.
func (node *Node) runQuotas(ctx context.Context) {
	tick := time.NewTicker(quotaInterval)
	defer tick.Stop()
	last, skipped := time.Now(), false
	for {
		select {
		case <-tick.C:
			now := time.Now()
			stalled := now.Sub(last) > maxQuotaDelay
			last = now
			if stalled && !skipped {
				skipped = true
				continue
			}
			skipped = false
			node.updateQuotaShare(now, node.mirror.State())
			node.quotas.logRestored(node.quotas.Tick(now))
		case <-ctx.Done():
			return
		}
	}
}
