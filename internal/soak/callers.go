package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

const (
	requestDeadline  = 2 * time.Second
	shortDeadline    = 300 * time.Millisecond
	callerPause      = 15 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	affinityKeyCount = 20 // Number of different affinity keys that requests carry.
	// cutInterval is the number of requests per response that a target breaks off,
	// if Options.CutResponses is set.
	cutInterval = 5
	// maxCutBytes is more than the length of a short response of a target.
	maxCutBytes     = 220
	maxAttempts     = 4 // Attempts of a caller for one request.
	maxPipelined    = 4
	longBodyBytes   = 200 << 10
	maxPaddingBytes = 400 << 10
	maxBodyPieces   = 8
	maxPiecePause   = 60 * time.Millisecond
	maxIdlePause    = 4 * time.Second
	// readMargin is how long a caller waits for a response beyond its deadline.
	readMargin = 5 * time.Second
)

// Probabilities of the variants of requests.
const (
	pipelinedShare     = 0.10
	idleShare          = 0.04
	shortDeadlineShare = 0.05
	leavesEarlyShare   = 0.02
	halfClosesShare    = 0.01
	closeHeaderShare   = 0.02
	targetFaultShare   = 0.02
	paddingShare       = 0.03 // Requests with a long response.
	faultPaddingShare  = 0.5  // See paddingShareOf.
	impatientShare     = 0.3  // Callers that ignore Retry-After.
)

// targetFaults are the faults of targets that requests select.
var targetFaults = []string{wiretarget.FaultExtraResponse, wiretarget.FaultUnframed, wiretarget.FaultTruncate, wiretarget.FaultNoStamp,
	wiretarget.FaultNoResponse, wiretarget.FaultStatus500}

// requestOutcome is a request of a caller and the response that the caller received.
type requestOutcome struct {
	id            string
	method        string
	path          string
	idempotent    bool
	instance      *instance
	status        int // 0 if the connection ended without a complete response.
	body          string
	signature     string // Signature of the target; empty if the response has none.
	targetLeaving bool   // The target states that it is leaving.
	retryAfter    time.Duration
	configVersion int    // Latest published configuration when the request was sent.
	kept          bool   // The connection had carried a request before.
	behind        bool   // Sent before the response to an earlier request had arrived.
	left          bool   // The caller closed the connection before the response.
	halfClosed    bool   // The caller closed its sending side after the request.
	partial       bool   // A part of the response arrived.
	fault         string // Fault of the target that the request selects.
	err           error  // Why there is no complete response.
	deadline      time.Duration
	connectedAt   time.Time
	sentAt        time.Time
	sentWholeAt   time.Time // Zero if the request could not be sent completely.
	doneAt        time.Time
}

// reportsNotExecuted reports whether the status guarantees that no target
// executed the request.
func (outcome requestOutcome) reportsNotExecuted() bool {
	return outcome.status == 408 || outcome.status == 421 || outcome.status == 429 || outcome.status == 503
}

// mayRetry reports whether a caller sends the request again.
func (outcome requestOutcome) mayRetry() bool {
	if outcome.left {
		return false
	}
	return outcome.reportsNotExecuted() || outcome.idempotent && (outcome.status == 0 || outcome.status >= 500)
}

// outcomeRecorder collects the outcomes of all callers.
type outcomeRecorder struct {
	mu       sync.Mutex
	outcomes []requestOutcome
}

func (recorder *outcomeRecorder) add(outcome requestOutcome) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.outcomes = append(recorder.outcomes, outcome)
}

func (recorder *outcomeRecorder) all() []requestOutcome {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return append([]requestOutcome(nil), recorder.outcomes...)
}

// caller sends requests on a persistent connection. After that connection has
// ended, it connects to a random instance. It retries requests as the platform's
// callers do.
type caller struct {
	deployment *Deployment
	name       string
	random     *rand.Rand
	impatient  bool // Retries without waiting.
	sent       int  // Requests sent, retries included.
	conn       net.Conn
	reader     *bufio.Reader
	connected  time.Time
	used       bool // The connection has carried a request.
	instance   *instance
}

func newCaller(deployment *Deployment, name string, stream uint64) *caller {
	random := rand.New(rand.NewPCG(deployment.options.Seed, stream))
	return &caller{deployment: deployment, name: name, random: random, impatient: random.Float64() < impatientShare}
}

// sendLoop sends requests until ctx ends.
func (caller *caller) sendLoop(ctx context.Context) {
	defer caller.closeConnection()
	for ctx.Err() == nil {
		if caller.random.Float64() < idleShare {
			caller.pause(ctx, time.Duration(caller.random.Float64()*float64(min(maxIdlePause, caller.deployment.usableIdleTime()))))
		}
		if caller.random.Float64() < pipelinedShare {
			caller.sendPipelined(2 + caller.random.IntN(maxPipelined-1))
		} else {
			caller.sendWithRetries(ctx)
		}
		caller.pause(ctx, callerPause)
	}
}

func (caller *caller) pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (caller *caller) closeConnection() {
	if caller.conn != nil {
		_ = caller.conn.Close()
	}
	caller.conn = nil
}

// connect connects to a random instance unless a connection is already open.
func (caller *caller) connect() bool {
	if caller.conn != nil {
		return true
	}
	caller.instance = caller.deployment.instances[caller.random.IntN(len(caller.deployment.instances))]
	conn, err := net.DialTimeout("tcp", wiresite.CallerAddress(caller.instance.host), dialTimeout)
	if err != nil {
		return false
	}
	caller.conn, caller.reader, caller.used, caller.connected = conn, bufio.NewReader(conn), false, time.Now()
	return true
}

// sendWithRetries sends a request and, if it fails in a way that permits it, sends
// it again with another ID on another connection.
func (caller *caller) sendWithRetries(ctx context.Context) {
	idempotent := caller.random.IntN(2) == 0
	for range maxAttempts {
		if ctx.Err() != nil || !caller.connect() {
			return
		}
		outcome := caller.newOutcome(idempotent)
		caller.exchange(&outcome)
		caller.deployment.recorder.add(outcome)
		if !outcome.mayRetry() {
			return
		}
		caller.closeConnection()
		if !caller.impatient {
			caller.pause(ctx, min(outcome.retryAfter, requestDeadline/3))
		}
	}
}

func (caller *caller) newOutcome(idempotent bool) requestOutcome {
	id := fmt.Sprintf("%s-%d", caller.name, caller.sent)
	caller.sent++
	outcome := requestOutcome{id: id, idempotent: idempotent, method: "POST", path: "/unsafe/" + id, instance: caller.instance,
		configVersion: int(caller.deployment.configVersion.Load()), kept: caller.used, deadline: requestDeadline,
		connectedAt: caller.connected, sentAt: time.Now()}
	if idempotent {
		outcome.method, outcome.path = "GET", "/safe/"+id
	}
	faultShare := caller.deployment.options.TargetFaults
	if faultShare == 0 {
		faultShare = targetFaultShare
	}
	if caller.random.Float64() < faultShare {
		outcome.fault = targetFaults[caller.random.IntN(len(targetFaults))]
	}
	if caller.deployment.options.CutResponses && caller.random.IntN(cutInterval) == 0 {
		outcome.fault = wiretarget.FaultCutAfter
	}
	return outcome
}

// exchange sends a request with a random body and reads the response.
func (caller *caller) exchange(outcome *requestOutcome) {
	caller.used = true
	if caller.random.Float64() < shortDeadlineShare {
		outcome.deadline = shortDeadline
	}
	_ = caller.conn.SetDeadline(outcome.sentAt.Add(outcome.deadline + readMargin))
	body := ""
	if !outcome.idempotent {
		body = caller.randomBody(outcome.id)
	}
	closes := caller.random.Float64() < closeHeaderShare
	if caller.send(outcome, body, closes) == nil {
		outcome.sentWholeAt = time.Now()
		_ = caller.conn.SetDeadline(outcome.sentWholeAt.Add(outcome.deadline + readMargin)) // A long pause of this process is not a late response.
	}
	switch choice := caller.random.Float64(); {
	case choice < leavesEarlyShare:
		time.Sleep(time.Duration(caller.random.Int64N(int64(50 * time.Millisecond))))
		outcome.left, outcome.doneAt = true, time.Now()
		caller.closeConnection()
		return
	case choice < leavesEarlyShare+halfClosesShare:
		outcome.halfClosed = true
		_ = caller.conn.(*net.TCPConn).CloseWrite()
	}
	caller.receive(outcome)
	if outcome.halfClosed || closes {
		caller.closeConnection()
	}
}

// sendPipelined sends several idempotent requests before it reads the responses.
func (caller *caller) sendPipelined(count int) {
	if !caller.connect() {
		return
	}
	_ = caller.conn.SetDeadline(time.Now().Add(requestDeadline + readMargin))
	outcomes := make([]requestOutcome, count)
	for i := range outcomes {
		outcomes[i] = caller.newOutcome(true)
		outcomes[i].behind = i > 0
		caller.used = true
		if caller.send(&outcomes[i], "", false) == nil {
			outcomes[i].sentWholeAt = time.Now()
		}
	}
	for i := range outcomes {
		if caller.conn == nil {
			outcomes[i].err, outcomes[i].doneAt, outcomes[i].left = io.EOF, time.Now(), outcomes[i-1].left || outcomes[i-1].timedOut()
		} else {
			caller.receive(&outcomes[i])
		}
		caller.deployment.recorder.add(outcomes[i])
	}
}

// receive reads the response to a request. It closes the connection if there is no
// complete response or the response says so.
func (caller *caller) receive(outcome *requestOutcome) {
	outcome.err = caller.readResponse(outcome)
	outcome.doneAt = time.Now()
	if outcome.err != nil {
		outcome.status = 0
		caller.closeConnection()
	}
}

// timedOut reports whether the caller gave up waiting for the response.
func (outcome requestOutcome) timedOut() bool { return errors.Is(outcome.err, os.ErrDeadlineExceeded) }

// randomBody returns an empty, a short or a long body.
func (caller *caller) randomBody(id string) string {
	switch choice := caller.random.IntN(20); {
	case choice == 0:
		return ""
	case choice < 17:
		return "body of " + id
	default:
		return strings.Repeat(id+" ", 1+caller.random.IntN(longBodyBytes)/(len(id)+1))
	}
}

// send writes a request. Some bodies are sent in chunks, and some slowly.
func (caller *caller) send(outcome *requestOutcome, body string, closes bool) error {
	chunked, pieces := body != "" && caller.random.IntN(4) == 0, 1
	if body != "" && caller.random.IntN(4) == 0 {
		pieces = min(len(body), 2+caller.random.IntN(maxBodyPieces-1))
	}
	headers := []string{wiretarget.HeaderBodySum + ": " + wiretarget.BodySum([]byte(body))}
	if chunked {
		headers = append(headers, "Transfer-Encoding: chunked")
	} else {
		headers = append(headers, fmt.Sprint("Content-Length: ", len(body)))
	}
	if caller.random.Float64() < caller.paddingShareOf(outcome) {
		headers = append(headers, fmt.Sprint(wiretarget.HeaderPadding, ": ", caller.random.IntN(maxPaddingBytes)))
	}
	if closes {
		headers = append(headers, "Connection: close")
	}
	if outcome.fault != "" {
		headers = append(headers, wiretarget.HeaderFault+": "+outcome.fault, fmt.Sprint(wiretarget.HeaderFaultBytes, ": ", caller.random.IntN(maxCutBytes)))
	}
	head := wiresite.RequestHead(outcome.method, outcome.path, outcome.id, fmt.Sprint(caller.random.IntN(affinityKeyCount)),
		outcome.deadline, headers...)
	if body == "" {
		_, err := io.WriteString(caller.conn, head)
		return err
	}
	for i := range pieces {
		piece := body[i*len(body)/pieces : (i+1)*len(body)/pieces]
		if chunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			if i == pieces-1 {
				piece += "0\r\n\r\n"
			}
		}
		if i == 0 {
			piece = head + piece
		} else {
			time.Sleep(time.Duration(caller.random.Int64N(int64(maxPiecePause))))
		}
		if _, err := io.WriteString(caller.conn, piece); err != nil {
			return err
		}
	}
	return nil
}

// paddingShareOf returns the probability that the response is to be long. Responses
// that are broken off are long only if Options.TargetFaults asks for many of them.
func (caller *caller) paddingShareOf(outcome *requestOutcome) float64 {
	switch {
	case outcome.fault == "":
		return paddingShare
	case outcome.fault == wiretarget.FaultCutAfter || caller.deployment.options.TargetFaults == 0:
		return 0
	}
	return faultPaddingShare
}

// readResponse reads the response and stores it in outcome.
func (caller *caller) readResponse(outcome *requestOutcome) error {
	if _, err := caller.reader.Peek(1); err != nil {
		return err
	}
	outcome.partial = true
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: outcome.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	outcome.status, outcome.body, outcome.signature = response.StatusCode, strings.TrimRight(string(body), " "), response.Header.Get(platform.HeaderServerStamp)
	outcome.targetLeaving, _ = platform.Headers{}.Leaving(response.Header)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		outcome.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if response.Close {
		caller.closeConnection()
	}
	return nil
}
