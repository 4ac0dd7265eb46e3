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
	dialTimeout    = 500 * time.Millisecond
	idleExpiration = 30 * time.Second
	maxIdle        = 256
	maxIdlePerPeer = 16
)

// Pool keeps idle connections to other instances, by peer address (ip:port). It
// is safe for concurrent use.
type Pool struct {
	conns *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	options := drpcpool.Options{Expiration: idleExpiration, Capacity: maxIdle, KeyCapacity: maxIdlePerPeer}
	return &Pool{conns: drpcpool.New[string, *drpcconn.Conn](options)}
}

// Client returns a client for an address. It connects with the first call.
func (p *Pool) Client(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(p.conns.Get(ctx, address, dial))
}

func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// Dial connects to an instance for one call or stream. The caller closes the
// connection.
func Dial(ctx context.Context, address string) (*drpcconn.Conn, error) { return dial(ctx, address) }

// Close closes the idle connections.
func (p *Pool) Close() error { return p.conns.Close() }
