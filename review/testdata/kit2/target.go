package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// headerLeaving is the name on the page of news.
const headerLeaving = "Server-Leaving"

// target is a target. It serves one request at a time on a connection.
type target struct {
	w             *world
	service, zone string
	address       string
	slots, queue  int
	work          time.Duration
	spread        float64                  // Of work, as a standard deviation of its logarithm.
	crashes       func(*http.Request) bool // The request crashes the target.
	losesAnswer   func() bool              // The connection is reset after the execution.
	onArrival     func(t *target, id, path string)
	onRun         func(t *target, id, path string)
	downFor       time.Duration // After a crash.

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	running  int
	waiting  int
	leaving  bool // Stated in all answers; no more heartbeats.
	dead     bool
	conns    map[net.Conn]struct{}
	listener net.Listener
	free     chan struct{}
}

func (w *world) addTarget(t *target) error {
	t.w = w
	t.address = net.JoinHostPort(loopback.Host(), targetPort)
	if err := t.start(); err != nil {
		return err
	}
	go func() {
		for {
			time.Sleep(heartbeat)
			t.beat()
			t.removeAgain()
		}
	}()
	return nil
}

// start starts a new incarnation.
func (t *target) start() error {
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.id, t.born, t.sequence = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0
	t.dead, t.running, t.waiting, t.conns, t.listener = false, 0, 0, map[net.Conn]struct{}{}, listener
	t.free = make(chan struct{}, t.slots)
	for range t.slots {
		t.free <- struct{}{}
	}
	t.mu.Unlock()
	server := &http.Server{Handler: t, IdleTimeout: 10 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		t.mu.Lock()
		defer t.mu.Unlock()
		switch state {
		case http.StateNew:
			t.conns[c] = struct{}{}
		case http.StateClosed:
			delete(t.conns, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.beat()
	return nil
}

func (t *target) key() string { return wiresite.TargetKey(t.id) }

// beat writes the target's entry.
func (t *target) beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dead || t.leaving {
		return
	}
	t.sequence++
	coldLeft := max(0, 3*time.Second-time.Since(time.UnixMilli(t.born)))
	record := render("entry", map[string]any{"Address": t.address, "Born": t.born, "Service": t.service, "Zone": t.zone, "Slots": t.slots,
		"Sequence": t.sequence, "ColdMs": coldLeft.Milliseconds()})
	t.w.put(t.key(), record)
}

// leave removes the target's entry. The target serves on, and says in all answers that
// it is leaving.
func (t *target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.w.remove(t.key())
	t.leaving = true
	t.w.record.write("target %s removes its entry and is leaving", t.id)
}

// removeAgain removes the entry of a target that is leaving if it is there again: after
// a drill the targets write again what they had written.
func (t *target) removeAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving && t.w.removeIfPresent(t.key()) {
		t.w.record.write("target %s removes its entry again", t.id)
	}
}

// crash ends the process of the target and starts it again after downFor.
func (t *target) crash() {
	t.mu.Lock()
	if t.dead {
		t.mu.Unlock()
		return
	}
	t.dead = true
	_ = t.listener.Close()
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	t.mu.Unlock()
	time.AfterFunc(t.downFor, func() {
		if err := t.start(); err != nil {
			t.w.record.write("target at %s does not start again: %v", t.address, err)
		}
	})
}

func (t *target) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	header := rw.Header()
	id := r.Header.Get(platform.HeaderRequestID)
	t.mu.Lock()
	self, free := t.id, t.free
	t.mu.Unlock()
	if r.URL.Path == "/health" {
		header.Set(strings.Replace(platform.HeaderRequestID, "Request-Id", "Instance-Id", 1), self)
		t.state(header)
		return
	}
	header.Set(platform.HeaderRequestID, id)
	reject := func(status int) {
		header.Set(platform.HeaderNotExecuted, "1")
		t.state(header)
		rw.WriteHeader(status)
	}
	switch expected := r.Header.Get(platform.HeaderExpectTarget); {
	case expected != "" && expected != self:
		reject(http.StatusMisdirectedRequest)
		return
	case id == "":
		reject(http.StatusBadRequest)
		return
	}
	if t.onArrival != nil {
		t.onArrival(t, id, r.URL.Path)
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !t.acquire(ctx, free) {
		reject(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
		free <- struct{}{}
	}()
	if t.onRun != nil {
		t.onRun(t, id, r.URL.Path)
	}
	if t.crashes != nil && t.crashes(r) {
		t.crash()
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(t.workTime()):
	case <-ctx.Done():
		t.state(header)
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if t.losesAnswer != nil && t.losesAnswer() {
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	t.state(header)
	header.Set(platform.HeaderServerStamp, stampOf(self))
	_, _ = fmt.Fprintf(rw, "%s by %s", id, self)
}

// stampOf returns the signature of a target.
func stampOf(id string) string { return "st." + id }

// workTime returns the time of one run, with the spread of the site's classes.
func (t *target) workTime() time.Duration {
	return time.Duration(float64(t.work) * math.Exp(t.spread*rand.NormFloat64()))
}

// state adds to an answer what the target states in all answers.
func (t *target) state(header http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	header.Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.slots))
	if t.leaving {
		header.Set(headerLeaving, "1")
	}
}

// acquire takes a slot. It reports false if the queue is full or the request is given
// up before.
func (t *target) acquire(ctx context.Context, free chan struct{}) bool {
	select {
	case <-free:
	default:
		t.mu.Lock()
		if t.waiting >= t.queue {
			t.mu.Unlock()
			return false
		}
		t.waiting++
		t.mu.Unlock()
		got := false
		select {
		case <-free:
			got = true
		case <-ctx.Done():
		}
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
		if !got {
			return false
		}
	}
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	return true
}
