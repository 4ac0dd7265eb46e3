package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/forward"
)

const (
	probeTimeout = time.Second
	probePath    = "/-/health"
)

// prober sends health probes to targets that are down, at most one at a time to
// each.
type prober struct {
	mu        sync.Mutex
	running   map[string]bool
	probe     func(target string) bool
	onSuccess func(target string)
}

// start starts a probe unless one is in progress.
func (p *prober) start(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[target] {
		return
	}
	p.running[target] = true
	go p.run(target)
}

func (p *prober) run(target string) {
	ok := p.probe(target)
	p.mu.Lock()
	delete(p.running, target)
	p.mu.Unlock()
	if ok {
		p.onSuccess(target)
	}
}

// probeTarget reports whether a target's health endpoint responds. The health
// that the response states is ignored: it can be late or wrong, and the target
// starts with a single slot.
func (inst *Instance) probeTarget(name string) bool {
	document := inst.document.Load()
	if document == nil {
		return false
	}
	for _, target := range document.Targets {
		if target.Name != name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		forwardTarget := forward.Target{Address: target.Address, MaxConnections: target.Connections}
		response, err := inst.forwarder.Do(ctx, forwardTarget, &forward.Request{Method: "GET", URI: probePath})
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.Status < 500
	}
	return false
}
