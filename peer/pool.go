// Package peer holds the client side of the service between entry instances.
// The messages and the service are in peerpb.
package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleTimeout         = 30 * time.Second
	maxIdleConns        = 256
	maxIdleConnsPerPeer = 16
)

// Pool keeps idle connections to other instances, by peer address (ip:port). It
// is safe for concurrent use.
type Pool struct {
	dial  DialFunc
	conns *drpcpool.Pool[string, *drpcconn.Conn]
}

// DialFunc opens a connection to a peer address (ip:port).
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns a pool without connections that dials over TCP.
func NewPool() *Pool {
	dialer := net.Dialer{Timeout: dialTimeout}
	return NewPoolWithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewPoolWithDial returns a pool without connections that dials with a function
// of the caller.
func NewPoolWithDial(dial DialFunc) *Pool {
	options := drpcpool.Options{Expiration: idleTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdleConnsPerPeer}
	return &Pool{dial: dial, conns: drpcpool.New[string, *drpcconn.Conn](options)}
}

// Client returns a client for an address. It connects with the first call.
func (p *Pool) Client(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(p.conns.Get(ctx, address, p.connect))
}

func (p *Pool) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// Dial connects to an instance for one call or stream. The caller closes the
// connection.
func (p *Pool) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	return p.connect(ctx, address)
}

// Close closes the idle connections.
func (p *Pool) Close() error { return p.conns.Close() }
