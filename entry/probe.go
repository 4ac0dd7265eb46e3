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

// prober checks targets that are down, one probe of a target at a time.
type prober struct {
	mu        sync.Mutex
	running   map[string]bool
	probe     func(target string) bool
	onSuccess func(target string)
}

// start begins a probe unless one is under way.
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

// probeTarget reports whether a target answers its health endpoint. What the
// answer says does not matter: health can lag or be wrong, and the target
// starts with one slot.
func (in *Instance) probeTarget(name string) bool {
	d := in.document.Load()
	if d == nil {
		return false
	}
	for _, t := range d.Targets {
		if t.Name != name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		to := forward.Target{Address: t.Address, MaxConnections: t.Connections}
		answer, err := in.forwarder.Do(ctx, to, &forward.Request{Method: "GET", URI: probePath})
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.Status < 500
	}
	return false
}
