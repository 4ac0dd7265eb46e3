package kv

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"sync/atomic"
	"time"
)

// callTimeout is the longest wait for an answer, beyond the time that a watch
// asks for.
const callTimeout = 2 * time.Second

// Client talks to the platform at one address. Failed calls return *Error.
type Client struct {
	http     *HTTPClient
	counters counters
}

// errorByStatus are the errors that statuses stand for. Status 503 says that the
// call had no effect.
var errorByStatus = map[int]error{200: nil, 404: ErrNotFound, 409: ErrConflict, 429: ErrRateLimited, 503: ErrUnavailable}

var (
	_ KV             = (*Client)(nil)
	_ Leases         = (*Client)(nil)
	_ InstanceLister = (*Client)(nil)
)

// NewClient returns a client for the platform at an ip:port address.
func NewClient(address string) (*Client, error) {
	caller, err := NewHTTPClient(address, errorByStatus)
	if err != nil {
		return nil, err
	}
	return &Client{http: caller}, nil
}

// Counts returns the calls made so far.
func (c *Client) Counts() CallCounts { return c.counters.snapshot() }

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var v Value
	err := c.call(ctx, Call{Op: "get", Key: key, Method: "GET", Path: "/v1/kv", Query: url.Values{"key": {key}},
		Timeout: callTimeout}, &c.counters.reads, &v)
	return v, err
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{"key": {key}, "after": {fmt.Sprint(after)}, "waitMs": {fmt.Sprint(wait.Milliseconds())}}
	var v Value
	err := c.call(ctx, Call{Op: "watch", Key: key, Method: "GET", Path: "/v1/watch", Query: query,
		Timeout: wait + callTimeout}, &c.counters.watches, &v)
	return v, err
}

// Put implements KV.
func (c *Client) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	query := url.Values{"key": {key}, "revision": {fmt.Sprint(revision)}}
	var v Value
	err := c.call(ctx, Call{Op: "put", Key: key, Method: "PUT", Path: "/v1/kv", Query: query, Body: data,
		Timeout: callTimeout}, &c.counters.writes, &v)
	return v.Revision, err
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
	err := c.call(ctx, Call{Op: op, Key: name, Method: "POST", Path: "/v1/lease/" + op, Query: query,
		Timeout: callTimeout}, &c.counters.leases, &l)
	return l, err
}

// call makes a call and counts it.
func (c *Client) call(ctx context.Context, r Call, count *atomic.Uint64, into any) error {
	count.Add(1)
	err := c.http.Do(ctx, r, into)
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) {
		c.counters.failed.Add(1)
	}
	return err
}
