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
	signature      string
	configVersion  int // Of the configuration whose route the request used.
	sentAt, doneAt time.Time
}

// reportsNotExecuted reports whether the status promises that the request was not executed.
func (o requestOutcome) reportsNotExecuted() bool {
	return o.status == 408 || o.status == 421 || o.status == 429 || o.status == 503
}

// outcomeRecorder collects what callers were told.
type outcomeRecorder struct {
	mu       sync.Mutex
	outcomes []requestOutcome
}

func (r *outcomeRecorder) add(o requestOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *outcomeRecorder) all() []requestOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]requestOutcome(nil), r.outcomes...)
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

func (c *caller) sendLoop(ctx context.Context) {
	defer c.closeConnection()
	for n := 0; ctx.Err() == nil; n++ {
		c.sendRequest(fmt.Sprintf("%s-%d", c.name, n))
		time.Sleep(callerPause)
	}
}

func (c *caller) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// connect opens a connection to a random instance.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.instance = c.deployment.instances[c.random.IntN(len(c.deployment.instances))]
	conn, err := net.DialTimeout("tcp", wiresite.CallerAddress(c.instance.host), 500*time.Millisecond)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) sendRequest(id string) {
	if !c.connect() {
		return
	}
	o := requestOutcome{id: id, idempotent: c.random.IntN(2) == 0, instance: c.instance, configVersion: int(c.deployment.configVersion.Load()), sentAt: time.Now()}
	method, path, body := "POST", "/unsafe/"+id, "body of "+id
	if o.idempotent {
		method, path, body = "GET", "/safe/"+id, ""
	}
	_ = c.conn.SetDeadline(o.sentAt.Add(requestDeadline + time.Second))
	_, err := io.WriteString(c.conn, wiresite.Request(method, path, id, fmt.Sprint(c.random.IntN(affinityKeyCount)), body, requestDeadline))
	if err == nil {
		err = c.readResponse(method, &o)
	}
	o.doneAt = time.Now()
	if err != nil {
		o.status = 0
		c.closeConnection()
	}
	c.deployment.recorder.add(o)
}

func (c *caller) readResponse(method string, o *requestOutcome) error {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	o.status, o.body, o.signature = r.StatusCode, string(body), r.Header.Get(platform.HeaderServerStamp)
	if r.Close {
		c.closeConnection()
	}
	return nil
}
