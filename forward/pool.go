package forward

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout     = 500 * time.Millisecond
	maxIdlePerHost  = 64
	maxIdleDuration = 5 * time.Second
)

// Target is where a request goes.
type Target struct {
	Address     string // ip:port.
	Connections int    // Bound of open connections; 0 means no bound.
	// DialTimeout bounds the opening of a connection; 0 means the default.
	DialTimeout time.Duration
	// Unanswered bounds how long sent bytes may stay unacknowledged before the
	// connection counts as lost; 0 means the system's own bound.
	Unanswered time.Duration
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// pool holds the connections to all targets.
type pool struct {
	dialer net.Dialer

	mu     sync.Mutex
	closed bool
	idle   map[string][]idleConn
	open   map[string]int // Idle ones included.
}

func newPool() *pool {
	return &pool{dialer: net.Dialer{Timeout: dialTimeout}, idle: map[string][]idleConn{}, open: map[string]int{}}
}

// take returns an idle connection or opens one within the target's bound.
func (p *pool) take(ctx context.Context, t Target) (*conn, error) {
	if c := p.takeIdle(t.Address); c != nil {
		return c, nil
	}
	if !p.reserve(t) {
		return nil, ErrConnectionLimit
	}
	raw, err := p.dial(ctx, t)
	if err != nil {
		p.unreserve(t.Address)
		return nil, err
	}
	return newConn(raw), nil
}

func (p *pool) dial(ctx context.Context, t Target) (*net.TCPConn, error) {
	dialer := p.dialer
	if t.DialTimeout > 0 {
		dialer.Timeout = t.DialTimeout
	}
	raw, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	c := raw.(*net.TCPConn)
	if t.Unanswered > 0 {
		if err := limitUnanswered(c, t.Unanswered); err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (p *pool) reserve(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Connections > 0 && p.open[t.Address] >= t.Connections {
		return false
	}
	p.open[t.Address]++
	return true
}

func (p *pool) unreserve(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *pool) takeIdle(address string) *conn {
	for {
		c, since := p.popIdle(address)
		if c == nil {
			return nil
		}
		if time.Since(since) < maxIdleDuration && c.quiet() {
			c.wrote.Store(false)
			return c
		}
		p.drop(address, c)
	}
}

func (p *pool) popIdle(address string) (*conn, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil, time.Time{}
	}
	last := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	if len(conns) == 1 {
		delete(p.idle, address)
	}
	return last.conn, last.since
}

// put keeps a connection for the next request.
func (p *pool) put(address string, c *conn) {
	p.mu.Lock()
	if !p.closed && len(p.idle[address]) < maxIdlePerHost {
		p.idle[address] = append(p.idle[address], idleConn{conn: c, since: time.Now()})
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.drop(address, c)
}

// drop closes a connection that was taken.
func (p *pool) drop(address string, c *conn) {
	_ = c.Close()
	p.unreserve(address)
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]idleConn{}
	p.mu.Unlock()
	for address, conns := range idle {
		for _, c := range conns {
			p.drop(address, c.conn)
		}
	}
}
