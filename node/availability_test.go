package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/metastore"
)

// startLoad starts instances in three failure domains and callers that ask each of
// them for the same objects. The returned function ends the callers and returns
// the number of responses by status.
func startLoad(t *testing.T, d *deployment) (stop func() map[int]int) {
	t.Helper()
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
		for first := range 2 {
			callers.Go(func() {
				for k := i + 12*first; ctx.Err() == nil; k++ {
					status, _ := n.requestObject(fmt.Sprint("o", k%24), "/app/x")
					mu.Lock()
					statuses[status]++
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Second)
	return func() map[int]int {
		cancel()
		callers.Wait()
		return statuses
	}
}

// A target states in its responses that it is leaving, while its record says that
// it is ready. The store goes down in the second case. Guards against instances
// that go on sending requests to it.
func TestTargetThatStatesItIsLeavingGetsNoRequests(t *testing.T) {
	const reaction = 1500 * time.Millisecond // The deployment allows 2.5 s.
	for name, storeDown := range map[string]bool{"store reachable": false, "store down": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			stop := startLoad(t, d)
			leaving := d.targets["t0"]
			assert.NotZero(t, len(leaving.Arrivals()))
			if storeDown {
				d.store.SetFaults(metastore.Faults{Down: true})
			}
			stated := time.Now()
			leaving.SetLeaving(true)
			time.Sleep(5 * time.Second)
			statuses := stop()
			assert.Zero(t, len(leaving.ArrivalsAfter(stated.Add(reaction))))
			assert.Len(t, statuses, 1, "other targets serve the requests: %v", statuses)
		})
	}
}

// A target rejects requests with status 503 and asks for a pause. Guards against
// instances that go on sending requests to it, and against instances that never
// return.
func TestTargetThatAsksForPauseGetsNoRequests(t *testing.T) {
	const (
		pause    = 4 * time.Second
		reaction = time.Second // In which each instance is told, and half a second more.
		after    = 5 * time.Second
	)
	d := newDeployment(t)
	stop := startLoad(t, d)
	paused := d.targets["t0"]
	start := time.Now()
	paused.Pause(pause)
	time.Sleep(pause)
	during := len(paused.ArrivalsAfter(start.Add(reaction)))
	time.Sleep(after)
	statuses := stop()
	assert.LessOrEqual(t, during, 2*len(d.nodes), "two requests for each instance are tolerated")
	assert.Greater(t, paused.MostArrivals(start.Add(pause), time.Second), 10, "the target is used again")
	assert.Len(t, statuses, 1, "other targets serve the requests: %v", statuses)
}

// All targets of the service ask for a pause. Guards against callers that wait
// or are told to come back too early.
func TestCallersAreRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	const pause = 3 * time.Second
	d := newDeployment(t)
	n := d.startNode("n0", "a1")
	eventually(t, "serves", func() bool { return n.serves("/app/x") })
	end := time.Now().Add(pause)
	for _, target := range d.targets {
		target.Pause(pause)
	}
	learned := func() bool {
		_, _, retryAfter := n.requestRetryAfter("/app/x")
		return retryAfter > time.Second
	}
	eventually(t, "the instance knows that all targets pause", learned)
	arrived := arrivals(d)
	for time.Now().Before(end.Add(-time.Second)) {
		status, took, retryAfter := n.requestRetryAfter("/app/x")
		assert.Equal(t, 503, status)
		assert.Less(t, took, 300*time.Millisecond)
		assert.GreaterOrEqual(t, retryAfter, time.Until(end))
		assert.Less(t, retryAfter, 2*pause)
		time.Sleep(50 * time.Millisecond)
	}
	assert.Equal(t, arrived, arrivals(d), "no request was sent to a target")
	eventually(t, "serves again", func() bool { return n.serves("/app/x") })
}

func arrivals(d *deployment) int {
	sum := 0
	for _, target := range d.targets {
		sum += len(target.Arrivals())
	}
	return sum
}

// requestRetryAfter sends a request on a new connection and returns the status, the
// time until the response and its Retry-After.
func (r *runningNode) requestRetryAfter(path string) (status int, took, retryAfter time.Duration) {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.settings.CallerAddress+path, http.NoBody)
	if err != nil {
		return 0, 0, 0
	}
	request.Host = "shop.example"
	request.Header.Set(platform.HeaderRequestID, fmt.Sprint("r", nextRequestID.Add(1)))
	request.Header.Set(platform.HeaderDeadline, "2000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, time.Since(sent), 0
	}
	_ = response.Body.Close()
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return response.StatusCode, time.Since(sent), time.Duration(seconds * float64(time.Second))
}
