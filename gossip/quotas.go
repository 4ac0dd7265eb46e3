package gossip

import (
	"time"

	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Reports on quotas count for a shorter time than a silent sender counts as live:
// while both sides of a partition believe that they may use the whole limit, a
// surge exceeds it. The times span two lost messages in the domain and region, and
// one lost digest of another region.
const (
	minQuotaTimeout       = 500 * time.Millisecond
	quotaTimeoutMessages  = 3.5
	minRemoteQuotaTimeout = 1100 * time.Millisecond
	quotaTimeoutDigests   = 2.2
)

// quotaTimeout is how long a report on quotas counts that comes from this region.
func (exchange *Exchange) quotaTimeout() time.Duration {
	return max(minQuotaTimeout, time.Duration(quotaTimeoutMessages*float64(exchange.messageInterval())))
}

// domainQuotaTimeout is how long a report on quotas of another domain counts.
func (exchange *Exchange) domainQuotaTimeout(domain string) time.Duration {
	if exchange.options.Regions[domain] == exchange.options.Self.Region {
		return exchange.quotaTimeout()
	}
	return max(minRemoteQuotaTimeout, time.Duration(quotaTimeoutDigests*float64(exchange.remoteInterval())))
}

// HeardInstances returns the number of instances whose reports on quotas count
// now, this one included.
func (exchange *Exchange) HeardInstances(now time.Time) int {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	heard := 1
	for _, peer := range exchange.peers {
		if now.Sub(peer.lastHeard) < exchange.quotaTimeout() {
			heard++
		}
	}
	for name, remote := range exchange.remoteDomains {
		if !remote.lastHeard.IsZero() && now.Sub(remote.lastHeard) < exchange.domainQuotaTimeout(name) {
			heard += len(remote.lastDigest.Members)
		}
	}
	return heard
}

// KnownInstances returns the number of instances among which the accounts' limits are
// divided: the registered ones, and others that were heard recently and have not
// announced their end. The store may reject instances that serve, until their
// registrations lapse; both sides of a partition would otherwise leave them out of
// what they divide by and exceed the limits together.
func (exchange *Exchange) KnownInstances(now time.Time, registered map[string]steering.Instance) int {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	known := len(registered)
	count := func(name string, heard time.Time, leaving bool) {
		if _, ok := registered[name]; !ok && !leaving && now.Sub(heard) < unregisteredPeerTTL {
			known++
		}
	}
	count(exchange.options.Self.Name, now, false)
	for name, peer := range exchange.peers {
		count(name, peer.lastHeard, peer.lastMessage.Leaving)
	}
	for _, remote := range exchange.remoteDomains {
		for i := range remote.lastDigest.Members {
			member := &remote.lastDigest.Members[i]
			count(member.Name, remote.lastHeard, member.Leaving)
		}
	}
	return known
}

// quotaReport is the report of this instance, nil if there is nothing to report.
func (exchange *Exchange) quotaReport(now time.Time) quota.Report {
	if exchange.options.Quotas == nil {
		return nil
	}
	return exchange.options.Quotas.Report(now)
}

// mergePeerQuotas adds the reports of the peers to that of this instance.
func (exchange *Exchange) mergePeerQuotas(now time.Time, sum quota.Report) quota.Report {
	for _, peer := range exchange.peers {
		if now.Sub(peer.lastHeard) < exchange.quotaTimeout() {
			sum = sum.Merge(peer.lastMessage.Quotas)
		}
	}
	return sum.Limited()
}

func (exchange *Exchange) applyQuotas(now time.Time, source string, report quota.Report, timeout time.Duration) {
	if exchange.options.Quotas != nil {
		exchange.options.Quotas.ApplyReport(now, source, report, timeout)
	}
}
