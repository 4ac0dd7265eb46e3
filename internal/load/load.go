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
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests: %d, latency p50 %.1f ms, p99 %.1f ms\n", r.Sent,
		float64(r.latency.ValueAtQuantile(50))/1000, float64(r.latency.ValueAtQuantile(99))/1000)
	for _, part := range []struct {
		title string
		count map[string]int
	}{{"outcome", r.Outcomes}, {"instance", r.Instances}, {"target", r.Targets}} {
		keys := make([]string, 0, len(part.count))
		for k := range part.count {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			fmt.Fprintf(&b, "%s %s: %d\n", part.title, k, part.count[k])
		}
	}
	return b.String()
}

type generator struct {
	options Options
	client  *caller.Client

	mu     sync.Mutex
	report Report
}

// Run sends the requests. Every second request is a non-idempotent one with a
// key of its own.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Requests < 1 || o.Requests > maxRequests || o.Concurrency < 1 || o.Concurrency > maxConcurrency {
		return nil, fmt.Errorf("requests must be 1 to %d and concurrency 1 to %d", maxRequests, maxConcurrency)
	}
	c, err := caller.New(caller.Options{Bootstrap: o.Bootstrap, Address: o.CallerAddress})
	if err != nil {
		return nil, err
	}
	r := &generator{options: o, client: c, report: Report{
		Outcomes: map[string]int{}, Instances: map[string]int{}, Targets: map[string]int{},
		latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	r.sendAll(ctx)
	return &r.report, nil
}

func (r *generator) sendAll(ctx context.Context) {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range r.options.Concurrency {
		wait.Go(func() {
			for ctx.Err() == nil {
				n := int(next.Add(1))
				if n > r.options.Requests {
					return
				}
				r.send(ctx, n)
			}
		})
	}
	wait.Wait()
}

func (r *generator) send(ctx context.Context, n int) {
	request := caller.Request{Method: "GET", Path: r.options.ReadPath, Idempotent: true, Timeout: requestTimeout}
	if n%2 == 0 {
		request = caller.Request{Method: "POST", Path: r.options.WritePath, Timeout: requestTimeout}
		request.Body = fmt.Appendf(nil, `{"number":%d}`, n)
	}
	start := time.Now()
	answer, err := r.client.Do(ctx, request)
	r.record(answer, err, time.Since(start))
}

func (r *generator) record(answer caller.Response, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	if err != nil {
		r.report.Outcomes["error: "+err.Error()]++
		return
	}
	r.report.Outcomes[fmt.Sprintf("%d %s executed=%s", answer.Status, answer.Reason, answer.Executed)]++
	r.report.Instances[answer.Instance]++
	r.report.Targets[answer.Target]++
	_ = r.report.latency.RecordValue(took.Microseconds())
}
