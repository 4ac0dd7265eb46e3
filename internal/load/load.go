// Package load generates a bounded load: it sends a limited number of requests
// through the entry instances and counts the outcomes.
package load

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthstall/jacinthstall/caller"
)

const (
	maxRequests    = 100000
	maxConcurrency = 256
	requestTimeout = 10 * time.Second
)

// Options configure a run.
type Options struct {
	Bootstrap     []string      // Addresses (ip:port) at which entry instances accept callers.
	CallerAddress string        // Address of the caller for look-ups.
	Requests      int           // Total number; at most maxRequests.
	Concurrency   int           // Maximum number in flight; at most maxConcurrency.
	ReadPath      string        // Path of idempotent requests.
	WritePath     string        // Path of non-idempotent requests.
	Timeout       time.Duration // Time limit of the run.
}

// Report counts the outcomes of a run.
type Report struct {
	Sent      int                     // Includes requests that failed with an error.
	Outcomes  map[string]int          // Keyed by "STATUS REASON executed=EXECUTED" or "error: TEXT".
	Instances map[string]int          // Responses by entry instance.
	Targets   map[string]int          // Responses by target.
	latency   *hdrhistogram.Histogram // In microseconds.
}

// String formats the report with one line for each outcome, instance and target.
func (report *Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "requests: %d, latency p50 %.1f ms, p99 %.1f ms\n", report.Sent,
		float64(report.latency.ValueAtQuantile(50))/1000, float64(report.latency.ValueAtQuantile(99))/1000)
	for _, section := range []struct {
		title  string
		counts map[string]int
	}{{"outcome", report.Outcomes}, {"instance", report.Instances}, {"target", report.Targets}} {
		keys := make([]string, 0, len(section.counts))
		for key := range section.counts {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for _, key := range keys {
			fmt.Fprintf(&text, "%s %s: %d\n", section.title, key, section.counts[key])
		}
	}
	return text.String()
}

// generator sends the requests of a run and collects the report.
type generator struct {
	options Options
	client  *caller.Client

	mu     sync.Mutex
	report Report
}

// Run sends the requests and returns the report. Every second request is
// non-idempotent and has a new idempotency key. When ctx or the time limit ends, Run
// returns the report of the requests sent so far.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Requests < 1 || options.Requests > maxRequests || options.Concurrency < 1 || options.Concurrency > maxConcurrency {
		return nil, fmt.Errorf("invalid load: requests must be 1 to %d and concurrency 1 to %d", maxRequests, maxConcurrency)
	}
	client, err := caller.New(caller.Options{Bootstrap: options.Bootstrap, Address: options.CallerAddress})
	if err != nil {
		return nil, err
	}
	generator := &generator{options: options, client: client, report: Report{
		Outcomes: map[string]int{}, Instances: map[string]int{}, Targets: map[string]int{},
		latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}}
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	generator.sendAll(ctx)
	return &generator.report, nil
}

// sendAll sends the requests from Options.Concurrency goroutines.
func (generator *generator) sendAll(ctx context.Context) {
	var sent atomic.Int64
	var workers sync.WaitGroup
	for range generator.options.Concurrency {
		workers.Go(func() {
			for ctx.Err() == nil {
				number := int(sent.Add(1))
				if number > generator.options.Requests {
					return
				}
				generator.send(ctx, number)
			}
		})
	}
	workers.Wait()
}

// send sends one request: an idempotent one if the number is odd.
func (generator *generator) send(ctx context.Context, number int) {
	request := caller.Request{Method: "GET", Path: generator.options.ReadPath, Idempotent: true, Timeout: requestTimeout}
	if number%2 == 0 {
		request = caller.Request{Method: "POST", Path: generator.options.WritePath, Timeout: requestTimeout}
		request.Body = fmt.Appendf(nil, `{"number":%d}`, number)
	}
	start := time.Now()
	response, err := generator.client.Do(ctx, request)
	generator.record(response, err, time.Since(start))
}

func (generator *generator) record(response caller.Response, err error, elapsed time.Duration) {
	generator.mu.Lock()
	defer generator.mu.Unlock()
	generator.report.Sent++
	if err != nil {
		generator.report.Outcomes["error: "+err.Error()]++
		return
	}
	generator.report.Outcomes[fmt.Sprintf("%d %s executed=%s", response.Status, response.Reason, response.Executed)]++
	generator.report.Instances[response.Instance]++
	generator.report.Targets[response.Target]++
	_ = generator.report.latency.RecordValue(elapsed.Microseconds())
}
