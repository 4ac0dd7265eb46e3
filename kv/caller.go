package kv

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	// dialTimeout covers a round trip between the farthest regions several times.
	dialTimeout = 500 * time.Millisecond
	// maxConnections covers a watch of each of the keys that an instance follows,
	// and calls that overlap while the service is slow.
	maxConnections = 64
	// maxIdleTime is shorter than the time after which servers usually close.
	maxIdleTime = 5 * time.Second
)

// Call describes one call of a key-value service over HTTP with JSON answers.
type Call struct {
	Op, Key string // For errors.
	Method  string
	Path    string
	Query   url.Values
	Body    []byte
	JSON    bool // The body is JSON.
	Timeout time.Duration
}

// isWrite reports whether the call may change something.
func (c *Call) isWrite() bool { return c.Method != "GET" }

// unknownOutcome is the kind of error of a call whose outcome is not known.
func (c *Call) unknownOutcome() error {
	if c.isWrite() {
		return ErrUncertain
	}
	return ErrUnavailable
}

// HTTPClient makes the calls of a key-value service. It is safe for concurrent use.
type HTTPClient struct {
	base          string
	reads         *client.Client
	writes        *client.Client
	errorByStatus map[int]error
}

// NewHTTPClient returns a caller for an ip:port address. Kinds are the errors that
// statuses stand for, nil for success. Other statuses tell nothing of what a
// call has done.
func NewHTTPClient(address string, kinds map[int]error) (*HTTPClient, error) {
	options := []config.ClientOption{client.WithDialTimeout(dialTimeout), client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(maxConnections), client.WithMaxIdleConnDuration(maxIdleTime)}
	reads, err := client.NewClient(options...)
	if err != nil {
		return nil, fmt.Errorf("key-value client: %w", err)
	}
	// The HTTP client repeats a write itself when a kept connection ends without
	// an answer. A repeated compare-and-swap whose first attempt took effect
	// would then be reported as a conflict, so writes keep no connections.
	writes, err := client.NewClient(append(options, client.WithKeepAlive(false))...)
	if err != nil {
		return nil, fmt.Errorf("key-value client: %w", err)
	}
	return &HTTPClient{base: "http://" + address, reads: reads, writes: writes, errorByStatus: kinds}, nil
}

// Do makes a call and decodes its answer, unless into is nil. The error is an
// *Error.
func (c *HTTPClient) Do(ctx context.Context, r Call, into any) error {
	status, body, err := c.roundTrip(ctx, r)
	if err != nil {
		return &Error{Op: r.Op, Key: r.Key, Kind: TransportErrorKind(err, r.unknownOutcome()), Cause: err}
	}
	kind, known := c.errorByStatus[status]
	if !known {
		kind = r.unknownOutcome()
	}
	if kind != nil {
		return &Error{Op: r.Op, Key: r.Key, Kind: kind, Cause: fmt.Errorf("status %d", status)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &Error{Op: r.Op, Key: r.Key, Kind: r.unknownOutcome(), Cause: err}
	}
	return nil
}

func (c *HTTPClient) roundTrip(ctx context.Context, r Call) (int, []byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(r.Method)
	uri := c.base + r.Path
	if r.Query != nil {
		uri += "?" + r.Query.Encode()
	}
	req.SetRequestURI(uri)
	if r.JSON {
		req.Header.SetContentTypeBytes([]byte("application/json"))
	}
	if r.Body != nil {
		req.SetBody(r.Body)
	}
	http := c.reads
	if r.isWrite() {
		http = c.writes
	}
	if err := http.DoTimeout(ctx, req, resp, r.Timeout); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
