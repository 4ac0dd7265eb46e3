// Package load is a bounded caller: it looks up the entry instances, sends
// requests through them and counts the outcomes.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/jacinthstall/jacinthstall/entry"
	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	maxRequests    = 100000
	maxConcurrency = 256
	requestTimeout = 10 * time.Second
)

// Options bound a run.
type Options struct {
	Bootstrap   string // Caller address (ip:port) of any entry instance.
	Caller      string // Address of the caller for look-ups.
	Requests    int
	Concurrency int
	ReadPath    string
	WritePath   string
	Timeout     time.Duration
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

type runner struct {
	opts   Options
	http   *client.Client
	lookup entry.LookupAnswer

	mu     sync.Mutex
	report Report
}

// Run looks up the entry instances once and sends the requests. Every second
// request is a non-idempotent one with a key of its own.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Requests < 1 || o.Requests > maxRequests || o.Concurrency < 1 || o.Concurrency > maxConcurrency {
		return nil, fmt.Errorf("requests must be 1 to %d and concurrency 1 to %d", maxRequests, maxConcurrency)
	}
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithMaxConnsPerHost(maxConcurrency))
	if err != nil {
		return nil, err
	}
	r := &runner{opts: o, http: c, report: Report{
		Outcomes: map[string]int{}, Instances: map[string]int{}, Targets: map[string]int{},
		latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	if err := r.lookUp(ctx); err != nil {
		return nil, err
	}
	r.sendAll(ctx)
	return &r.report, nil
}

func (r *runner) lookUp(ctx context.Context) error {
	url := "http://" + r.opts.Bootstrap + "/-/lookup?caller=" + r.opts.Caller
	status, body, err := r.http.GetTimeout(ctx, nil, url, requestTimeout)
	if err != nil {
		return fmt.Errorf("look up entry instances: %w", err)
	}
	if status != 200 {
		return fmt.Errorf("look up entry instances: status %d: %s", status, body)
	}
	if err := json.Unmarshal(body, &r.lookup); err != nil {
		return fmt.Errorf("look up entry instances: %w", err)
	}
	if len(r.lookup.Instances) == 0 {
		return errors.New("look up entry instances: none available")
	}
	return nil
}

func (r *runner) sendAll(ctx context.Context) {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range r.opts.Concurrency {
		wait.Go(func() {
			for ctx.Err() == nil {
				n := int(next.Add(1))
				if n > r.opts.Requests {
					return
				}
				r.send(ctx, n)
			}
		})
	}
	wait.Wait()
}

func (r *runner) send(ctx context.Context, n int) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("GET")
	path := r.opts.ReadPath
	if n%2 == 0 {
		req.SetMethod("POST")
		path = r.opts.WritePath
		req.Header.Set(outcome.HeaderKey, fmt.Sprintf("%s.load-%d", r.lookup.KeyPrefix, n))
		req.SetBodyString(fmt.Sprintf(`{"number":%d}`, n))
	}
	req.SetRequestURI("http://" + r.lookup.Instances[0].Address + path)
	start := time.Now()
	err := r.http.DoTimeout(ctx, req, resp, requestTimeout)
	r.count(resp, err, time.Since(start))
}

func (r *runner) count(resp *protocol.Response, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	if err != nil {
		r.report.Outcomes["no answer: "+err.Error()]++
		return
	}
	header := func(name string) string { return string(resp.Header.Peek(name)) }
	key := fmt.Sprintf("%d %s executed=%s", resp.StatusCode(), header(outcome.HeaderReason), header(outcome.HeaderExecuted))
	r.report.Outcomes[key]++
	r.report.Instances[header(outcome.HeaderInstance)]++
	r.report.Targets[header(outcome.HeaderTarget)]++
	_ = r.report.latency.RecordValue(took.Microseconds())
}
