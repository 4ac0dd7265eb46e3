package kv

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is returned for a watch from a revision that the store has
// compacted.
var ErrHistoryGone = errors.New("store: history is no longer available")

// ErrEraChanged is the cause of the error of a call whose revision or lease is of
// another era than the store.
var ErrEraChanged = errors.New("store: restored to an older state")

// Revision is a position in the history of a Store. The era rises when the store
// is restored to an older state. Numbers are then assigned again, so that those of
// different eras say nothing about each other. Stores that state no era are in
// era 0.
type Revision struct {
	Era    uint64
	Number uint64
}

// Compare returns -1, 0 or 1 if the revision is older than, equal to or newer
// than another one. Every revision of an era is newer than all of the eras before.
func (revision Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(revision.Era, other.Era), cmp.Compare(revision.Number, other.Number))
}

// After reports whether the revision is newer than another one.
func (revision Revision) After(other Revision) bool { return revision.Compare(other) > 0 }

// Item is a key with its value at a revision. Value is empty for deleted keys.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Era      uint64 // Era of the revision.
	Deleted  bool
	Fault    string // Why the item cannot be read, or "". Its other fields may be unset.
}

// Position returns the revision of the item with its era.
func (item Item) Position() Revision { return Revision{item.Era, item.Revision} }

// LeaseID identifies a lease of a Store. After a restore, its number may be that of
// another lease.
type LeaseID struct {
	Era    uint64
	Number uint64
}

// Store is a key-value service with a single revision counter for all keys.
//
// A revision or lease of an older era is never sent to the store. Errors are of type
// *Error with one of the kinds of this package. A write that fails with ErrUncertain
// may still take effect, even seconds later.
type Store interface {
	// Range returns the items with a key prefix, sorted by key, and the revision
	// from which to watch for further changes. Items may be newer than it.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes after a revision to items with a key prefix, for at
	// most wait. It returns the changes in order of revision, and the revision
	// from which to continue. It fails with ErrHistoryGone if the store is in a
	// newer era than the revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// GrantLease creates a lease that expires after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its ttl. It fails with ErrNotFound when the
	// lease has expired, was revoked or is of an older era.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Swap writes a key if its revision is the given one (number 0: the key does
	// not exist). Otherwise, and if the era is not that of the store, it fails with
	// ErrConflict.
	Swap(ctx context.Context, key string, value []byte, revision Revision) error
	// Put writes a key and attaches it to a lease (zero value: no lease). The key is
	// deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
	// Era returns the highest era that a response has stated, or 0.
	Era() uint64
}
