package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// Callers of an account ask three instances for several times its limit. Guards
// against instances of which each keeps the limit alone, that do not read it, or
// whose messages do not carry the accounts' rates.
func TestQuotaHoldsForAllInstancesTogether(t *testing.T) {
	const (
		limit  = 20.0
		burst  = 10.0
		window = 5 * time.Second
	)
	d := newDeployment(t)
	for i, domain := range []string{"a1", "a1", "b1"} {
		d.startNode(fmt.Sprint("n", i), domain)
	}
	for _, n := range d.nodes {
		eventually(t, "serves", func() bool { return n.serves("/app/x") })
	}
	config := wiresite.Config(2, "s", wiresite.Route{Segment: "app", Idempotent: true, Timeout: 2 * time.Second})
	d.store.Put(wiresite.ConfigKey, wiresite.WithAccounts(config, wiresite.Account{Name: "a", Keys: []string{"k"}, RatePerS: limit, Burst: burst}))
	for _, n := range d.nodes {
		eventually(t, "asks for a key", func() bool { return !n.serves("/app/x") })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	var served []time.Time
	for _, n := range d.nodes {
		callers.Go(func() {
			for ctx.Err() == nil {
				sent := time.Now()
				status := n.requestWithKey("k")
				mu.Lock()
				statuses[status]++
				if status == http.StatusOK {
					served = append(served, sent)
				}
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	most := 0
	for _, from := range served {
		count := 0
		for _, at := range served {
			if since := at.Sub(from); since >= 0 && since < window {
				count++
			}
		}
		most = max(most, count)
	}
	t.Logf("%v, at most %d in a window", statuses, most)
	assert.LessOrEqual(t, float64(most), (limit*window.Seconds()+burst)*1.1+20)
	assert.Greater(t, len(served), 100, "most of the limit is used in 10 s")
	assert.Greater(t, statuses[http.StatusTooManyRequests], 0)
	assert.Len(t, statuses, 2, "no other responses: %v", statuses)
}

func (n *runningNode) requestWithKey(key string) int {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, "http://"+n.settings.CallerAddress+"/app/x", nil)
	if err != nil {
		return 0
	}
	request.Host = wiresite.Host
	request.Header.Set(platform.HeaderKey, key)
	request.Header.Set(platform.HeaderRequestID, fmt.Sprint("r", nextRequestID.Add(1)))
	request.Header.Set(platform.HeaderDeadline, "2000")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
