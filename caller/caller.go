package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	// MaxAttempts bounds how often one request is sent.
	MaxAttempts = 4

	lookupTimeout   = 2 * time.Second
	dialTimeout     = 500 * time.Millisecond
	maxConnsPerHost = 512
)

// ErrNoInstance means that no entry instance answered a look-up.
var ErrNoInstance = errors.New("caller: no entry instance answered the look-up")

// Options configure a Client.
type Options struct {
	// Bootstrap lists caller addresses (ip:port) of entry instances that are
	// asked first.
	Bootstrap []string
	// Address is the address of the caller for look-ups.
	Address string
}

// Request is one request. Path includes the query.
type Request struct {
	Method     string
	Path       string
	Body       []byte
	Idempotent bool
	Timeout    time.Duration // Time limit of all attempts together.
	Header     map[string]string
}

// Response is the answer to a request, or the reason why there is none.
type Response struct {
	outcome.Outcome
	Instance       string // Entry instance that answered; empty when none did.
	Body           []byte
	Attempts       int
	BrokenAttempts int    // Attempts whose connection broke; refused ones are not counted.
	IdempotencyKey string // Idempotency key; empty for idempotent requests.
}

type instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

type lookupResponse struct {
	Version   uint64     `json:"version"`
	TTLMs     int        `json:"ttlMs"`
	KeyPrefix string     `json:"keyPrefix"`
	Instances []instance `json:"instances"`
	expiresAt time.Time
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options    Options
	httpClient *client.Client
	sequence   atomic.Uint64
	startNanos int64

	mu           sync.Mutex
	cachedLookup lookupResponse
}

// New returns a Client. It fails when there is no bootstrap address.
func New(opts Options) (*Client, error) {
	if len(opts.Bootstrap) == 0 {
		return nil, errors.New("caller: no bootstrap address")
	}
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnsPerHost),
	)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	return &Client{options: opts, httpClient: c, startNanos: time.Now().UnixNano()}, nil
}

// Do sends a request until an instance gives a definite answer, the attempts
// are used up or the time limit passes. The error is ErrNoInstance or that of
// ctx; every other failure is told by the Response.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	known, err := c.currentLookup(ctx)
	if err != nil {
		return Response{}, err
	}
	if !r.Idempotent {
		known = known.issuerFirst()
	}
	out := Response{Outcome: outcome.Outcome{Executed: outcome.No}}
	if !r.Idempotent {
		out.IdempotencyKey = c.newIdempotencyKey(known)
	}
	sentUnknown := false
	tried := map[string]bool{}
	for range MaxAttempts {
		if ctx.Err() != nil {
			break
		}
		next := chooseInstance(known, tried)
		tried[next.Address] = true
		out.Attempts++
		definite := c.sendAttempt(ctx, next, r, &out)
		sentUnknown = sentUnknown || out.Executed == outcome.Unknown
		if definite {
			return out, nil
		}
		if refreshed, err := c.refreshLookup(ctx); err == nil {
			known = refreshed
		}
	}
	if sentUnknown && out.Executed == outcome.No {
		// A later refusal of this attempt says nothing about earlier ones.
		out.Executed = outcome.Unknown
	}
	return out, nil
}

// chooseInstance returns the preferred instance that was not tried yet, else the first.
func chooseInstance(known lookupResponse, tried map[string]bool) instance {
	for _, i := range known.Instances {
		if !tried[i.Address] {
			return i
		}
	}
	return known.Instances[0]
}

// issuerFirst puts the instance that issued the key prefix first, since others
// pass requests with such keys on to it.
func (a lookupResponse) issuerFirst() lookupResponse {
	name, _, _ := strings.Cut(a.KeyPrefix, ".")
	i := slices.IndexFunc(a.Instances, func(x instance) bool { return x.Name == name })
	if i > 0 {
		ordered := []instance{a.Instances[i]}
		ordered = append(ordered, a.Instances[:i]...)
		a.Instances = append(ordered, a.Instances[i+1:]...)
	}
	return a
}

func (c *Client) newIdempotencyKey(known lookupResponse) string {
	sequence := strconv.FormatUint(c.sequence.Add(1), 36)
	return known.KeyPrefix + "." + strconv.FormatInt(c.startNanos, 36) + "-" + sequence
}

// sendAttempt makes one attempt and reports whether its answer is definite.
func (c *Client) sendAttempt(ctx context.Context, to instance, r Request, out *Response) bool {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	req.SetMethod(r.Method)
	req.SetRequestURI("http://" + to.Address + r.Path)
	req.SetBody(r.Body)
	req.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	if out.IdempotencyKey != "" {
		req.Header.Set(outcome.HeaderIdempotencyKey, out.IdempotencyKey)
	}
	if err := c.httpClient.DoTimeout(ctx, req, resp, remaining); err != nil {
		out.Outcome = outcome.Outcome{Reason: outcome.ReasonNoResponse, Executed: outcome.Unknown}
		if isDialError(err) {
			out.Executed = outcome.No
		} else {
			out.BrokenAttempts++
		}
		return false
	}
	header := func(name string) string { return string(resp.Header.Peek(name)) }
	out.Outcome = outcome.Outcome{
		Status:   resp.StatusCode(),
		Reason:   outcome.Reason(header(outcome.HeaderReason)),
		Executed: outcome.Executed(header(outcome.HeaderExecuted)),
		Target:   header(outcome.HeaderTarget),
	}
	out.Instance = header(outcome.HeaderInstance)
	out.Body = append([]byte(nil), resp.Body()...)
	return out.Executed == outcome.Yes || !retryable(out.Reason)
}

// isDialError reports whether an attempt ended before there was a
// connection, so that the request was not sent.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// retryable reports whether another instance may give a better answer.
func retryable(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonStopping, outcome.ReasonNoConfig, outcome.ReasonRelayFailed,
		outcome.ReasonIssuerGone, outcome.ReasonNoTarget, outcome.ReasonNoResponse:
		return true
	}
	return false
}

func (c *Client) currentLookup(ctx context.Context) (lookupResponse, error) {
	c.mu.Lock()
	known := c.cachedLookup
	c.mu.Unlock()
	if len(known.Instances) > 0 && time.Now().Before(known.expiresAt) {
		return known, nil
	}
	return c.refreshLookup(ctx)
}

// refreshLookup asks the known instances, then the bootstrap addresses.
func (c *Client) refreshLookup(ctx context.Context) (lookupResponse, error) {
	c.mu.Lock()
	known := c.cachedLookup
	c.mu.Unlock()
	var addresses []string
	for _, i := range known.Instances {
		addresses = append(addresses, i.Address)
	}
	for _, address := range append(addresses, c.options.Bootstrap...) {
		if answer, err := c.requestLookup(ctx, address); err == nil {
			c.mu.Lock()
			c.cachedLookup = answer
			c.mu.Unlock()
			return answer, nil
		}
	}
	return lookupResponse{}, ErrNoInstance
}

func (c *Client) requestLookup(ctx context.Context, address string) (lookupResponse, error) {
	url := "http://" + address + "/-/lookup?caller=" + c.options.Address
	asked := time.Now()
	status, body, err := c.httpClient.GetTimeout(ctx, nil, url, lookupTimeout)
	if err != nil {
		return lookupResponse{}, err
	}
	if status != 200 {
		return lookupResponse{}, fmt.Errorf("caller: look-up at %s: status %d", address, status)
	}
	var answer lookupResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return lookupResponse{}, err
	}
	if len(answer.Instances) == 0 {
		return lookupResponse{}, ErrNoInstance
	}
	answer.expiresAt = asked.Add(time.Duration(answer.TTLMs) * time.Millisecond)
	return answer, nil
}
