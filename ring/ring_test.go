package ring_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/ring"
)

func TestTryPushRefusesWhenFull(t *testing.T) {
	r := ring.New[int](2)
	assert.True(t, r.TryPush(1))
	assert.True(t, r.TryPush(2))
	assert.False(t, r.TryPush(3))
	v, ok := r.Pop(context.Background())
	assert.True(t, ok)
	assert.Equal(t, 1, v)
	assert.True(t, r.TryPush(3))
}

func TestPopReturnsQueuedItemsAfterClose(t *testing.T) {
	r := ring.New[int](2)
	r.TryPush(1)
	r.Close()
	assert.False(t, r.TryPush(2))
	_, ok := r.Pop(context.Background())
	assert.True(t, ok)
	_, ok = r.Pop(context.Background())
	assert.False(t, ok)
}

// Guards against a lost wake-up, which would leave a consumer waiting while
// items are queued.
func TestConcurrentProducersAndConsumersLoseNothing(t *testing.T) {
	const producers, consumers, each = 4, 4, 2000
	r := ring.New[int](8)
	var sum, got atomic.Int64
	var consumed, produced sync.WaitGroup
	for range consumers {
		consumed.Go(func() {
			for {
				v, ok := r.Pop(context.Background())
				if !ok {
					return
				}
				sum.Add(int64(v))
				got.Add(1)
			}
		})
	}
	for range producers {
		produced.Go(func() {
			for i := 1; i <= each; i++ {
				r.Push(context.Background(), i)
			}
		})
	}
	produced.Wait()
	r.Close()
	consumed.Wait()
	assert.EqualValues(t, producers*each, got.Load())
	assert.EqualValues(t, producers*each*(each+1)/2, sum.Load())
}

// Guards against a stop that hangs: a producer that waits for room must return
// when the ring closes or its context ends.
func TestPushEndsWithCloseAndContext(t *testing.T) {
	r := ring.New[int](1)
	require.True(t, r.Push(context.Background(), 1))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.False(t, r.Push(ctx, 2))

	var producers sync.WaitGroup
	for range 3 {
		producers.Go(func() { assert.False(t, r.Push(context.Background(), 3)) })
	}
	r.Close()
	producers.Wait()
}
