package gateway

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/steering"
)

// maxUnknownHeaders limits the number of unknown response headers that are logged.
const maxUnknownHeaders = 16

// observeResponse records what the head of a target's response tells about the
// target, except for its load. sent is a time at which the request had not yet
// been sent.
func (g *Gateway) observeResponse(sent time.Time, target *steering.Target, received *forward.Response, source balance.LimitSource) {
	if received.Status == http.StatusMisdirectedRequest {
		return // The response is from another target.
	}
	for name := range received.Header {
		if !g.Headers.KnownResponseHeader(name) && g.unknownHeaders.add(name) {
			g.events.Emit(events.UnknownHeader, log.Fields{"header": name, "target": target.ID})
		}
	}
	perSecond, ok := g.Headers.RateLimit(received.Header)
	if !ok || math.IsInf(perSecond, 1) && !g.Headers.HasStamp(received.Header) {
		return // Without a signature, the missing header says nothing about the limit.
	}
	if g.Balancer.ObserveRateLimit(time.Now(), target, sent, perSecond, source) {
		g.LogLimitChanges()
	}
}

// LogLimitChanges logs the changes of targets' limits since the last call.
func (g *Gateway) LogLimitChanges() {
	for _, c := range g.Balancer.LimitChanges() {
		g.events.Emit(events.TargetLimit, log.Fields{"target": c.Target, "limited": c.Active, "perSecond": c.PerSecond, "source": c.Source, "owner": c.Owner})
	}
}

// nameSet is a set of up to maxUnknownHeaders names.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add adds a name. It reports whether the name is new and the set was not full.
func (set *nameSet) add(name string) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.names[name] || len(set.names) >= maxUnknownHeaders {
		return false
	}
	if set.names == nil {
		set.names = map[string]bool{}
	}
	set.names[name] = true
	return true
}
