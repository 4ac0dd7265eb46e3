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
	requestDeadline = 2 * time.Second
	callerPause     = 15 * time.Millisecond
	objects         = 20 // Different objects that requests concern.
)

// told is what a caller was told about a request.
type told struct {
	id         string
	idempotent bool
	instance   *instance
	status     int // 0 when the connection ended without an answer.
	body       string
	stamp      string
	version    int // Of the configuration whose route the request used.
	sent, done time.Time
}

// notRun reports whether the status promises that the request was not executed.
func (o told) notRun() bool {
	return o.status == 408 || o.status == 421 || o.status == 429 || o.status == 503
}

// recorder collects what callers were told.
type recorder struct {
	mu   sync.Mutex
	list []told
}

func (r *recorder) add(o told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, o)
}

func (r *recorder) all() []told {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]told(nil), r.list...)
}

// caller sends requests on kept connections, which it uses until they end.
type caller struct {
	run    *Run
	name   string
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	at     *instance
}

func (c *caller) loop(ctx context.Context) {
	defer c.drop()
	for n := 0; ctx.Err() == nil; n++ {
		c.request(fmt.Sprintf("%s-%d", c.name, n))
		time.Sleep(callerPause)
	}
}

func (c *caller) drop() {
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
	c.at = c.run.instances[c.random.IntN(len(c.run.instances))]
	conn, err := net.DialTimeout("tcp", wiresite.CallerAddress(c.at.host), 500*time.Millisecond)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) request(id string) {
	if !c.connect() {
		return
	}
	o := told{id: id, idempotent: c.random.IntN(2) == 0, instance: c.at, version: int(c.run.version.Load()), sent: time.Now()}
	method, path, body := "POST", "/unsafe/"+id, "body of "+id
	if o.idempotent {
		method, path, body = "GET", "/safe/"+id, ""
	}
	_ = c.conn.SetDeadline(o.sent.Add(requestDeadline + time.Second))
	_, err := io.WriteString(c.conn, wiresite.Request(method, path, id, fmt.Sprint(c.random.IntN(objects)), body, requestDeadline))
	if err == nil {
		err = c.receive(method, &o)
	}
	o.done = time.Now()
	if err != nil {
		o.status = 0
		c.drop()
	}
	c.run.recorder.add(o)
}

func (c *caller) receive(method string, o *told) error {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	o.status, o.body, o.stamp = r.StatusCode, string(body), r.Header.Get(platform.HeaderServerStamp)
	if r.Close {
		c.drop()
	}
	return nil
}
