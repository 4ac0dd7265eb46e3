package platformd

import (
	"context"
	"time"

	"github.com/jacinthstall/jacinthstall/kv"
)

// Local is a client of a store in the same process. The store injects its faults
// into the calls. A call returns when its context is done; a write may still take
// effect after that.
type Local struct {
	Store *Store
}

var _ kv.KV = Local{}

// Get implements kv.KV.
func (local Local) Get(ctx context.Context, key string) (kv.Value, error) {
	return callWithContext(ctx, kv.ErrUnavailable, func() (kv.Value, error) { return local.Store.Get(key) })
}

// Put implements kv.KV.
func (local Local) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	return callWithContext(ctx, kv.ErrUncertain, func() (uint64, error) { return local.Store.Put(key, data, revision) })
}

// Watch implements kv.KV.
func (local Local) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (kv.Value, error) {
	return callWithContext(ctx, kv.ErrUnavailable, func() (kv.Value, error) { return local.Store.Watch(key, after, wait) })
}

// callWithContext runs do and returns its result, or errOnDone if the context is
// done first. do continues in the background in that case.
func callWithContext[T any](ctx context.Context, errOnDone error, do func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	go func() {
		value, err := do()
		results <- result{value, err}
	}()
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, errOnDone
	}
}
