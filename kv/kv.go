// Package kv is the product's own interface to a key-value service, with a client: a key-value
// service with compare-and-swap, watches and leases, and the list of instances.
//
// The protocol is JSON over HTTP. Values hold at most MaxValueBytes. A write
// whose answer is lost returns ErrUncertain: it may have taken effect.
package kv

import (
	"context"
	"errors"
	"net"
	"time"
)

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Errors of the platform.
var (
	ErrNotFound    = errors.New("platform: key not found")
	ErrConflict    = errors.New("platform: revision conflict")
	ErrUnavailable = errors.New("platform: unavailable")
	ErrUncertain   = errors.New("platform: write outcome unknown")
	ErrRateLimited = errors.New("platform: rate limited")
)

// Error reports a failed call. It wraps one of the errors above.
type Error struct {
	Op    string // For example "put".
	Key   string // Key or lease of the call; empty for the list.
	Kind  error  // One of the errors above.
	Cause error  // Underlying failure; nil when the platform answered.
}

// Error returns the operation, key and kind, and the cause when there is one.
func (e *Error) Error() string {
	text := e.Op + " " + e.Key + ": " + e.Kind.Error()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// TransportErrorKind returns the kind of a call without an answer; lost is that of a
// call that may have been carried out. A call whose connection was never made
// had no effect.
func TransportErrorKind(err, lost error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return lost
}

// Unwrap returns the kind, so that errors.Is works with the errors above.
func (e *Error) Unwrap() error { return e.Kind }

// Lease is a lease that the platform granted.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"` // Rises with every grant.
	TTLMs  int64  `json:"ttlMs"` // Validity in milliseconds from the platform's answer.
}

// Leases is the platform's lease service. A holder that was paused may have
// lost its lease without noticing.
type Leases interface {
	// Acquire takes the lease called name for ttl, or returns ErrConflict
	// while another holder has it.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Renew extends a lease by ttl, or returns ErrConflict when it is lost.
	Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
	// Release ends a lease, or returns ErrConflict when it is lost.
	Release(ctx context.Context, lease Lease) error
}

// Value is a stored value with its revision. Revisions start at 1.
type Value struct {
	Data     []byte `json:"data"`
	Revision uint64 `json:"revision"`
}

// InstanceState is the platform's word on an instance.
type InstanceState string

// States in the platform's list of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceGone    InstanceState = "gone"
)

// Instance is an entry of the platform's list.
type Instance struct {
	Name          string        `json:"name"`
	Region        string        `json:"region"`
	Domain        string        `json:"domain"`
	PeerAddress   string        `json:"peerAddress"`
	CallerAddress string        `json:"callerAddress"`
	State         InstanceState `json:"state"`
}

// KV is the platform's key-value service.
type KV interface {
	// Get returns the value of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Value, error)
	// Put stores data if the key has the given revision (0: the key does not
	// exist) and returns the new revision, else ErrConflict.
	Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error)
	// Watch waits until the revision of key is above after, at most wait, and
	// returns the current value, or ErrNotFound when there is none by then.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// InstanceLister returns the platform's list of instances, which lags.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
}
