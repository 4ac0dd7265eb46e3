package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id    string
	node  string
	sent  time.Time
	ended time.Time
	answer
}

// answer is what a client got.
type answer struct {
	status  int // 0: the connection ended without a whole answer.
	stamped bool
	leaving string // ID of the backend that says in its answer that it leaves, or "".
	note    string
}

// clients sends requests and keeps what they saw.
type clients struct {
	w        *world
	prefix   string               // Of the request IDs.
	body     string               // Of POST requests; empty for a short one.
	deadline time.Duration        // Zero for clientDeadline.
	left     atomic.Pointer[node] // Gets no requests any more.
	mu       sync.Mutex
	outcomes []outcome
	count    int
	pending  sync.WaitGroup
}

// send makes one attempt on a new connection.
func (c *clients) send(n *node, method, path, object, body string) {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("%s%05d", c.prefix, c.count)
	c.mu.Unlock()
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		o := outcome{id: id, node: n.name, sent: time.Now()}
		c.w.record.add("client sends %s to %s", id, n.name)
		o.answer = exchange(n, wiresite.Request(method, path, id, object, body, c.timeLeft()), c.timeLeft())
		o.ended = time.Now()
		c.w.record.add("client gets %d for %s from %s %s", o.status, id, n.name, o.note)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	}()
}

func exchange(n *node, request string, within time.Duration) answer {
	raw, err := net.DialTimeout("tcp", n.frontAddress(), time.Second)
	if err != nil {
		return answer{note: "(no connection)"}
	}
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(within))
	if _, err := io.Copy(raw, strings.NewReader(request)); err != nil {
		return answer{note: "(not sent)"}
	}
	resp, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil {
		return answer{note: "(" + err.Error() + ")"}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return answer{note: "(cut: " + err.Error() + ")"}
	}
	got := answer{status: resp.StatusCode}
	if parts := strings.Split(resp.Header.Get(platform.HeaderServerStamp), "."); len(parts) == 3 {
		got.stamped = true
		if resp.Header.Get(leavingHeader) == "1" {
			got.leaving = parts[1]
		}
	}
	return got
}

// run sends requests at a steady rate to the nodes in turn until stop is closed.
func (c *clients) run(perSecond float64, method, path string, objects int, stop <-chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
			n := c.w.nodes[i%len(c.w.nodes)]
			if n == c.left.Load() {
				continue
			}
			body := ""
			if method == http.MethodPost {
				body = cmp.Or(c.body, "enrol")
			}
			c.send(n, method, path, fmt.Sprintf("o%d", (i*7)%objects), body)
		case <-stop:
			return
		}
	}
}

// timeLeft returns the deadline of the clients.
func (c *clients) timeLeft() time.Duration { return cmp.Or(c.deadline, clientDeadline) }

// leave makes the clients use a machine no more.
func (c *clients) leave(n *node) { c.left.Store(n) }

func (c *clients) seen() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}
