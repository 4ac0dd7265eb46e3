package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A target states that it takes 5 requests a second from all instances together,
// while callers of six instances ask for six times as many for its objects.
// Guards against instances that do not read the limit, or of which each keeps it
// alone.
func TestStatedRateLimitHoldsForAllInstancesTogether(t *testing.T) {
	const (
		limit     = 5.0
		window    = 4 * time.Second
		tolerated = 1.5*limit*4 + 5 // In each window, from reaction after the first statement.
		reaction  = 500 * time.Millisecond
		settled   = 3 * time.Second
		limitedTo = 12 * time.Second
	)
	d := newDeployment(t)
	for i, domain := range []string{"a1", "a1", "a2", "a2", "b1", "b1"} {
		d.startNode(fmt.Sprint("n", i), domain)
	}
	for _, n := range d.nodes {
		eventually(t, "serves", func() bool { return n.serves("/app/x") })
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i, n := range d.nodes {
		callers.Go(func() {
			for k := i; ctx.Err() == nil; k++ {
				status, _ := n.requestObject(fmt.Sprint("o", k%24), "/app/x")
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(75 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	limited := d.targets["t0"]
	stated := time.Now()
	limited.SetRateLimit(limit)
	time.Sleep(limitedTo)
	most, used := limited.MostArrivals(stated.Add(reaction), window), len(limited.ArrivalsAfter(stated.Add(settled)))
	cancel()
	callers.Wait()
	assert.LessOrEqual(t, float64(most), tolerated)
	assert.GreaterOrEqual(t, float64(used), 0.8*limit*(limitedTo-settled).Seconds(), "the target is used up to its limit")
	assert.Greater(t, statuses[200], 0)
	assert.Len(t, statuses, 1, "other targets serve what the limited one does not take: %v", statuses)
}
