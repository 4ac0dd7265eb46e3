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
	workers        = 8
	workerPause    = 10 * time.Millisecond
	maxPerWorker   = 3000 // Bound of the requests of one worker.
	requestTimeout = 5 * time.Second
	// resendEvery is the interval, in requests, at which a request that was
	// answered is sent again through another instance.
	resendEvery = 10
)

// load sends requests from several callers and keeps what they were told.
type load struct {
	run  *running
	seed uint64

	mu      sync.Mutex
	answers []Answer
}

func (l *load) add(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

func (r *running) callerAddresses() []string {
	var list []string
	for _, n := range r.plan.instances {
		list = append(list, n.settings.CallerAddress)
	}
	return list
}

// sendAll sends until ctx ends. Requests that are under way are finished.
func (l *load) sendAll(ctx context.Context) error {
	var wait sync.WaitGroup
	for i := range workers {
		// The callers spread over the client blocks of both failure domains.
		c, err := caller.New(caller.Options{Bootstrap: l.run.callerAddresses(), Address: fmt.Sprintf("10.%d.0.%d", i%2, i+1)})
		if err != nil {
			return err
		}
		random := rand.New(rand.NewPCG(l.seed, uint64(i)))
		wait.Go(func() { l.work(ctx, c, i, random) })
	}
	wait.Wait()
	return nil
}

func (l *load) work(ctx context.Context, c *caller.Client, worker int, random *rand.Rand) {
	for n := 0; n < maxPerWorker && ctx.Err() == nil; n++ {
		body := fmt.Sprintf("%d-%d", worker, n)
		if n%2 == 0 {
			l.record(c.Do(context.Background(), caller.Request{Method: "GET", Path: "/catalogue/" + body, Idempotent: true, Timeout: requestTimeout}))
		} else {
			a := l.record(c.Do(context.Background(), caller.Request{Method: "POST", Path: "/enrolment/x", Body: []byte(body), Timeout: requestTimeout}))
			// A request that was not executed may be executed by a resend, so that
			// its answer would seem wrong.
			if a.Key != "" && (a.Executed == outcome.Unknown || a.Executed == outcome.Yes && n%resendEvery == 1) {
				l.resend(a.Key, body, random)
			}
		}
		time.Sleep(workerPause)
	}
}

func (l *load) record(r caller.Response, err error) Answer {
	a := Answer{Key: r.IdempotencyKey, Executed: r.Executed, Reason: r.Reason, Broken: r.BrokenAttempts}
	if err != nil {
		a.Executed, a.Reason = outcome.No, outcome.ReasonNoResponse
	}
	l.add(a)
	return a
}

// resend sends a request again with its key through a random instance.
func (l *load) resend(key, body string, random *rand.Rand) {
	addresses := l.run.callerAddresses()
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
	l.add(Answer{Key: key, Resent: true, Executed: outcome.ParseExecuted(answer.Header.Get(outcome.HeaderExecuted)),
		Reason: outcome.Reason(answer.Header.Get(outcome.HeaderReason))})
}
