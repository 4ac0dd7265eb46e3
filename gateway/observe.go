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

const (
	// maxUnknownHeaders limits the number of unknown response headers that are
	// logged.
	maxUnknownHeaders = 16
	// maxInvalidStatements limits the number of invalid statements that are logged.
	maxInvalidStatements = 64
)

// observeResponse records what the head of a target's response tells about the
// target, except for its load. sent is a time at which the request had not yet been
// sent.
func (g *Gateway) observeResponse(sent time.Time, target *steering.Target, received *forward.Response, relayed bool) {
	if received.Status == http.StatusMisdirectedRequest {
		return // The response is from another target.
	}
	for name := range received.Header {
		if !g.Headers.KnownResponseHeader(name) && g.unknownHeaders.add(name) {
			g.events.Emit(events.UnknownHeader, log.Fields{"header": name, "target": target.ID})
		}
	}
	g.observeAvailability(target, received, relayed)
	source := balance.LimitFromResponse
	if relayed {
		source = balance.LimitFromRelay
	}
	perSecond, ok := g.Headers.RateLimit(received.Header)
	if !ok {
		g.logInvalidStatement("rate limit", target)
	}
	if !ok || math.IsInf(perSecond, 1) && !g.Headers.HasStamp(received.Header) {
		return // Without a signature, the missing header says nothing about the limit.
	}
	if g.Balancer.ObserveRateLimit(time.Now(), target, sent, perSecond, source) {
		g.LogLimitChanges()
	}
}

// observeAvailability records whether the target states that it is leaving or asks
// for a pause. Only a response that names the request is believed.
func (g *Gateway) observeAvailability(target *steering.Target, received *forward.Response, relayed bool) {
	leaving, leavingValid := g.Headers.Leaving(received.Header)
	pause, pauseValid := g.Headers.Pause(received.Status, received.Header)
	if !leavingValid {
		g.logInvalidStatement("leaving", target)
	}
	if !pauseValid {
		g.logInvalidStatement("pause", target)
	}
	if !leaving && pause == 0 {
		return
	}
	if received.Match != forward.MatchesRequest {
		g.logInvalidStatement("response without the request's ID", target)
		return
	}
	source := balance.StatementFromResponse
	if relayed {
		source = balance.StatementFromRelay
	}
	g.recordAvailability(target, leaving, pause, source)
}

func (g *Gateway) recordAvailability(target *steering.Target, leaving bool, pause time.Duration, source balance.StatementSource) {
	if leaving {
		g.Balancer.ObserveLeaving(time.Now(), target, source)
	}
	if pause > 0 {
		g.Balancer.ObservePause(time.Now(), target, pause, source)
	}
	g.LogAvailabilityChanges()
}

// LogAvailabilityChanges logs the changes of targets' availability since the last
// call.
func (g *Gateway) LogAvailabilityChanges() {
	for _, c := range g.Balancer.AvailabilityChanges() {
		g.events.Emit(events.TargetAvailability, log.Fields{"target": c.Target, "leaving": c.Leaving, "paused": c.Paused, "forMs": c.For.Milliseconds(), "source": c.Source})
	}
}

// readLoad returns the load that a response states, and logs its invalid figures.
func (g *Gateway) readLoad(target *steering.Target, header http.Header) balance.TargetLoad {
	load, invalid := g.Headers.Load(header)
	for _, figure := range invalid {
		g.logInvalidStatement("load: "+figure, target)
	}
	return load
}

// logInvalidStatement logs that a target has made a statement that cannot be
// believed, once for each kind of statement and target.
func (g *Gateway) logInvalidStatement(statement string, target *steering.Target) {
	if g.invalidStatements.add(statement + " " + target.ID) {
		g.events.Emit(events.InvalidStatement, log.Fields{"statement": statement, "target": target.ID})
	}
}

// LogLimitChanges logs the changes of targets' limits since the last call.
func (g *Gateway) LogLimitChanges() {
	for _, c := range g.Balancer.LimitChanges() {
		g.events.Emit(events.TargetLimit, log.Fields{"target": c.Target, "limited": c.Active, "perSecond": c.PerSecond, "source": c.Source, "owner": c.Owner})
	}
}

// LogCapacityChanges logs the notable changes of targets' learned limits since the
// last call.
func (g *Gateway) LogCapacityChanges() {
	for _, c := range g.Balancer.CapacityChanges() {
		g.events.Emit(events.TargetCapacity, log.Fields{"target": c.Target, "slots": c.Slots, "limit": hundredths(c.Limit), "previous": hundredths(c.Previous),
			"slowness": hundredths(c.Slowness), "responses": hundredths(c.Weight)})
	}
}

func hundredths(v float64) float64 { return math.Round(v*100) / 100 }

// nameSet is a set of a limited number of names.
type nameSet struct {
	limit int
	mu    sync.Mutex
	names map[string]bool
}

// add adds a name. It reports whether the name is new and the set was not full.
func (set *nameSet) add(name string) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.names[name] || len(set.names) >= set.limit {
		return false
	}
	if set.names == nil {
		set.names = map[string]bool{}
	}
	set.names[name] = true
	return true
}
