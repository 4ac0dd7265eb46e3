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
	// MaxAttempts is the maximum number of attempts to send a request.
	MaxAttempts = 4

	lookupTimeout   = 2 * time.Second
	dialTimeout     = 500 * time.Millisecond
	maxConnsPerHost = 512
)

// ErrNoInstance is returned if no entry instance responded to a look-up.
var ErrNoInstance = errors.New("caller: no entry instance responded to the look-up")

// Options configures a Client.
type Options struct {
	// Bootstrap lists the caller addresses (ip:port) of the entry instances to
	// which the first look-up is sent.
	Bootstrap []string
	// Address is the caller's IP address, which look-ups contain.
	Address string
}

// Request is a request to a service.
type Request struct {
	Method     string
	Path       string // Includes the query.
	Body       []byte
	Idempotent bool
	Timeout    time.Duration // Time limit for all attempts together.
	Header     map[string]string
}

// Response is the response to a request, or the reason why there is none.
type Response struct {
	outcome.Outcome
	Instance       string // Entry instance that responded; empty if none did.
	Body           []byte
	Attempts       int
	BrokenAttempts int    // Attempts that failed after a connection was established.
	IdempotencyKey string // Empty for idempotent requests.
}

// instance is an entry instance in a look-up response.
type instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// lookupResponse is an entry instance's response to a look-up.
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
	cachedLookup lookupResponse // Empty before the first look-up.
}

// New returns a Client. It fails if there is no bootstrap address.
func New(options Options) (*Client, error) {
	if len(options.Bootstrap) == 0 {
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
	return &Client{options: options, httpClient: c, startNanos: time.Now().UnixNano()}, nil
}

// Do sends a request until an instance returns a definite response, MaxAttempts
// attempts have been made or the time limit has passed. It returns ErrNoInstance
// if there is no look-up response to start with; all other failures are described
// by the Response.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	lookup, err := c.currentLookup(ctx)
	if err != nil {
		return Response{}, err
	}
	if !request.Idempotent {
		lookup = lookup.issuerFirst()
	}
	response := Response{Outcome: outcome.Outcome{Executed: outcome.No}}
	if !request.Idempotent {
		response.IdempotencyKey = c.newIdempotencyKey(lookup)
	}
	anyUnknown := false
	triedAddresses := map[string]bool{}
	for range MaxAttempts {
		if ctx.Err() != nil {
			break
		}
		chosen := chooseInstance(lookup, triedAddresses)
		triedAddresses[chosen.Address] = true
		response.Attempts++
		definite := c.sendAttempt(ctx, chosen, request, &response)
		anyUnknown = anyUnknown || response.Executed == outcome.Unknown
		if definite {
			return response, nil
		}
		if refreshed, err := c.refreshLookup(ctx); err == nil {
			lookup = refreshed
		}
	}
	if anyUnknown && response.Executed == outcome.No {
		// The last attempt was refused, but an earlier one may have been executed.
		response.Executed = outcome.Unknown
	}
	return response, nil
}

// chooseInstance returns the first instance in order of preference that has not
// been tried, or the first one if all have been tried.
func chooseInstance(lookup lookupResponse, triedAddresses map[string]bool) instance {
	for _, candidate := range lookup.Instances {
		if !triedAddresses[candidate.Address] {
			return candidate
		}
	}
	return lookup.Instances[0]
}

// issuerFirst moves the instance that issued the key prefix to the front, because
// the other instances forward requests with these keys to it.
func (lookup lookupResponse) issuerFirst() lookupResponse {
	name, _, _ := strings.Cut(lookup.KeyPrefix, ".")
	issuer := slices.IndexFunc(lookup.Instances, func(candidate instance) bool { return candidate.Name == name })
	if issuer > 0 {
		ordered := []instance{lookup.Instances[issuer]}
		ordered = append(ordered, lookup.Instances[:issuer]...)
		lookup.Instances = append(ordered, lookup.Instances[issuer+1:]...)
	}
	return lookup
}

func (c *Client) newIdempotencyKey(lookup lookupResponse) string {
	sequence := strconv.FormatUint(c.sequence.Add(1), 36)
	return lookup.KeyPrefix + "." + strconv.FormatInt(c.startNanos, 36) + "-" + sequence
}

// sendAttempt makes one attempt, writes its result to response and reports whether
// the result is definite.
func (c *Client) sendAttempt(ctx context.Context, to instance, request Request, response *Response) bool {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	req.SetMethod(request.Method)
	req.SetRequestURI("http://" + to.Address + request.Path)
	req.SetBody(request.Body)
	req.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	for name, value := range request.Header {
		req.Header.Set(name, value)
	}
	if response.IdempotencyKey != "" {
		req.Header.Set(outcome.HeaderIdempotencyKey, response.IdempotencyKey)
	}
	if err := c.httpClient.DoTimeout(ctx, req, resp, remaining); err != nil {
		response.Outcome = outcome.Outcome{Reason: outcome.ReasonNoResponse, Executed: outcome.Unknown}
		if isDialError(err) {
			response.Executed = outcome.No
		} else {
			response.BrokenAttempts++
		}
		return false
	}
	header := func(name string) string { return string(resp.Header.Peek(name)) }
	response.Outcome = outcome.Outcome{
		Status:   resp.StatusCode(),
		Reason:   outcome.Reason(header(outcome.HeaderReason)),
		Executed: outcome.Executed(header(outcome.HeaderExecuted)),
		Target:   header(outcome.HeaderTarget),
	}
	response.Instance = header(outcome.HeaderInstance)
	response.Body = append([]byte(nil), resp.Body()...)
	return response.Executed == outcome.Yes || !retryable(response.Reason)
}

// isDialError reports whether an attempt failed before a connection was
// established, so that the request was not sent.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// retryable reports whether a retry at another instance may succeed.
func retryable(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonStopping, outcome.ReasonNoConfig, outcome.ReasonRelayFailed,
		outcome.ReasonIssuerGone, outcome.ReasonNoTarget, outcome.ReasonNoResponse:
		return true
	}
	return false
}

// currentLookup returns the cached look-up response, or a new one if the cached
// one has expired.
func (c *Client) currentLookup(ctx context.Context) (lookupResponse, error) {
	c.mu.Lock()
	cached := c.cachedLookup
	c.mu.Unlock()
	if len(cached.Instances) > 0 && time.Now().Before(cached.expiresAt) {
		return cached, nil
	}
	return c.refreshLookup(ctx)
}

// refreshLookup sends a look-up to the known instances and then to the bootstrap
// addresses until one responds, and caches the response.
func (c *Client) refreshLookup(ctx context.Context) (lookupResponse, error) {
	c.mu.Lock()
	cached := c.cachedLookup
	c.mu.Unlock()
	var addresses []string
	for _, known := range cached.Instances {
		addresses = append(addresses, known.Address)
	}
	for _, address := range append(addresses, c.options.Bootstrap...) {
		if response, err := c.requestLookup(ctx, address); err == nil {
			c.mu.Lock()
			c.cachedLookup = response
			c.mu.Unlock()
			if cached.hasInstanceMissingFrom(response) {
				// The HTTP client does not notice that a pooled connection was closed.
				c.httpClient.CloseIdleConnections()
			}
			return response, nil
		}
	}
	return lookupResponse{}, ErrNoInstance
}

// hasInstanceMissingFrom reports whether another response lacks an instance of this
// one, which may have ended and may start again at its address.
func (lookup lookupResponse) hasInstanceMissingFrom(other lookupResponse) bool {
	return slices.ContainsFunc(lookup.Instances, func(known instance) bool { return !slices.Contains(other.Instances, known) })
}

// requestLookup sends a look-up to one address.
func (c *Client) requestLookup(ctx context.Context, address string) (lookupResponse, error) {
	url := "http://" + address + "/-/lookup?caller=" + c.options.Address
	sentAt := time.Now()
	status, body, err := c.httpClient.GetTimeout(ctx, nil, url, lookupTimeout)
	if err != nil {
		return lookupResponse{}, err
	}
	if status != 200 {
		return lookupResponse{}, fmt.Errorf("caller: look-up at %s: status %d", address, status)
	}
	var response lookupResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return lookupResponse{}, err
	}
	if len(response.Instances) == 0 {
		return lookupResponse{}, ErrNoInstance
	}
	response.expiresAt = sentAt.Add(time.Duration(response.TTLMs) * time.Millisecond)
	return response, nil
}
