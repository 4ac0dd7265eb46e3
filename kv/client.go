package kv

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"sync/atomic"
	"time"
)

// callTimeout is the time limit of a call. The wait time of a watch is added to
// it.
const callTimeout = 2 * time.Second

// Client is a client of the platform's key-value service. Errors are of type
// *Error.
type Client struct {
	http     *HTTPClient
	counters counters
}

// errorByStatus maps the HTTP statuses of the platform to errors, nil for success.
// Status 503 means that the call had no effect.
var errorByStatus = map[int]error{200: nil, 404: ErrNotFound, 409: ErrConflict, 429: ErrRateLimited, 503: ErrUnavailable}

var (
	_ KV             = (*Client)(nil)
	_ Leases         = (*Client)(nil)
	_ InstanceLister = (*Client)(nil)
)

// NewClient returns a client of the platform at an address of the form ip:port.
func NewClient(address string) (*Client, error) {
	httpClient, err := NewHTTPClient(address, errorByStatus)
	if err != nil {
		return nil, err
	}
	return &Client{http: httpClient}, nil
}

// Counts returns the numbers of calls made so far.
func (c *Client) Counts() CallCounts { return c.counters.snapshot() }

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var value Value
	err := c.call(ctx, Call{Op: "get", Key: key, Method: "GET", Path: "/v1/kv", Query: url.Values{"key": {key}},
		Timeout: callTimeout}, &c.counters.reads, &value)
	return value, err
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{"key": {key}, "after": {fmt.Sprint(after)}, "waitMs": {fmt.Sprint(wait.Milliseconds())}}
	var value Value
	err := c.call(ctx, Call{Op: "watch", Key: key, Method: "GET", Path: "/v1/watch", Query: query,
		Timeout: wait + callTimeout}, &c.counters.watches, &value)
	return value, err
}

// Put implements KV.
func (c *Client) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	query := url.Values{"key": {key}, "revision": {fmt.Sprint(revision)}}
	var value Value
	err := c.call(ctx, Call{Op: "put", Key: key, Method: "PUT", Path: "/v1/kv", Query: query, Body: data,
		Timeout: callTimeout}, &c.counters.writes, &value)
	return value.Revision, err
}

// Instances implements Lister.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.call(ctx, Call{Op: "list instances", Method: "GET", Path: "/v1/instances", Timeout: callTimeout}, &c.counters.lists, &list)
	return list, err
}

// Acquire implements Leases.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	query := url.Values{"name": {name}, "holder": {holder}, "ttlMs": {fmt.Sprint(ttl.Milliseconds())}}
	return c.lease(ctx, "acquire", name, query)
}

// Renew implements Leases.
func (c *Client) Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error) {
	query := url.Values{"name": {lease.Name}, "token": {fmt.Sprint(lease.Token)}, "ttlMs": {fmt.Sprint(ttl.Milliseconds())}}
	return c.lease(ctx, "renew", lease.Name, query)
}

// Release implements Leases.
func (c *Client) Release(ctx context.Context, lease Lease) error {
	_, err := c.lease(ctx, "release", lease.Name, url.Values{"name": {lease.Name}, "token": {fmt.Sprint(lease.Token)}})
	return err
}

func (c *Client) lease(ctx context.Context, op, name string, query url.Values) (Lease, error) {
	var lease Lease
	err := c.call(ctx, Call{Op: op, Key: name, Method: "POST", Path: "/v1/lease/" + op, Query: query,
		Timeout: callTimeout}, &c.counters.leases, &lease)
	return lease, err
}

// call makes a call and counts it in counter and, if it has no definite result, as
// failed.
func (c *Client) call(ctx context.Context, call Call, counter *atomic.Uint64, dest any) error {
	counter.Add(1)
	err := c.http.Do(ctx, call, dest)
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) {
		c.counters.failed.Add(1)
	}
	return err
}
