package balance

import (
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// coldSenders is the number of instances that send requests to a cold
	// target. Each gets an equal share of the rate, which needs no
	// coordination of single requests.
	coldSenders = 2
	// maxColdInterval bounds the time between two requests from one instance to
	// a cold target. Targets are cold for seconds.
	maxColdInterval = time.Hour
)

// coldRequestAllowed reports whether the target is warm or may receive a
// request now although it is cold. Only coldSenders instances use a cold
// target, each within its share of the tolerated rate. Instances may disagree
// briefly on which instances are live; an additional sender does no harm
// because shares are small. In a network partition each part has its own senders,
// which share the part's share of the rate.
func (balancer *Balancer) coldRequestAllowed(now time.Time, t *target) bool {
	if !now.Before(t.coldUntil) {
		return true
	}
	if balancer.coldInterval(t) == 0 {
		return true
	}
	return !now.Before(t.nextColdRequest) && balancer.isColdSender(t)
}

// coldInterval returns the minimum time between two requests from one instance
// to a cold target; 0 means no limit.
func (balancer *Balancer) coldInterval(t *target) time.Duration {
	if balancer.state.Config == nil {
		return time.Second
	}
	perSecond := balancer.state.Config.Services[t.record.Service].MaxColdRate
	if perSecond <= 0 {
		return 0
	}
	interval := float64(time.Second) * coldSenders / (perSecond * balancer.partitionShare())
	return time.Duration(min(interval, float64(maxColdInterval)))
}

// recordColdRequest uses up this instance's share of the rate of a cold target
// for one interval.
func (balancer *Balancer) recordColdRequest(now time.Time, t *target) {
	if now.Before(t.coldUntil) {
		t.nextColdRequest = now.Add(balancer.coldInterval(t))
	}
}

// isColdSender reports whether this instance may send requests to the target
// while it is cold.
func (balancer *Balancer) isColdSender(t *target) bool {
	if t.coldSenderGeneration != balancer.instancesGeneration {
		t.coldSender, t.coldSenderGeneration = balancer.ranksAsColdSender(t), balancer.instancesGeneration
	}
	return t.coldSender
}

// ranksAsColdSender reports whether this instance is among the first
// coldSenders instances for a target.
func (balancer *Balancer) ranksAsColdSender(t *target) bool {
	self := slices.IndexFunc(balancer.liveInstances, func(in steering.Instance) bool { return in.Name == balancer.options.Name })
	if self < 0 {
		return false
	}
	higherRanked := 0
	for i := range balancer.liveInstances {
		if balancer.ranksBefore(i, self, t) {
			higherRanked++
		}
	}
	return higherRanked < coldSenders
}
