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
	workerPause          = 10 * time.Millisecond // Between two requests of a worker.
	maxRequestsPerWorker = 3000
	requestTimeout       = 5 * time.Second
	// resendEvery is the interval, in requests of a worker, at which a request that
	// a target has executed is sent again through a random instance.
	resendEvery = 10
)

// loadGenerator sends requests from several callers and records the outcomes.
type loadGenerator struct {
	deployment *deployment
	seed       uint64

	mu       sync.Mutex
	outcomes []RequestOutcome
}

func (generator *loadGenerator) appendOutcome(requestOutcome RequestOutcome) {
	generator.mu.Lock()
	defer generator.mu.Unlock()
	generator.outcomes = append(generator.outcomes, requestOutcome)
}

func (deployment *deployment) callerAddresses() []string {
	var addresses []string
	for _, instance := range deployment.plan.instances {
		addresses = append(addresses, instance.settings.CallerAddress)
	}
	return addresses
}

// sendAll sends requests until ctx ends or each worker has sent
// maxRequestsPerWorker. Requests in flight are completed.
func (generator *loadGenerator) sendAll(ctx context.Context) error {
	var running sync.WaitGroup
	for worker := range workerCount {
		// The addresses of the callers alternate between the client blocks of two failure domains.
		client, err := caller.New(caller.Options{Bootstrap: generator.deployment.callerAddresses(),
			Address: fmt.Sprintf("10.%d.0.%d", worker%2, worker+1)})
		if err != nil {
			return err
		}
		random := rand.New(rand.NewPCG(generator.seed, uint64(worker)))
		running.Go(func() { generator.runWorker(ctx, client, worker, random) })
	}
	running.Wait()
	return nil
}

// runWorker alternates between idempotent requests and requests with an
// idempotency key. It resends each of the latter whose execution is unknown.
func (generator *loadGenerator) runWorker(ctx context.Context, client *caller.Client, worker int, random *rand.Rand) {
	for n := 0; n < maxRequestsPerWorker && ctx.Err() == nil; n++ {
		body := fmt.Sprintf("%d-%d", worker, n)
		if n%2 == 0 {
			generator.recordOutcome(client.Do(context.Background(), caller.Request{
				Method: "GET", Path: "/catalogue/" + body, Idempotent: true, Timeout: requestTimeout}))
		} else {
			requestOutcome := generator.recordOutcome(client.Do(context.Background(), caller.Request{
				Method: "POST", Path: "/enrolment/x", Body: []byte(body), Timeout: requestTimeout}))
			// A request that was reported as not executed is not resent: the resend could
			// execute it, and the first response would be counted as a violation.
			if requestOutcome.Key != "" && (requestOutcome.Executed == outcome.Unknown ||
				requestOutcome.Executed == outcome.Yes && n%resendEvery == 1) {
				generator.resend(requestOutcome.Key, body, random)
			}
		}
		time.Sleep(workerPause)
	}
}

// recordOutcome records the result of Client.Do. An error means that no request
// was sent.
func (generator *loadGenerator) recordOutcome(response caller.Response, err error) RequestOutcome {
	requestOutcome := RequestOutcome{Key: response.IdempotencyKey, Executed: response.Executed, Reason: response.Reason, BrokenAttempts: response.BrokenAttempts}
	if err != nil {
		requestOutcome.Executed, requestOutcome.Reason = outcome.No, outcome.ReasonNoResponse
	}
	generator.appendOutcome(requestOutcome)
	return requestOutcome
}

// resend sends a request again, with the same idempotency key, through a random instance.
func (generator *loadGenerator) resend(key, body string, random *rand.Rand) {
	addresses := generator.deployment.callerAddresses()
	address := addresses[random.IntN(len(addresses))]
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/enrolment/x", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Close = true
	request.Header.Set(outcome.HeaderIdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // The instance may be down. The first request is still verified by its key.
	}
	_ = response.Body.Close()
	generator.appendOutcome(RequestOutcome{Key: key, Resent: true, Executed: outcome.ParseExecuted(response.Header.Get(outcome.HeaderExecuted)),
		Reason: outcome.Reason(response.Header.Get(outcome.HeaderReason))})
}
