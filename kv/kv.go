// Package kv defines the interfaces through which the product uses a key-value
// service, with compare-and-swap, watches, leases and a list of instances. It
// also provides an HTTP client of such a service.
//
// The protocol is JSON over HTTP. Values have at most MaxValueBytes. A write
// whose response is lost returns ErrUncertain: it may have taken effect.
package kv

import (
	"context"
	"errors"
	"net"
	"time"
)

// MaxValueBytes is the size limit of a value.
const MaxValueBytes = 1 << 20

// Kinds of errors of a key-value service.
var (
	ErrNotFound    = errors.New("platform: key not found")
	ErrConflict    = errors.New("platform: revision conflict")
	ErrUnavailable = errors.New("platform: unavailable")
	ErrUncertain   = errors.New("platform: write outcome unknown")
	ErrRateLimited = errors.New("platform: rate limited")
)

// Error describes a failed call. It wraps one of the kinds above.
type Error struct {
	Op    string // Operation, for example "put".
	Key   string // Key or lease of the call; empty when it concerns neither.
	Kind  error  // One of the kinds above.
	Cause error  // Underlying failure, if known.
}

// Error returns the operation, key, kind and, if known, cause of the failure.
func (e *Error) Error() string {
	text := e.Op + " " + e.Key + ": " + e.Kind.Error()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// TransportErrorKind returns the error kind of a call that got no response. If
// the connection could not be opened, the call had no effect and the kind is
// ErrUnavailable. Otherwise the call may have been executed and the kind is
// ifSent.
func TransportErrorKind(err, ifSent error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ifSent
}

// Unwrap returns the kind, so that errors.Is works with the kinds above.
func (e *Error) Unwrap() error { return e.Kind }

// Lease is a lease granted by the platform.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"` // Increases with every grant.
	TTLMs  int64  `json:"ttlMs"` // Validity in milliseconds from the time of the response.
}

// Leases is the platform's lease service. A holder whose process was suspended
// may have lost its lease without being notified.
type Leases interface {
	// Acquire acquires the named lease for ttl. It returns ErrConflict while
	// another holder has the lease.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Renew extends a lease by ttl. It returns ErrConflict when the lease is lost.
	Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
	// Release releases a lease. It returns ErrConflict when the lease is lost.
	Release(ctx context.Context, lease Lease) error
}

// Value is a stored value with its revision. Revisions start at 1.
type Value struct {
	Data     []byte `json:"data"`
	Revision uint64 `json:"revision"`
}

// InstanceState is the state of an instance according to the platform.
type InstanceState string

// States in the platform's list of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceGone    InstanceState = "gone"
)

// Instance is an entry of the platform's list of instances.
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
	// exist) and returns the new revision. Otherwise it returns ErrConflict.
	Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error)
	// Watch waits for a revision of key that is greater than after, for at most
	// wait. It returns the value at that time, or ErrNotFound when the key does
	// not exist.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// InstanceLister returns the platform's list of instances, which may be out of
// date.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
}
