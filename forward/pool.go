package forward

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	maxIdlePerHost     = 64
	// defaultIdleTimeout is shorter than the idle timeout that targets usually
	// have.
	defaultIdleTimeout = 5 * time.Second
)

// Target is the destination of a request and the limits for connections to it.
type Target struct {
	Address        string // ip:port.
	MaxConnections int    // Limit on open connections; 0 means no limit.
	// DialTimeout limits the time for opening a connection; 0 means the default.
	DialTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails; 0 means the default of the operating system.
	AckTimeout time.Duration
	// MaxIdleTime is the longest idle time of a connection that this request may
	// reuse; 0 means the pool's idle timeout. A target may close an idle
	// connection at any time, and a request sent on it then has an unknown
	// outcome.
	MaxIdleTime time.Duration
}

type idleConn struct {
	conn      *conn
	idleSince time.Time
}

// pool manages the connections to all targets. All maps are keyed by address.
type pool struct {
	dialer      net.Dialer
	idleTimeout time.Duration // Idle connections are not used beyond this time.

	mu        sync.Mutex
	closed    bool
	idle      map[string][]idleConn // Ordered by idleSince, oldest first.
	openCount map[string]int        // Open and reserved connections, including idle ones.
}

func newPool(idleTimeout time.Duration) *pool {
	return &pool{dialer: net.Dialer{Timeout: defaultDialTimeout}, idleTimeout: idleTimeout, idle: map[string][]idleConn{}, openCount: map[string]int{}}
}

// acquire returns an idle connection on which no request with the ID was sent, or
// opens a new one within the target's connection limit.
func (p *pool) acquire(ctx context.Context, target Target, requestID string) (*conn, error) {
	maxIdle := p.idleTimeout
	if target.MaxIdleTime > 0 {
		maxIdle = min(maxIdle, target.MaxIdleTime)
	}
	if c := p.acquireIdle(target.Address, maxIdle, requestID); c != nil {
		return c, nil
	}
	return p.open(ctx, target)
}

// open opens a connection. When the connection limit is reached, it closes the
// oldest idle connection first.
func (p *pool) open(ctx context.Context, target Target) (*conn, error) {
	for !p.reserve(target) {
		oldest := p.popOldest(target.Address)
		if oldest == nil {
			return nil, ErrConnectionLimit
		}
		p.discard(target.Address, oldest)
	}
	raw, err := p.dial(ctx, target)
	if err != nil {
		p.unreserve(target.Address)
		return nil, err
	}
	return newConn(raw), nil
}

func (p *pool) dial(ctx context.Context, target Target) (*net.TCPConn, error) {
	dialer := p.dialer
	if target.DialTimeout > 0 {
		dialer.Timeout = target.DialTimeout
	}
	raw, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, err
	}
	c := raw.(*net.TCPConn)
	// Close resets the connection. What the network or the target's host has not
	// taken of a request is then discarded, not delivered later. See closeGracefully.
	if err := c.SetLinger(0); err != nil {
		_ = c.Close()
		return nil, err
	}
	if target.AckTimeout > 0 {
		if err := setUserTimeout(c, target.AckTimeout); err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (p *pool) reserve(target Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.MaxConnections > 0 && p.openCount[target.Address] >= target.MaxConnections {
		return false
	}
	p.openCount[target.Address]++
	return true
}

func (p *pool) unreserve(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[address]--; p.openCount[address] <= 0 {
		delete(p.openCount, address)
	}
}

// acquireIdle returns the most recently used idle connection on which no request
// with the ID was sent, or nil if it was idle for longer than maxIdle. Connections
// that it passes over stay in the pool for other requests.
func (p *pool) acquireIdle(address string, maxIdle time.Duration, requestID string) *conn {
	for {
		c := p.popNewest(address, time.Now().Add(-maxIdle), requestID)
		if c == nil {
			break
		}
		if c.isReusable() {
			c.writeStarted.Store(false)
			c.reused = true
			return c
		}
		p.discard(address, c)
	}
	for {
		c := p.popOldestBefore(address, time.Now().Add(-p.idleTimeout))
		if c == nil {
			return nil
		}
		p.discard(address, c)
	}
}

// popNewest removes the most recently used idle connection that may send a request
// with the ID from the pool. It returns nil if that connection has been idle since
// before the given time.
func (p *pool) popNewest(address string, after time.Time, requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0 && !conns[i].idleSince.Before(after); i-- {
		if conns[i].conn.maySend(requestID) {
			return p.popAt(address, i)
		}
	}
	return nil
}

// popOldestBefore removes the least recently used idle connection from the pool.
// It returns nil unless that connection has been idle since before the given
// time.
func (p *pool) popOldestBefore(address string, before time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 || !conns[0].idleSince.Before(before) {
		return nil
	}
	return p.popAt(address, 0)
}

// popOldest removes the least recently used idle connection from the pool.
func (p *pool) popOldest(address string) *conn {
	return p.popOldestBefore(address, time.Now().Add(time.Nanosecond))
}

func (p *pool) popAt(address string, i int) *conn {
	conns := p.idle[address]
	c := conns[i].conn
	p.idle[address] = slices.Delete(conns, i, i+1)
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	return c
}

// hasIdle reports whether an idle connection is within the idle timeout.
func (p *pool) hasIdle(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	return len(conns) > 0 && !conns[len(conns)-1].idleSince.Before(now.Add(-p.idleTimeout))
}

// closeIdle closes all idle connections to an address.
func (p *pool) closeIdle(address string) {
	for {
		c := p.popOldest(address)
		if c == nil {
			return
		}
		p.discard(address, c)
	}
}

// pruneIdle closes the idle connections that exceeded the idle timeout or are
// not reusable.
func (p *pool) pruneIdle(now time.Time) {
	p.mu.Lock()
	addresses := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, address := range addresses {
		p.pruneIdleTo(address, now)
	}
}

// pruneIdleTo is pruneIdle for the connections to one address.
func (p *pool) pruneIdleTo(address string, now time.Time) {
	for _, c := range p.popUnusable(address, now.Add(-p.idleTimeout)) {
		p.discard(address, c)
	}
}

// popUnusable removes from the pool the connections to an address that have
// been idle since before the given time or are not reusable.
func (p *pool) popUnusable(address string, before time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unusable []*conn
	p.idle[address] = slices.DeleteFunc(p.idle[address], func(c idleConn) bool {
		if !c.idleSince.Before(before) && c.conn.isReusable() {
			return false
		}
		unusable = append(unusable, c.conn)
		return true
	})
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	return unusable
}

// release returns a connection to the pool, or closes it when it has sent
// maxRequestIDs requests, or when the pool is closed or already holds
// maxIdlePerHost idle connections to the address.
func (p *pool) release(address string, c *conn) {
	p.mu.Lock()
	if !p.closed && len(c.requestIDs) < maxRequestIDs && len(p.idle[address]) < maxIdlePerHost {
		p.idle[address] = append(p.idle[address], idleConn{conn: c, idleSince: time.Now()})
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(address, c)
}

// discard closes a connection that is not in the pool's idle list. It is graceful
// unless the connection was closed before.
func (p *pool) discard(address string, c *conn) {
	c.closeGracefully()
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
			p.discard(address, c.conn)
		}
	}
}
