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
)

const (
	requestDeadline  = 2 * time.Second
	callerPause      = 15 * time.Millisecond
	affinityKeyCount = 20 // Different objects that requests concern.
)

// requestOutcome is what a caller was told about a request.
type requestOutcome struct {
	id             string
	idempotent     bool
	instance       *instance
	status         int // 0 when the connection ended without an answer.
	body           string
	stamp          string
	configVersion  int // Of the configuration whose route the request used.
	sentAt, doneAt time.Time
}

// reportsNotExecuted reports whether the status promises that the request was not executed.
func (outcome requestOutcome) reportsNotExecuted() bool {
	return outcome.status == 408 || outcome.status == 421 || outcome.status == 429 || outcome.status == 503
}

// outcomeRecorder collects what callers were told.
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

// caller sends requests on kept connections, which it uses until they end.
type caller struct {
	deployment *Deployment
	name       string
	random     *rand.Rand
	conn       net.Conn
	reader     *bufio.Reader
	instance   *instance
}

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

// connect opens a connection to a random instance.
func (caller *caller) connect() bool {
	if caller.conn != nil {
		return true
	}
	caller.instance = caller.deployment.instances[caller.random.IntN(len(caller.deployment.instances))]
	conn, err := net.DialTimeout("tcp", wiresite.Callers(caller.instance.host), 500*time.Millisecond)
	if err != nil {
		return false
	}
	caller.conn, caller.reader = conn, bufio.NewReader(conn)
	return true
}

func (caller *caller) sendRequest(id string) {
	if !caller.connect() {
		return
	}
	outcome := requestOutcome{id: id, idempotent: caller.random.IntN(2) == 0, instance: caller.instance, configVersion: int(caller.deployment.configVersion.Load()), sentAt: time.Now()}
	method, path, body := "POST", "/unsafe/"+id, "body of "+id
	if outcome.idempotent {
		method, path, body = "GET", "/safe/"+id, ""
	}
	_ = caller.conn.SetDeadline(outcome.sentAt.Add(requestDeadline + time.Second))
	_, err := io.WriteString(caller.conn, wiresite.Request(method, path, id, fmt.Sprint(caller.random.IntN(affinityKeyCount)), body, requestDeadline))
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

func (caller *caller) readResponse(method string, outcome *requestOutcome) error {
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	outcome.status, outcome.body, outcome.stamp = response.StatusCode, string(body), response.Header.Get(platform.HeaderServerStamp)
	if response.Close {
		caller.closeConnection()
	}
	return nil
}
