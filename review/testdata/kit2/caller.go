package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// objectCookie is the name of the cookie with the object of a request.
var objectCookie = strings.Replace(platform.HeaderRequestID, "Request-Id", "Affinity-Key", 1)

// caller sends one request at a time on a kept connection.
type caller struct {
	w        *world
	zone     string
	address  string // Of the kept connection.
	conn     net.Conn
	reader   *bufio.Reader
	known    []string // Addresses of the last look-up.
	lookedUp time.Time
}

// answer is what a caller got for a request.
type answer struct {
	id      string
	machine string // Front address.
	sent    time.Time
	status  int // 0: no complete answer.
	header  http.Header
	body    string
}

var nextID atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), nextID.Add(1)) }

// lookUp asks the directory of the zone's machine where to connect.
func (c *caller) lookUp() {
	if time.Since(c.lookedUp) < time.Second && len(c.known) > 0 {
		return
	}
	client := http.Client{Timeout: time.Second}
	for _, n := range c.w.nodes {
		if n.zone != c.zone {
			continue
		}
		resp, err := client.Get("http://" + net.JoinHostPort(n.host, directoryPort) + platform.Codec{}.ResolvePath() + "?name=" + wiresite.Host + "&region=" + regions[c.zone] + "&zone=" + c.zone)
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&found)
		_ = resp.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			c.known, c.lookedUp = found.Addresses, time.Now()
		}
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// send sends a request and waits for its answer.
func (c *caller) send(method, path, object, body string, deadline time.Duration) answer {
	c.lookUp()
	a := answer{id: newID(), sent: time.Now()}
	if c.conn == nil {
		if len(c.known) == 0 {
			return a
		}
		c.address = c.known[rand.IntN(len(c.known))]
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a.machine, a.sent = c.address, time.Now()
	_ = c.conn.SetDeadline(a.sent.Add(deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, wiresite.Host, platform.HeaderRequestID, a.id, platform.HeaderDeadline, deadline.Milliseconds())
	if object != "" {
		fmt.Fprintf(&head, "Cookie: %s=%s\r\n", objectCookie, object)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		c.close()
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return a
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return a
	}
	a.status, a.header, a.body = resp.StatusCode, resp.Header, string(content)
	if resp.Close {
		c.close()
	}
	return a
}

// load sends requests at a mean rate with one caller until ctx ends.
func (w *world) load(ctx context.Context, zone string, perS float64, path func() (string, string), each func(answer)) {
	c := &caller{w: w, zone: zone}
	defer c.close()
	for ctx.Err() == nil {
		started := time.Now()
		p, object := path()
		a := c.send(http.MethodGet, p, object, "", 2500*time.Millisecond)
		each(a)
		sleepOr(ctx, time.Duration(rand.ExpFloat64()/perS*float64(time.Second))-time.Since(started))
	}
}
