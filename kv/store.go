package kv

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is returned for a watch from a revision that the store has
// compacted.
var ErrHistoryGone = errors.New("store: history is no longer available")

// Item is a key with its value at a revision. Value is empty for deleted keys.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	Fault    string // Why the item cannot be read, or "". Its other fields may be unset.
}

// LeaseID identifies a lease of a Store.
type LeaseID uint64

// Store is a key-value service with a single revision counter for all keys.
//
// Errors are of type *Error with one of the kinds of this package. A write that
// fails with ErrUncertain may still take effect, even seconds later.
type Store interface {
	// Range returns the items with a key prefix, sorted by key, and the revision
	// from which to watch for further changes. Items may be newer than it.
	Range(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits for changes after a revision to items with a key prefix, for at
	// most wait. It returns the changes in order of revision, and the revision
	// from which to continue.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// GrantLease creates a lease that expires after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its ttl. It fails with ErrNotFound when the
	// lease has expired or was revoked.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Swap writes a key if its revision is the given one (0: the key does not
	// exist). Otherwise it fails with ErrConflict.
	Swap(ctx context.Context, key string, value []byte, revision uint64) error
	// Put writes a key and attaches it to a lease (0: no lease). The key is deleted
	// when the lease ends.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
}
