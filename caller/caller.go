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

	lookupTimeout = 2 * time.Second
	dialTimeout   = 500 * time.Millisecond
	maxConnsPer   = 512
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
	Instance string // Entry instance that answered; empty when none did.
	Body     []byte
	Attempts int
	Broken   int    // Attempts whose connection broke; refused ones are not counted.
	Key      string // Idempotency key; empty for idempotent requests.
}

type instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

type lookupAnswer struct {
	Version   uint64     `json:"version"`
	TTLMs     int        `json:"ttlMs"`
	KeyPrefix string     `json:"keyPrefix"`
	Instances []instance `json:"instances"`
	expires   time.Time
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	opts     Options
	http     *client.Client
	sequence atomic.Uint64
	started  int64

	mu     sync.Mutex
	lookup lookupAnswer
}

// New returns a Client. It fails when there is no bootstrap address.
func New(opts Options) (*Client, error) {
	if len(opts.Bootstrap) == 0 {
		return nil, errors.New("caller: no bootstrap address")
	}
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnsPer),
	)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	return &Client{opts: opts, http: c, started: time.Now().UnixNano()}, nil
}

// Do sends a request until an instance gives a definite answer, the attempts
// are used up or the time limit passes. The error is ErrNoInstance or that of
// ctx; every other failure is told by the Response.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	known, err := c.instances(ctx)
	if err != nil {
		return Response{}, err
	}
	if !r.Idempotent {
		known = known.issuerFirst()
	}
	out := Response{Outcome: outcome.Outcome{Executed: outcome.No}}
	if !r.Idempotent {
		out.Key = c.newKey(known)
	}
	sentUnknown := false
	tried := map[string]bool{}
	for range MaxAttempts {
		if ctx.Err() != nil {
			break
		}
		next := pick(known, tried)
		tried[next.Address] = true
		out.Attempts++
		definite := c.send(ctx, next, r, &out)
		sentUnknown = sentUnknown || out.Executed == outcome.Unknown
		if definite {
			return out, nil
		}
		if refreshed, err := c.refresh(ctx); err == nil {
			known = refreshed
		}
	}
	if sentUnknown && out.Executed == outcome.No {
		// A later refusal of this attempt says nothing about earlier ones.
		out.Executed = outcome.Unknown
	}
	return out, nil
}

// pick returns the preferred instance that was not tried yet, else the first.
func pick(known lookupAnswer, tried map[string]bool) instance {
	for _, i := range known.Instances {
		if !tried[i.Address] {
			return i
		}
	}
	return known.Instances[0]
}

// issuerFirst puts the instance that issued the key prefix first, since others
// pass requests with such keys on to it.
func (a lookupAnswer) issuerFirst() lookupAnswer {
	name, _, _ := strings.Cut(a.KeyPrefix, ".")
	i := slices.IndexFunc(a.Instances, func(x instance) bool { return x.Name == name })
	if i > 0 {
		ordered := []instance{a.Instances[i]}
		ordered = append(ordered, a.Instances[:i]...)
		a.Instances = append(ordered, a.Instances[i+1:]...)
	}
	return a
}

func (c *Client) newKey(known lookupAnswer) string {
	sequence := strconv.FormatUint(c.sequence.Add(1), 36)
	return known.KeyPrefix + "." + strconv.FormatInt(c.started, 36) + "-" + sequence
}

// send makes one attempt and reports whether its answer is definite.
func (c *Client) send(ctx context.Context, to instance, r Request, out *Response) bool {
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
	if out.Key != "" {
		req.Header.Set(outcome.HeaderIdempotencyKey, out.Key)
	}
	if err := c.http.DoTimeout(ctx, req, resp, remaining); err != nil {
		out.Outcome = outcome.Outcome{Reason: outcome.ReasonNoResponse, Executed: outcome.Unknown}
		if neverConnected(err) {
			out.Executed = outcome.No
		} else {
			out.Broken++
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

// neverConnected reports whether an attempt ended before there was a
// connection, so that the request was not sent.
func neverConnected(err error) bool {
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

func (c *Client) instances(ctx context.Context) (lookupAnswer, error) {
	c.mu.Lock()
	known := c.lookup
	c.mu.Unlock()
	if len(known.Instances) > 0 && time.Now().Before(known.expires) {
		return known, nil
	}
	return c.refresh(ctx)
}

// refresh asks the known instances, then the bootstrap addresses.
func (c *Client) refresh(ctx context.Context) (lookupAnswer, error) {
	c.mu.Lock()
	known := c.lookup
	c.mu.Unlock()
	var addresses []string
	for _, i := range known.Instances {
		addresses = append(addresses, i.Address)
	}
	for _, address := range append(addresses, c.opts.Bootstrap...) {
		if answer, err := c.ask(ctx, address); err == nil {
			c.mu.Lock()
			c.lookup = answer
			c.mu.Unlock()
			return answer, nil
		}
	}
	return lookupAnswer{}, ErrNoInstance
}

func (c *Client) ask(ctx context.Context, address string) (lookupAnswer, error) {
	url := "http://" + address + "/-/lookup?caller=" + c.opts.Address
	asked := time.Now()
	status, body, err := c.http.GetTimeout(ctx, nil, url, lookupTimeout)
	if err != nil {
		return lookupAnswer{}, err
	}
	if status != 200 {
		return lookupAnswer{}, fmt.Errorf("caller: look-up at %s: status %d", address, status)
	}
	var answer lookupAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return lookupAnswer{}, err
	}
	if len(answer.Instances) == 0 {
		return lookupAnswer{}, ErrNoInstance
	}
	answer.expires = asked.Add(time.Duration(answer.TTLMs) * time.Millisecond)
	return answer, nil
}
