package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

func init() { cases[13] = drillAfterRestart }

// drillAfterRestart: a backend is started again under the id that it had, and is taken
// away soon after: it says in all its answers that it leaves, and machines pass such
// answers on. Then the store comes back from a copy that is older than the start, with
// the entry of the backend's earlier incarnation.
func drillAfterRestart(w *world, trouble bool) (int, error) {
	const service = "iscrizioni-svc"
	config := wiresite.Config(1, service, wiresite.Route{Segment: "iscrizione", Timeout: routeTimeout})
	w.store.Put(wiresite.ConfigKey, config)
	var away atomic.Bool
	var backends []*backend
	for i := range 12 {
		b, err := w.newBackend(fmt.Sprintf("i-%04d", 7100+i), service, zoneNames[i%6], 3, 400*time.Millisecond)
		if err != nil {
			return 0, err
		}
		b.report()
		go b.beat(away.Load)
		backends = append(backends, b)
	}
	if err := w.startNodes(6); err != nil {
		return 0, err
	}
	c := &clients{w: w, prefix: "e"}
	stop := make(chan struct{})
	go c.run(48, http.MethodPost, "/iscrizione/new", 144, stop)
	time.Sleep(6 * time.Second)

	// Three backends are started again in place, 0.3 s after they have ended.
	var leaving []*backend
	copied := time.Now()
	w.record.add("the copy of the store is made")
	for i := range 3 {
		backends[i].exit()
	}
	time.Sleep(300 * time.Millisecond)
	for i := range 3 {
		b, err := w.restart(backends[i])
		if err != nil {
			return 0, err
		}
		b.report()
		go b.beat(away.Load)
		w.record.add("backend %s has started again under its id", b.id)
		leaving = append(leaving, b)
	}
	time.Sleep(2500 * time.Millisecond)
	for _, b := range leaving {
		b.drain()
		w.record.add("backend %s leaves: it reports draining and says so in its answers", b.id)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.record.add("the store is away")
		away.Store(true)
		w.store.Restore(time.Since(copied), 300*time.Millisecond)
		w.store.Put(wiresite.ConfigKey, config)
		away.Store(false)
		w.record.add("the store is back from the copy, the operator has written again")
	} else {
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // All backends have written again with their next heartbeat.
	for _, b := range leaving {
		b.exit()
		w.record.add("backend %s ends", b.id)
	}
	time.Sleep(time.Second)
	close(stop)
	c.pending.Wait()
	broken := 0
	for _, b := range leaving {
		broken += w.arrivalsAfterStatement(c, b)
	}
	return broken, nil
}

// arrivalsAfterStatement counts the requests that clients sent later than drain after
// their machine had passed on an answer in which the backend says that it leaves, and
// that reached the backend from that machine.
func (w *world) arrivalsAfterStatement(c *clients, b *backend) int {
	outcomes := map[string]outcome{}
	passedOn := map[string]time.Time{} // When a machine first passed on such an answer.
	for _, o := range c.seen() {
		outcomes[o.id] = o
		if first, known := passedOn[o.node]; o.leaving == b.id && (!known || o.ended.Before(first)) {
			passedOn[o.node] = o.ended
		}
	}
	broken := 0
	for _, a := range b.seen() {
		o, known := outcomes[a.id]
		first, told := passedOn[o.node]
		if !known || !told || !o.sent.After(first.Add(drainBound)) || a.status == http.StatusMisdirectedRequest {
			continue
		}
		broken++
		w.record.add("BROKEN: %s, sent at %s, reached %s at %s from %s, which had passed on at %s an answer in which this backend says that it leaves; ran %v, the client got %d",
			a.id, w.record.at(o.sent), b.id, w.record.at(a.at), o.node, w.record.at(first), a.ran, o.status)
	}
	return broken
}
