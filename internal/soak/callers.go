package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

const (
	requestDeadline = 2 * time.Second
	callerPause     = 15 * time.Millisecond
	dialTimeout     = 500 * time.Millisecond
	// cutInterval is the number of requests per response that a target breaks off,
	// if Options.CutResponses is set.
	cutInterval = 5
	// maxCutBytes is more than the length of a response of a target.
	maxCutBytes      = 220
	affinityKeyCount = 20 // Number of different affinity keys that requests carry.
)

// requestOutcome is a request of a caller and the response that the caller received.
type requestOutcome struct {
	id             string
	idempotent     bool
	instance       *instance
	status         int // 0 if the connection ended without a complete response.
	body           string
	signature      string // Signature of the target; empty if the response has none.
	configVersion  int    // Latest published configuration when the request was sent.
	sentAt, doneAt time.Time
}

// reportsNotExecuted reports whether the status guarantees that no target
// executed the request.
func (outcome requestOutcome) reportsNotExecuted() bool {
	return outcome.status == 408 || outcome.status == 421 || outcome.status == 429 || outcome.status == 503
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

// caller sends one request after another on a persistent connection. After that
// connection has ended, it connects to a random instance.
type caller struct {
	deployment *Deployment
	name       string
	random     *rand.Rand
	conn       net.Conn
	reader     *bufio.Reader
	instance   *instance
}

// sendLoop sends requests until ctx ends.
func (caller *caller) sendLoop(ctx context.Context) {
	defer caller.closeConnection()
	for n := 0; ctx.Err() == nil; n++ {
		caller.sendRequest(fmt.Sprintf("%s-%d", caller.name, n))
		time.Sleep(callerPause)
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
	caller.conn, caller.reader = conn, bufio.NewReader(conn)
	return true
}

// sendRequest sends a request that is idempotent with probability 1/2 and records
// its outcome. It sends nothing if no connection can be opened.
func (caller *caller) sendRequest(id string) {
	if !caller.connect() {
		return
	}
	outcome := requestOutcome{id: id, idempotent: caller.random.IntN(2) == 0, instance: caller.instance,
		configVersion: int(caller.deployment.configVersion.Load()), sentAt: time.Now()}
	method, path, body := "POST", "/unsafe/"+id, "body of "+id
	if outcome.idempotent {
		method, path, body = "GET", "/safe/"+id, ""
	}
	_ = caller.conn.SetDeadline(outcome.sentAt.Add(requestDeadline + time.Second))
	_, err := io.WriteString(caller.conn, wiresite.Request(method, path, id, fmt.Sprint(caller.random.IntN(affinityKeyCount)),
		body, requestDeadline, caller.faultHeaders()...))
	if err == nil {
		err = caller.readResponse(method, &outcome)
	}
	outcome.doneAt = time.Now()
	if err != nil {
		outcome.status = 0
		caller.closeConnection()
	}
	caller.deployment.recorder.add(outcome)
}

// faultHeaders returns the headers that make the target break off its response.
func (caller *caller) faultHeaders() []string {
	if !caller.deployment.options.CutResponses || caller.random.IntN(cutInterval) != 0 {
		return nil
	}
	return []string{wiretarget.HeaderFault + ": " + wiretarget.FaultCutAfter, fmt.Sprint(wiretarget.HeaderFaultBytes, ": ", caller.random.IntN(maxCutBytes))}
}

// readResponse reads the response and stores it in outcome.
func (caller *caller) readResponse(method string, outcome *requestOutcome) error {
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	outcome.status, outcome.body, outcome.signature = response.StatusCode, string(body), response.Header.Get(platform.HeaderServerStamp)
	if response.Close {
		caller.closeConnection()
	}
	return nil
}
