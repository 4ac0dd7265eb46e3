package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

func init() { cases[14] = drillDuringEvacuation }

const (
	evacBound = 5 * time.Second
	// rewriteDelay is the time from the store's return until the operator, who has seen
	// the new era, has written its evacuation again.
	rewriteDelay = 4 * time.Second
)

// drillDuringEvacuation: a zone is evacuated, the store has accepted it and all machines
// keep to it. Then the store comes back from a copy that is older than the evacuation,
// and some seconds later the operator writes it again.
func drillDuringEvacuation(w *world, trouble bool) (int, error) {
	const service = "iscrizioni-svc"
	w.store.Put(wiresite.ConfigKey, wiresite.Config(1, service, wiresite.Route{Segment: "iscrizione", Timeout: routeTimeout}))
	var away atomic.Bool
	var backends []*backend
	for i := range 12 {
		b, err := w.newBackend(fmt.Sprintf("i-%04d", 7100+i), service, zoneNames[i%6], 3, 200*time.Millisecond)
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
	go c.run(24, http.MethodPost, "/iscrizione/new", 48, stop)
	time.Sleep(5 * time.Second)

	const zone = "ct-ognina"
	before := time.Now()
	w.store.Put(wiresite.EvacuationKey(zone), []byte("{}"))
	acknowledged := time.Now()
	w.record.add("the operator evacuates %s, the store has accepted it", zone)
	time.Sleep(2 * time.Second)
	returned := time.Time{}
	if trouble {
		away.Store(true)
		w.record.add("the store is away")
		copied := before.Add(-500 * time.Millisecond)
		w.store.Restore(time.Since(copied), time.Second)
		away.Store(false)
		w.record.add("the store is back from a copy of %s", w.record.at(copied))
		returned = time.Now()
		time.Sleep(rewriteDelay)
		w.store.Put(wiresite.EvacuationKey(zone), []byte("{}"))
		w.record.add("the operator has written the evacuation again")
	} else {
		time.Sleep(time.Second + rewriteDelay)
	}
	rewritten := time.Now()
	time.Sleep(2 * time.Second)
	close(stop)
	c.pending.Wait()
	return w.evacuatedArrivals(c, backends, zone, acknowledged, returned, rewritten), nil
}

// evacuatedArrivals counts the requests that reached backends of an evacuated zone later
// than evac after the acknowledgement, from machines in touch: later than stability
// after the store's return.
func (w *world) evacuatedArrivals(c *clients, backends []*backend, zone string, acknowledged, returned, end time.Time) int {
	outcomes := map[string]outcome{}
	for _, o := range c.seen() {
		outcomes[o.id] = o
	}
	broken := 0
	for _, b := range backends {
		for _, a := range b.seen() {
			o, known := outcomes[a.id]
			if !known || b.zone != zone || a.status == http.StatusMisdirectedRequest || a.at.After(end) ||
				!a.at.After(acknowledged.Add(evacBound)) || !a.at.After(returned.Add(stabilityBound)) {
				continue
			}
			broken++
			w.record.add("BROKEN: %s, sent to %s at %s, reached %s in the evacuated zone %s at %s", a.id, o.node, w.record.at(o.sent), b.id, zone, w.record.at(a.at))
		}
	}
	return broken
}
