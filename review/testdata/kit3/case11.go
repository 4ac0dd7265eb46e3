package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

func init() { cases[11] = stopWithSlowBackends }

const (
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 6 * time.Second
	// uploadDeadline is the deadline of the clients' uploads.
	uploadDeadline = 5 * time.Second
	// uploadBytes is the size of the uploads.
	uploadBytes = 300 << 10
)

// stopWithSlowBackends: a machine is stopped as planned while uploads are on their way
// through it to backends that read slowly.
func stopWithSlowBackends(w *world, trouble bool) (int, error) {
	const service = "repovault"
	w.store.Put(wiresite.ConfigKey, wiresite.Config(1, service, wiresite.Route{Segment: "snapshot", Timeout: uploadDeadline}))
	var away atomic.Bool
	var backends []*backend
	for i := range 8 {
		b, err := w.newBackend(fmt.Sprintf("i-%04d", 7100+i), service, zoneNames[i%4], 4, 300*time.Millisecond)
		if err != nil {
			return 0, err
		}
		if trouble {
			b.readPause = 800 * time.Millisecond
		}
		b.report()
		go b.beat(away.Load)
		backends = append(backends, b)
	}
	if err := w.startNodes(4); err != nil {
		return 0, err
	}
	c := &clients{w: w, prefix: "u", body: strings.Repeat("snapshot", uploadBytes/8), deadline: uploadDeadline}
	stop := make(chan struct{})
	go c.run(4, http.MethodPost, "/snapshot/new", 24, stop)
	time.Sleep(6 * time.Second)
	stopped := w.nodes[0]
	w.signal(stopped, syscall.SIGTERM)
	terminated := time.Now()
	time.Sleep(2500 * time.Millisecond)
	c.leave(stopped) // It is not in the answers of the directory any more.
	select {
	case <-stopped.exited:
		w.record.add("machine %s has ended", stopped.name)
	case <-time.After(gracePeriod):
	}
	time.Sleep(time.Second)
	close(stop)
	c.pending.Wait()
	return w.brokenOff(c, backends, stopped, terminated), nil
}

// brokenOff counts the requests at which a backend was at work and that the machine broke
// off after the SIGTERM, with an answer of its own in the place of the backend's. Not
// counted are those whose deadline was reached, those whose backend was still at work in
// the last sixth of grace, and those that were sent later than 3 s after the SIGTERM.
func (w *world) brokenOff(c *clients, backends []*backend, stopped *node, terminated time.Time) int {
	arrivals := map[string]arrival{}
	for _, b := range backends {
		for _, a := range b.seen() {
			arrivals[a.id] = a
		}
	}
	broken := 0
	for _, o := range c.seen() {
		a, reached := arrivals[o.id]
		if o.node != stopped.name || !reached || !a.ran || a.finished || a.cutAt.IsZero() || o.stamped {
			continue
		}
		if o.ended.Before(terminated) || o.sent.After(terminated.Add(3*time.Second)) || o.ended.Sub(o.sent) > uploadDeadline-500*time.Millisecond ||
			!o.ended.Before(terminated.Add(gracePeriod*5/6)) {
			continue
		}
		broken++
		w.record.add("BROKEN: %s, sent at %s to %s, which got SIGTERM at %s; a backend was at work on it from %s; the client got %d at %s, %d ms after it had sent it",
			o.id, w.record.at(o.sent), o.node, w.record.at(terminated), w.record.at(a.at), o.status, w.record.at(o.ended), o.ended.Sub(o.sent).Milliseconds())
	}
	return broken
}
