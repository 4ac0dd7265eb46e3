package balance

import "time"

// Check returns the refusal of a request that no target can serve, or nil. Unlike Pick,
// it grants nothing, so it can be called while the body of a request is still to
// arrive. It refuses no request that Pick would grant.
func (balancer *Balancer) Check(now time.Time, request Request) *Refusal {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	svc := balancer.service(request.Service)
	refusal := balancer.check(now, svc, request)
	if refusal != nil && !request.Retry { // Pick will not count it.
		svc.callerRate.add(now)
		if refusal.Reason == Overloaded {
			balancer.countRefused(now, svc, request)
		}
	}
	return refusal
}

func (balancer *Balancer) check(now time.Time, svc *service, request Request) *Refusal {
	objectHash := hashOf(request.Object)
	if request.Object == "" {
		objectHash = mix(svc.sequence+1, balancer.ownHash())
	}
	for i, region := range balancer.regionOrder(svc, request, objectHash) {
		c, ok := balancer.regionCandidate(now, svc, request, region, objectHash, i > 0)
		if !ok {
			continue
		}
		if c.expectedWait < request.Remaining {
			return nil
		}
		return &Refusal{Reason: Overloaded, Region: c.target.region, ExpectedTime: c.expectedTime, ExpectedWait: c.expectedWait,
			Load: balancer.load(now, c.target), RetryAfter: balancer.retryAfter(c.expectedWait)}
	}
	return balancer.refuseWithoutTarget(now, svc, request)
}
