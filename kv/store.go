package kv

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone reports a watch from a revision that the store has dropped.
var ErrHistoryGone = errors.New("store: history is no longer available")

// Item is a key with its value at a revision. Deleted items have no value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// LeaseID names a lease of a Store.
type LeaseID uint64

// Store is a key-value service with one revision counter for all keys.
//
// Errors are of type *Error with one of the kinds of this package. A write
// that fails with ErrUncertain may take effect, also seconds later.
type Store interface {
	// Range returns the items under a prefix in the order of their keys, and a
	// revision from which they can be watched. Items may be newer than it.
	Range(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits until items under a prefix have changed after a revision,
	// but not longer than wait. It returns the changes in their order and the
	// revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// GrantLease creates a lease that lasts ttl from now, unless it is extended.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease. It fails with ErrNotFound when the lease has ended.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease; the keys bound to it are removed.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Swap writes a key that was last changed at a revision; 0 means that it does
	// not exist. It fails with ErrConflict when the key is at another revision.
	Swap(ctx context.Context, key string, value []byte, revision uint64) error
	// Put writes a key that is bound to a lease.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
}
