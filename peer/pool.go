// Package peer contains the client side of the service between entry instances.
// Package peerpb defines the messages and the service.
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

// Pool keeps idle connections to peers, by peer address (ip:port). It is safe for
// concurrent use.
type Pool struct {
	dial  DialFunc
	conns *drpcpool.Pool[string, *drpcconn.Conn]
}

// DialFunc opens a connection to a peer address (ip:port).
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool that opens TCP connections.
func NewPool() *Pool {
	dialer := net.Dialer{Timeout: dialTimeout}
	return NewPoolWithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewPoolWithDial returns an empty pool that opens connections by calling dial.
func NewPoolWithDial(dial DialFunc) *Pool {
	options := drpcpool.Options{Expiration: idleTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdleConnsPerPeer}
	return &Pool{dial: dial, conns: drpcpool.New[string, *drpcconn.Conn](options)}
}

// Client returns a client for an address. The connection is opened by the first
// call.
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

// Dial opens a connection to a peer for one call or stream. The caller must close
// the connection.
func (p *Pool) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	return p.connect(ctx, address)
}

// Close closes the idle connections.
func (p *Pool) Close() error { return p.conns.Close() }
