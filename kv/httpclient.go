package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// maxHeadBytes is the size limit of the head of a response.
	maxHeadBytes = 64 << 10
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
	// MaxTime is the time limit of a read whose response keeps arriving. Timeout
	// then applies to a response that has not begun, that arrives too slowly or
	// that stops arriving. 0 means Timeout.
	MaxTime time.Duration
	// Received is called with the headers of the response, whatever its status,
	// before its body is read. It may be nil.
	Received func(header func(name string) string)
}

func (c *Call) received(header func(name string) string) {
	if c.Received != nil {
		c.Received(header)
	}
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
	base string
	// reads uses the standard library because the other client has one time
	// limit for a whole response and does not end a call with its context.
	reads         *http.Client
	writes        *client.Client
	errorByStatus map[int]error
}

// NewHTTPClient returns a client for an address of the form ip:port.
// errorByStatus maps HTTP statuses to error kinds, nil for success. After any
// other status, the outcome of the call is unknown.
func NewHTTPClient(address string, errorByStatus map[int]error) (*HTTPClient, error) {
	// Writes use no persistent connections: the HTTP library silently retries a
	// write when a persistent connection is closed without a response. If the
	// first attempt of a compare-and-swap had taken effect, the retry would
	// report a conflict.
	writes, err := client.NewClient(client.WithDialTimeout(dialTimeout), client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(maxConnections), client.WithKeepAlive(false),
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maxResponseBytes }})
	if err != nil {
		return nil, fmt.Errorf("key-value client: %w", err)
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxConnsPerHost: maxConnections,
		MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: maxIdleTime, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	reads := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return &HTTPClient{base: "http://" + address, reads: reads, writes: writes, errorByStatus: errorByStatus}, nil
}

// Do makes a call and decodes the response into dest, unless dest is nil. Errors
// are of type *Error.
func (c *HTTPClient) Do(ctx context.Context, call Call, dest any) error {
	send := c.read
	if call.isWrite() {
		send = c.write
	}
	status, body, err := send(ctx, call)
	if err != nil {
		return &Error{Op: call.Op, Key: call.Key, Kind: TransportErrorKind(err, call.unknownOutcome()), Cause: err}
	}
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
	if err := json.Unmarshal(body, dest); err != nil {
		return &Error{Op: call.Op, Key: call.Key, Kind: call.unknownOutcome(), Cause: err}
	}
	return nil
}

func (c *HTTPClient) uri(call Call) string {
	if call.Query == nil {
		return c.base + call.Path
	}
	return c.base + call.Path + "?" + call.Query.Encode()
}

// write makes a call that may modify data. It returns the status and body of the
// response.
func (c *HTTPClient) write(ctx context.Context, call Call) (int, []byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(call.Method)
	req.SetRequestURI(c.uri(call))
	if call.JSON {
		req.Header.SetContentTypeBytes([]byte("application/json"))
	}
	if call.Body != nil {
		req.SetBody(call.Body)
	}
	err := c.writes.DoTimeout(ctx, req, resp, call.Timeout)
	if errors.Is(err, hertzerrors.ErrBodyTooLarge) {
		return 0, nil, ErrResponseTooLarge
	}
	if err != nil {
		return 0, nil, err
	}
	call.received(resp.Header.Get)
	return resp.StatusCode(), bytes.Clone(resp.Body()), nil
}

// read makes a call that doesn't modify data. It returns the status and body of
// the response.
func (c *HTTPClient) read(ctx context.Context, call Call) (int, []byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limits := newReadLimits(call, time.Now())
	timer := time.AfterFunc(call.Timeout, func() { cancel(errTimeLimit) })
	defer timer.Stop()
	status, body, err := c.readResponse(ctx, call, func(received int) {
		now := time.Now()
		timer.Reset(limits.deadline(now, received).Sub(now))
		reportProgress(ctx)
	})
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	if errors.Is(err, errTimeLimit) {
		c.reads.CloseIdleConnections() // They may be silent too.
	}
	if err != nil && len(body) > 0 {
		err = &IncompleteError{Received: len(body), Cause: err}
	}
	return status, body, err
}

// readResponse makes a call that doesn't modify data. It reports the number of
// received bytes of the body after each part.
func (c *HTTPClient) readResponse(ctx context.Context, call Call, received func(int)) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.uri(call), nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.reads.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // The body is complete, or its error is returned.
	call.received(resp.Header.Get)
	if resp.ContentLength > maxResponseBytes {
		return 0, nil, ErrResponseTooLarge
	}
	var body bytes.Buffer
	part := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(part)
		body.Write(part[:n])
		switch {
		case body.Len() > maxResponseBytes:
			return 0, nil, ErrResponseTooLarge
		case errors.Is(err, io.EOF):
			return resp.StatusCode, body.Bytes(), nil
		case err != nil:
			return 0, body.Bytes(), err
		}
		received(body.Len())
	}
}
