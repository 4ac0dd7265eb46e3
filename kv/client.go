package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	dialTimeout = 500 * time.Millisecond
	callTimeout = 2 * time.Second
)

// Client talks to the platform at one address. Failed calls return *Error.
type Client struct {
	base     string
	reads    *client.Client
	writes   *client.Client
	counters counters
}

var (
	_ KV     = (*Client)(nil)
	_ Leases = (*Client)(nil)
	_ Lister = (*Client)(nil)
)

// NewClient returns a client for the platform at an ip:port address.
func NewClient(address string) (*Client, error) {
	options := []config.ClientOption{client.WithDialTimeout(dialTimeout), client.WithDialer(standard.NewDialer())}
	reads, err := client.NewClient(options...)
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}
	// The HTTP client repeats a PUT itself when a kept connection ends without
	// a response. A repeated compare-and-swap whose first attempt took effect
	// would then be reported as a conflict, so writes keep no connections.
	writes, err := client.NewClient(append(options, client.WithKeepAlive(false))...)
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}
	return &Client{base: "http://" + address, reads: reads, writes: writes}, nil
}

// Counts returns the calls made so far.
func (c *Client) Counts() Counts { return c.counters.counts() }

// request describes one call.
type request struct {
	op, key string
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
	count   *atomic.Uint64
	lost    error // Kind of a call whose answer is missing.
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var v Value
	err := c.call(ctx, request{op: "get", key: key, method: "GET", path: "/v1/kv", query: url.Values{"key": {key}},
		timeout: callTimeout, count: &c.counters.reads, lost: ErrUnavailable}, &v)
	return v, err
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{"key": {key}, "after": {fmt.Sprint(after)}, "waitMs": {fmt.Sprint(wait.Milliseconds())}}
	var v Value
	err := c.call(ctx, request{op: "watch", key: key, method: "GET", path: "/v1/watch", query: query,
		timeout: wait + callTimeout, count: &c.counters.watches, lost: ErrUnavailable}, &v)
	return v, err
}

// Put implements KV.
func (c *Client) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	query := url.Values{"key": {key}, "revision": {fmt.Sprint(revision)}}
	var v Value
	err := c.call(ctx, request{op: "put", key: key, method: "PUT", path: "/v1/kv", query: query, body: data,
		timeout: callTimeout, count: &c.counters.writes, lost: ErrUncertain}, &v)
	return v.Revision, err
}

// Instances implements Lister.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.call(ctx, request{op: "list instances", method: "GET", path: "/v1/instances",
		timeout: callTimeout, count: &c.counters.lists, lost: ErrUnavailable}, &list)
	return list, err
}

// Acquire implements Leases.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	query := url.Values{"name": {name}, "holder": {holder}, "ttlMs": {fmt.Sprint(ttl.Milliseconds())}}
	return c.lease(ctx, "acquire", name, query)
}

// Renew implements Leases.
func (c *Client) Renew(ctx context.Context, l Lease, ttl time.Duration) (Lease, error) {
	query := url.Values{"name": {l.Name}, "token": {fmt.Sprint(l.Token)}, "ttlMs": {fmt.Sprint(ttl.Milliseconds())}}
	return c.lease(ctx, "renew", l.Name, query)
}

// Release implements Leases.
func (c *Client) Release(ctx context.Context, l Lease) error {
	_, err := c.lease(ctx, "release", l.Name, url.Values{"name": {l.Name}, "token": {fmt.Sprint(l.Token)}})
	return err
}

func (c *Client) lease(ctx context.Context, op, name string, query url.Values) (Lease, error) {
	var l Lease
	err := c.call(ctx, request{op: op, key: name, method: "POST", path: "/v1/lease/" + op, query: query,
		timeout: callTimeout, count: &c.counters.leases, lost: ErrUncertain}, &l)
	return l, err
}

// call sends a request and decodes its answer.
func (c *Client) call(ctx context.Context, r request, into any) error {
	r.count.Add(1)
	err := c.exchange(ctx, r, into)
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) {
		c.counters.failed.Add(1)
	}
	return err
}

func (c *Client) exchange(ctx context.Context, r request, into any) error {
	status, body, err := c.do(ctx, r)
	if err != nil {
		return &Error{Op: r.op, Key: r.key, Kind: KindOfFailure(err, r.lost), Cause: err}
	}
	if kind := statusKind(status); kind != nil {
		return &Error{Op: r.op, Key: r.key, Kind: kind}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &Error{Op: r.op, Key: r.key, Kind: r.lost, Cause: err}
	}
	return nil
}

func (c *Client) do(ctx context.Context, r request) (int, []byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(r.method)
	req.SetRequestURI(c.base + r.path + "?" + r.query.Encode())
	if r.body != nil {
		req.SetBody(r.body)
	}
	http := c.reads
	if r.method != "GET" {
		http = c.writes
	}
	if err := http.DoTimeout(ctx, req, resp, r.timeout); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// statusKind maps a status to an error. Status 503 says that the call had no effect.
func statusKind(status int) error {
	switch status {
	case 200:
		return nil
	case 404:
		return ErrNotFound
	case 409:
		return ErrConflict
	case 429:
		return ErrRateLimited
	default:
		return ErrUnavailable
	}
}
