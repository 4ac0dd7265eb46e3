// Package load is a bounded caller: it sends requests through the entry
// instances and counts the outcomes.
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

// Options bound a run.
type Options struct {
	Bootstrap     []string // Caller addresses (ip:port) of entry instances.
	CallerAddress string   // Address of the caller for look-ups.
	Requests      int
	Concurrency   int
	ReadPath      string
	WritePath     string
	Timeout       time.Duration
}

// Report counts the outcomes of a run.
type Report struct {
	Sent      int
	Outcomes  map[string]int // By "status reason executed".
	Instances map[string]int // Answers by entry instance.
	Targets   map[string]int // Answers by target.
	latency   *hdrhistogram.Histogram
}

// String prints the report, one line for each outcome.
func (report *Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "requests: %d, latency p50 %.1f ms, p99 %.1f ms\n", report.Sent,
		float64(report.latency.ValueAtQuantile(50))/1000, float64(report.latency.ValueAtQuantile(99))/1000)
	for _, section := range []struct {
		title string
		count map[string]int
	}{{"outcome", report.Outcomes}, {"instance", report.Instances}, {"target", report.Targets}} {
		keys := make([]string, 0, len(section.count))
		for key := range section.count {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for _, key := range keys {
			fmt.Fprintf(&text, "%s %s: %d\n", section.title, key, section.count[key])
		}
	}
	return text.String()
}

type generator struct {
	options Options
	client  *caller.Client

	mu     sync.Mutex
	report Report
}

// Run sends the requests. Every second request is a non-idempotent one with a
// key of its own.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Requests < 1 || options.Requests > maxRequests || options.Concurrency < 1 || options.Concurrency > maxConcurrency {
		return nil, fmt.Errorf("requests must be 1 to %d and concurrency 1 to %d", maxRequests, maxConcurrency)
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
