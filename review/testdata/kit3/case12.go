package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

func init() { cases[12] = entryOfAnotherWriter }

// entryOfAnotherWriter: another writer replaces the entry of a backend by one in which
// fields are missing, and which names another service. The backend's own next heartbeat
// replaces it again.
func entryOfAnotherWriter(w *world, trouble bool) (int, error) {
	const enrolment, catalogue = "iscrizioni-svc", "catalogue"
	w.store.Put(wiresite.ConfigKey, wiresite.Config(1, enrolment, wiresite.Route{Segment: "iscrizione", Timeout: routeTimeout},
		wiresite.Route{Segment: "corsi", Service: catalogue, Idempotent: true, Timeout: routeTimeout}))
	var away atomic.Bool
	var backends []*backend
	for i := range 12 {
		service, slots := enrolment, 3
		if i >= 6 {
			service, slots = catalogue, 5
		}
		b, err := w.newBackend(fmt.Sprintf("i-%04d", 7100+i), service, zoneNames[i%6], slots, 200*time.Millisecond)
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
	enrolments, lookups := &clients{w: w, prefix: "e"}, &clients{w: w, prefix: "c"}
	stop := make(chan struct{})
	go enrolments.run(24, http.MethodPost, "/iscrizione/new", 48, stop)
	go lookups.run(24, http.MethodGet, "/corsi/list", 48, stop)
	time.Sleep(6 * time.Second)
	for i := range 3 {
		b := backends[6+i]
		b.awaitBeat()
		time.Sleep(50 * time.Millisecond)
		if trouble {
			// Missing are version, coldLeft, sequence and born.
			entry, err := json.Marshal(map[string]any{"address": b.listener.Addr().String(),
				"details": map[string]any{"service": enrolment, "zone": b.zone, "concurrency": b.slots},
				"status":  map[string]any{"state": "ready"}})
			if err != nil {
				return 0, err
			}
			w.store.Put(wiresite.TargetKey(b.id), entry)
			w.record.add("another writer replaces the entry of %s (service %s): %s", b.id, b.service, entry)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	enrolments.pending.Wait()
	lookups.pending.Wait()
	return w.foreignRuns(backends, map[string]*clients{enrolment: enrolments, catalogue: lookups}), nil
}

// foreignRuns counts the requests that a backend of another service ran.
func (w *world) foreignRuns(backends []*backend, byService map[string]*clients) int {
	broken := 0
	for service, c := range byService {
		outcomes := map[string]outcome{}
		for _, o := range c.seen() {
			outcomes[o.id] = o
		}
		for _, b := range backends {
			for _, a := range b.seen() {
				o, known := outcomes[a.id]
				if !known || !a.ran || b.service == service {
					continue
				}
				broken++
				w.record.add("BROKEN: %s, sent to %s at %s on a route to %s, was run at %s by %s, a backend of %s; the client got %d",
					a.id, o.node, w.record.at(o.sent), service, w.record.at(a.at), b.id, b.service, o.status)
			}
		}
	}
	return broken
}
