package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	// dialTimeout is several times the round trip between the farthest regions.
	dialTimeout = 500 * time.Millisecond
	// maxConnections leaves room for one watch for each key that an instance
	// watches, and for concurrent calls while the service is slow.
	maxConnections = 64
	// maxIdleTime is shorter than the usual idle timeout of servers.
	maxIdleTime = 5 * time.Second
	// maxResponseBytes is the size limit of a response. A page of a store has
	// some 1 MB; all registrations of a large deployment take some 4 MB.
	maxResponseBytes = 8 << 20
)

// ErrResponseTooLarge is the cause of the error of a call whose response is
// larger than the client accepts.
var ErrResponseTooLarge = fmt.Errorf("response has more than %d bytes", maxResponseBytes)

// Call is one HTTP call of a key-value service. Responses are JSON.
type Call struct {
	Op, Key string // For error messages.
	Method  string
	Path    string
	Query   url.Values
	Body    []byte
	JSON    bool // Body is JSON.
	Timeout time.Duration
}

// isWrite reports whether the call may modify data.
func (c *Call) isWrite() bool { return c.Method != "GET" }

// unknownOutcome returns the error kind of a call that may have been executed.
func (c *Call) unknownOutcome() error {
	if c.isWrite() {
		return ErrUncertain
	}
	return ErrUnavailable
}

// HTTPClient calls a key-value service over HTTP. It is safe for concurrent use.
type HTTPClient struct {
	base          string
	reads         *client.Client
	writes        *client.Client
	errorByStatus map[int]error
}

// NewHTTPClient returns a client for an address of the form ip:port.
// errorByStatus maps HTTP statuses to error kinds, nil for success. After any
// other status, the outcome of the call is unknown.
func NewHTTPClient(address string, errorByStatus map[int]error) (*HTTPClient, error) {
	options := []config.ClientOption{client.WithDialTimeout(dialTimeout), client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(maxConnections), client.WithMaxIdleConnDuration(maxIdleTime),
		{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maxResponseBytes }}}
	reads, err := client.NewClient(options...)
	if err != nil {
		return nil, fmt.Errorf("key-value client: %w", err)
	}
	// Writes use no persistent connections: the HTTP library silently retries a
	// write when a persistent connection is closed without a response. If the
	// first attempt of a compare-and-swap had taken effect, the retry would
	// report a conflict.
	writes, err := client.NewClient(append(options, client.WithKeepAlive(false))...)
	if err != nil {
		return nil, fmt.Errorf("key-value client: %w", err)
	}
	return &HTTPClient{base: "http://" + address, reads: reads, writes: writes, errorByStatus: errorByStatus}, nil
}

// Do makes a call and decodes the response into dest, unless dest is nil. Errors
// are of type *Error.
func (c *HTTPClient) Do(ctx context.Context, call Call, dest any) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	err := c.roundTrip(ctx, call, req, resp)
	if errors.Is(err, hertzerrors.ErrBodyTooLarge) {
		return &Error{Op: call.Op, Key: call.Key, Kind: call.unknownOutcome(), Cause: ErrResponseTooLarge}
	}
	if err != nil {
		return &Error{Op: call.Op, Key: call.Key, Kind: TransportErrorKind(err, call.unknownOutcome()), Cause: err}
	}
	status := resp.StatusCode()
	kind, known := c.errorByStatus[status]
	if !known {
		kind = call.unknownOutcome()
	}
	if kind != nil {
		return &Error{Op: call.Op, Key: call.Key, Kind: kind, Cause: fmt.Errorf("status %d", status)}
	}
	if dest == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), dest); err != nil {
		return &Error{Op: call.Op, Key: call.Key, Kind: call.unknownOutcome(), Cause: err}
	}
	return nil
}

func (c *HTTPClient) roundTrip(ctx context.Context, call Call, req *protocol.Request, resp *protocol.Response) error {
	req.SetMethod(call.Method)
	uri := c.base + call.Path
	if call.Query != nil {
		uri += "?" + call.Query.Encode()
	}
	req.SetRequestURI(uri)
	if call.JSON {
		req.Header.SetContentTypeBytes([]byte("application/json"))
	}
	if call.Body != nil {
		req.SetBody(call.Body)
	}
	httpClient := c.reads
	if call.isWrite() {
		httpClient = c.writes
	}
	return httpClient.DoTimeout(ctx, req, resp, call.Timeout)
}
