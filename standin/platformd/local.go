package platformd

import (
	"context"
	"time"

	"github.com/jacinthstall/jacinthstall/kv"
)

// Local is a client of a store in the same process. Calls have the faults of
// the store and end with their context; a write whose context ends may still
// take effect.
type Local struct {
	Store *Store
}

var _ kv.KV = Local{}

// Get implements kv.KV.
func (l Local) Get(ctx context.Context, key string) (kv.Value, error) {
	return callWithContext(ctx, kv.ErrUnavailable, func() (kv.Value, error) { return l.Store.Get(key) })
}

// Put implements kv.KV.
func (l Local) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	return callWithContext(ctx, kv.ErrUncertain, func() (uint64, error) { return l.Store.Put(key, data, revision) })
}

// Watch implements kv.KV.
func (l Local) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (kv.Value, error) {
	return callWithContext(ctx, kv.ErrUnavailable, func() (kv.Value, error) { return l.Store.Watch(key, after, wait) })
}

func callWithContext[T any](ctx context.Context, onEnd error, do func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		value, err := do()
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, onEnd
	}
}
