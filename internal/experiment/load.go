package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/caller"
	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	workerCount          = 8
	workerPause          = 10 * time.Millisecond
	maxRequestsPerWorker = 3000 // Bound of the requests of one worker.
	requestTimeout       = 5 * time.Second
	// resendEvery is the interval, in requests, at which a request that was
	// answered is sent again through another instance.
	resendEvery = 10
)

// loadGenerator sends requests from several callers and keeps what they were told.
type loadGenerator struct {
	deployment *deployment
	seed       uint64

	mu       sync.Mutex
	outcomes []RequestOutcome
}

func (l *loadGenerator) appendOutcome(a RequestOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, a)
}

func (r *deployment) callerAddresses() []string {
	var list []string
	for _, n := range r.plan.instances {
		list = append(list, n.settings.CallerAddress)
	}
	return list
}

// sendAll sends until ctx ends. Requests that are under way are finished.
func (l *loadGenerator) sendAll(ctx context.Context) error {
	var wait sync.WaitGroup
	for i := range workerCount {
		// The callers spread over the client blocks of both failure domains.
		c, err := caller.New(caller.Options{Bootstrap: l.deployment.callerAddresses(), Address: fmt.Sprintf("10.%d.0.%d", i%2, i+1)})
		if err != nil {
			return err
		}
		random := rand.New(rand.NewPCG(l.seed, uint64(i)))
		wait.Go(func() { l.runWorker(ctx, c, i, random) })
	}
	wait.Wait()
	return nil
}

func (l *loadGenerator) runWorker(ctx context.Context, c *caller.Client, worker int, random *rand.Rand) {
	for n := 0; n < maxRequestsPerWorker && ctx.Err() == nil; n++ {
		body := fmt.Sprintf("%d-%d", worker, n)
		if n%2 == 0 {
			l.recordOutcome(c.Do(context.Background(), caller.Request{Method: "GET", Path: "/catalogue/" + body, Idempotent: true, Timeout: requestTimeout}))
		} else {
			a := l.recordOutcome(c.Do(context.Background(), caller.Request{Method: "POST", Path: "/enrolment/x", Body: []byte(body), Timeout: requestTimeout}))
			// A request that was not executed may be executed by a resend, so that
			// its answer would seem wrong.
			if a.Key != "" && (a.Executed == outcome.Unknown || a.Executed == outcome.Yes && n%resendEvery == 1) {
				l.resend(a.Key, body, random)
			}
		}
		time.Sleep(workerPause)
	}
}

func (l *loadGenerator) recordOutcome(r caller.Response, err error) RequestOutcome {
	a := RequestOutcome{Key: r.IdempotencyKey, Executed: r.Executed, Reason: r.Reason, BrokenAttempts: r.BrokenAttempts}
	if err != nil {
		a.Executed, a.Reason = outcome.No, outcome.ReasonNoResponse
	}
	l.appendOutcome(a)
	return a
}

// resend sends a request again with its key through a random instance.
func (l *loadGenerator) resend(key, body string, random *rand.Rand) {
	addresses := l.deployment.callerAddresses()
	address := addresses[random.IntN(len(addresses))]
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/enrolment/x", strings.NewReader(body))
	if err != nil {
		return
	}
	r.Close = true
	r.Header.Set(outcome.HeaderIdempotencyKey, key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return // The instance may be down; the request is compared by its key.
	}
	_ = answer.Body.Close()
	l.appendOutcome(RequestOutcome{Key: key, Resent: true, Executed: outcome.ParseExecuted(answer.Header.Get(outcome.HeaderExecuted)),
		Reason: outcome.Reason(answer.Header.Get(outcome.HeaderReason))})
}
