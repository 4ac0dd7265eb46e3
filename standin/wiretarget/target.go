// Package wiretarget is a stand-in for a target of the platform, used by tests and
// the soak. It reports its load, rejects requests that are addressed to another
// target, sheds requests with a statement that they were not executed, is slower
// for objects that it has not served before, may state a rate limit, that it is
// leaving or that it wants a pause, and records arrivals and executions. Faults are selected by request headers.
package wiretarget

import (
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/platform"
)

const (
	// HeaderFault is the request header that selects a fault for that request.
	HeaderFault = "X-Fault"
	// HeaderFaultBytes is the number of bytes of the response that FaultCutAfter
	// sends.
	HeaderFaultBytes = "X-Fault-Bytes"
)

// Values of HeaderFault.
const (
	FaultExtraResponse = "extra"     // Sends a late response to another request first.
	FaultUnframed      = "unframed"  // The response has no length and ends when the connection is closed.
	FaultTruncate      = "cut"       // The connection is closed before the end of the response.
	FaultCutAfter      = "cut-after" // The connection is closed after HeaderFaultBytes, also within the head.
	FaultNoStamp       = "no-stamp"  // The response has no signature.
	FaultNoResponse    = "reset"     // The connection is closed after the execution, without a response.
	FaultStatus500     = "error"     // The response has status 500.
)

// HeaderPadding is the request header that contains a number of spaces to add to the
// body of the response.
const HeaderPadding = "X-Padding"

// HeaderBodySum is the request header that contains the checksum of the body. The
// bodies of requests with this header are checked and not kept.
const HeaderBodySum = "X-Body-Sum"

// BodySum returns the value of HeaderBodySum for a body.
func BodySum(body []byte) string { return strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16) }

// Options configures a target.
type Options struct {
	ID             string
	Slots          int
	MaxQueued      int           // Maximum number of requests that wait for a slot.
	WarmTime       time.Duration // Execution time of requests without an object or with a known object.
	ColdTime       time.Duration // Execution time of requests with a new object; 0 means WarmTime.
	DropsAbandoned bool          // Waiting requests are dropped when their deadline passes or the client disconnects.
	RejectShare    float64       // Probability that a request is rejected though there is room.
	StartsAtHead   bool          // Requests are rejected, or their execution starts, before the body has arrived.
}

// History is what a target has recorded of a request ID.
type History struct {
	Arrivals   int         // Requests that arrived, rejected ones included.
	Executions []time.Time // When executions started.
	WrongBody  bool        // The body of an execution did not match HeaderBodySum.
}

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	options Options

	mu             sync.Mutex
	running        int
	waiting        int
	knownObjects   map[string]bool
	histories      map[string]*History // By request ID.
	aborted        int                 // Executions ended by a disconnected client or a passed deadline.
	bodies         map[string]string
	lastStart      time.Time               // Time at which the latest execution started.
	rateLimit      string                  // Stated in responses; empty for none.
	arrivals       []time.Time             // Of all requests, rejected ones included.
	leaving        bool                    // Stated in responses.
	pausedUntil    time.Time               // Until then requests are rejected, with the rest of the time.
	statedArrivals []StatedArrival         // See StatedArrivals.
	noise          float64                 // Probability that an earlier response or one to another request precedes a response.
	sent           map[net.Conn]string     // Latest response of each connection while noise is set.
	thawed         chan struct{}           // Closed when the target is not frozen.
	refuseEvery    int                     // See RepeatRefusals; 0 when it is off.
	untilRefusal   int                     // Arrivals until the next refusal.
	refusals       map[network.Conn]string // Refusals to be written once more, by connection.
	repeated       int                     // Refusals that were written once more.
	freeSlots      chan struct{}           // Contains one element for each free slot.
	killed         chan struct{}           // Closed by Kill.
}

// New returns a target without executions.
func New(options Options) *Target {
	if options.ColdTime == 0 {
		options.ColdTime = options.WarmTime
	}
	target := &Target{options: options, knownObjects: map[string]bool{}, histories: map[string]*History{}, bodies: map[string]string{},
		freeSlots: make(chan struct{}, options.Slots), killed: make(chan struct{}), thawed: make(chan struct{})}
	close(target.thawed)
	for range options.Slots {
		target.freeSlots <- struct{}{}
	}
	return target
}

// ID returns the ID of the target.
func (target *Target) ID() string { return target.options.ID }

// NewServer returns an HTTP server that serves the target on a listener.
func (target *Target) NewServer(listener net.Listener) *server.Hertz {
	httpServer := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithExitWaitTime(0), server.WithDisablePrintRoute(true),
		server.WithStreamBody(target.options.StartsAtHead))
	httpServer.NoRoute(target.handleRequest)
	return httpServer
}

// Executions returns the number of executions by request ID.
func (target *Target) Executions() map[string]int {
	target.mu.Lock()
	defer target.mu.Unlock()
	counts := make(map[string]int, len(target.histories))
	for id, history := range target.histories {
		if len(history.Executions) > 0 {
			counts[id] = len(history.Executions)
		}
	}
	return counts
}

// Histories returns what the target has recorded, by request ID.
func (target *Target) Histories() map[string]History {
	target.mu.Lock()
	defer target.mu.Unlock()
	histories := make(map[string]History, len(target.histories))
	for id, history := range target.histories {
		histories[id] = History{history.Arrivals, slices.Clone(history.Executions), history.WrongBody}
	}
	return histories
}

// history returns the record of a request ID. The caller must hold mu.
func (target *Target) history(id string) *History {
	if target.histories[id] == nil {
		target.histories[id] = &History{}
	}
	return target.histories[id]
}

// Aborted returns the number of executions that did not finish because the client
// disconnected or the deadline passed.
func (target *Target) Aborted() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.aborted
}

// LastExecutionStart returns the time at which the latest execution started.
func (target *Target) LastExecutionStart() time.Time {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.lastStart
}

// Arrivals returns the times at which requests arrived, in ascending order.
func (target *Target) Arrivals() []time.Time { return target.ArrivalsAfter(time.Time{}) }

// ArrivalsAfter returns the times from from on at which requests arrived, in
// ascending order.
func (target *Target) ArrivalsAfter(from time.Time) []time.Time {
	target.mu.Lock()
	defer target.mu.Unlock()
	first, _ := slices.BinarySearchFunc(target.arrivals, from, time.Time.Compare)
	return slices.Clone(target.arrivals[first:])
}

// MostArrivals returns the largest number of requests that arrived within a window
// of the given length that begins at from or later.
func (target *Target) MostArrivals(from time.Time, window time.Duration) int {
	arrivals := target.ArrivalsAfter(from)
	most, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Body returns the request body of the latest execution of a request ID.
func (target *Target) Body(id string) string {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.bodies[id]
}

func (target *Target) handleRequest(ctx context.Context, c *app.RequestContext) {
	id := string(c.Request.Header.Peek(platform.HeaderRequestID))
	c.Response.Header.Set(platform.HeaderRequestID, id)
	target.awaitThaw()
	expected := string(c.Request.Header.Peek(platform.HeaderExpectTarget))
	misdirected := expected != "" && expected != target.options.ID
	target.recordArrival(id, misdirected)
	if refusal := target.takeRefusal(c.GetConn()); refusal != "" {
		target.writeRaw(c, refusal, false)
	}
	timeLeft := time.Hour
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(platform.HeaderDeadline))); err == nil {
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(timeLeft)
	defer deadline.Stop()
	switch {
	case misdirected:
		target.rejectUnexecuted(c, 421)
		return
	case id == "":
		target.rejectUnexecuted(c, 400)
		return
	case target.pauseLeft() > 0:
		c.Response.Header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(target.pauseLeft().Seconds(), 'f', 3, 64))
		target.rejectUnexecuted(c, 503)
		return
	case target.refusesNext():
		target.rejectUnexecuted(c, 503)
		return
	case rand.Float64() < target.options.RejectShare || !target.acquireSlot(ctx, deadline):
		target.rejectUnexecuted(c, 503)
		return
	}
	defer target.releaseSlot()
	if !target.execute(ctx, c, id, deadline) {
		c.SetStatusCode(504)
		target.setLoadHeader(c)
		return
	}
	target.respond(c, id)
}

// rejectUnexecuted responds with a statement that the request was not executed.
func (target *Target) rejectUnexecuted(c *app.RequestContext, status int) {
	c.Response.Header.Set(platform.HeaderNotExecuted, "1")
	target.setLoadHeader(c)
	c.SetStatusCode(status)
	target.keepRefusal(c, status)
	target.addNoise(c, string(c.Request.Header.Peek(platform.HeaderRequestID)), "", "")
}

// acquireSlot takes a slot. If none is free, it waits in the queue. It returns false
// if the queue is full, the target is killed or the request is dropped.
func (target *Target) acquireSlot(ctx context.Context, deadline *time.Timer) bool {
	var abandoned, expired = ctx.Done(), deadline.C
	if !target.options.DropsAbandoned {
		abandoned, expired = nil, nil
	}
	select {
	case <-target.freeSlots:
	default:
		target.mu.Lock()
		if target.waiting >= target.options.MaxQueued {
			target.mu.Unlock()
			return false
		}
		target.waiting++
		target.mu.Unlock()
		acquired := false
		select {
		case <-target.freeSlots:
			acquired = true
		case <-target.killed:
		case <-abandoned:
		case <-expired:
		}
		target.mu.Lock()
		target.waiting--
		target.mu.Unlock()
		if !acquired {
			return false
		}
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.isKilled() {
		target.freeSlots <- struct{}{}
		return false
	}
	target.running++
	return true
}

func (target *Target) releaseSlot() {
	target.mu.Lock()
	target.running--
	target.mu.Unlock()
	target.freeSlots <- struct{}{}
}

// execute simulates the execution of a request. It returns false if the deadline
// passes, the client disconnects or the target is killed first.
func (target *Target) execute(ctx context.Context, c *app.RequestContext, id string, deadline *time.Timer) bool {
	object := string(c.Request.Header.Cookie("X-Jacinthstall-Affinity-Key"))
	target.mu.Lock()
	target.lastStart = time.Now()
	history := target.history(id)
	history.Executions = append(history.Executions, target.lastStart)
	executionTime := target.options.ColdTime
	if object == "" || target.knownObjects[object] {
		executionTime = target.options.WarmTime
	}
	target.knownObjects[object] = true
	target.mu.Unlock()
	if !target.readBody(c, id) {
		return false
	}
	select {
	case <-time.After(executionTime):
		target.awaitThaw()
		return true
	case <-deadline.C:
	case <-ctx.Done():
	case <-target.killed:
	}
	target.mu.Lock()
	target.aborted++
	target.mu.Unlock()
	return false
}

// readBody reads, records and checks the body. It returns false if the connection
// ends before the body.
func (target *Target) readBody(c *app.RequestContext, id string) bool {
	body, err := c.Request.BodyE()
	target.mu.Lock()
	defer target.mu.Unlock()
	switch sum := string(c.Request.Header.Peek(HeaderBodySum)); {
	case err != nil:
		target.aborted++
		return false
	case sum == "":
		target.bodies[id] = string(body)
	case sum != BodySum(body):
		target.history(id).WrongBody = true
	}
	return true
}

func (target *Target) recordArrival(id string, misdirected bool) {
	target.mu.Lock()
	defer target.mu.Unlock()
	now, paused := time.Now(), time.Time{}
	if now.Before(target.pausedUntil) {
		paused = target.pausedUntil
	}
	if target.leaving || !paused.IsZero() {
		target.statedArrivals = append(target.statedArrivals, StatedArrival{id, now, paused, misdirected})
	}
	if id != "" {
		target.history(id).Arrivals++
	}
	target.arrivals = append(target.arrivals, time.Now())
}

// setLoadHeader adds the current load, the rate limit and whether the target is
// leaving to a response.
func (target *Target) setLoadHeader(c *app.RequestContext) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.eachStatement(c.Response.Header.Set)
	c.Response.Header.Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", target.running, target.waiting, target.options.Slots))
}

// eachStatement calls add for each header that the target adds to all its responses,
// except for its load. The caller must hold mu.
func (target *Target) eachStatement(add func(name, value string)) {
	if target.rateLimit != "" {
		add(platform.HeaderServerLimit, target.rateLimit)
	}
	if target.leaving {
		add(platform.HeaderServerLeaving, "1")
	}
}

// respond sends the response to an executed request, with the fault that the
// request selects.
func (target *Target) respond(c *app.RequestContext, id string) {
	target.setLoadHeader(c)
	c.SetStatusCode(200)
	stamp := "stamp-" + target.options.ID
	body := fmt.Sprintf("%s %s by %s", c.Method(), c.Request.RequestURI(), target.options.ID)
	if padding, err := strconv.Atoi(string(c.Request.Header.Peek(HeaderPadding))); err == nil {
		body += strings.Repeat(" ", padding)
	}
	switch string(c.Request.Header.Peek(HeaderFault)) {
	case FaultExtraResponse:
		target.writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other-%s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nextra",
			platform.HeaderRequestID, id, platform.HeaderServerStamp, stamp), false)
	case FaultUnframed:
		target.writeRaw(c, target.rawHead(id, stamp)+"\r\n"+body, true)
		return
	case FaultTruncate:
		target.writeRaw(c, target.rawHead(id, stamp)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+500, body), true)
		return
	case FaultCutAfter:
		response := target.rawHead(id, stamp) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		length, err := strconv.Atoi(string(c.Request.Header.Peek(HeaderFaultBytes)))
		if err != nil || length < 0 {
			length = 0
		}
		target.writeRaw(c, response[:min(length, len(response))], true)
		return
	case FaultNoResponse:
		_ = c.GetConn().Close()
		return
	case FaultStatus500:
		c.SetStatusCode(500)
	case FaultNoStamp:
		stamp = ""
	}
	if stamp != "" {
		c.Response.Header.Set(platform.HeaderServerStamp, stamp)
	}
	c.Response.SetBodyString(body)
	target.addNoise(c, id, stamp, body)
}

// rawHead returns the start of the head of a response that is written as raw bytes. The
// target states its limit and that it is leaving in these, too: a signed response
// without a limit would end it.
func (target *Target) rawHead(id, stamp string) string {
	target.mu.Lock()
	defer target.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", platform.HeaderRequestID, id, platform.HeaderServerStamp, stamp)
	target.eachStatement(func(name, value string) { head += name + ": " + value + "\r\n" })
	return head
}

// writeRaw writes raw bytes to the connection, and closes it if closes is set.
func (target *Target) writeRaw(c *app.RequestContext, raw string, closes bool) {
	conn := c.GetConn()
	_, _ = conn.WriteBinary([]byte(raw))
	_ = conn.Flush()
	if closes {
		_ = conn.Close()
	}
}
