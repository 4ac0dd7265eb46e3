package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

const (
	slots, queue = 5, 15
)

// poison: a request that crashes each target that begins to run it comes again every
// few seconds, on a route that is split over three services.
func poison(w *world, trouble bool) (bool, error) {
	const (
		interval   = 4 * time.Second
		sends      = 10
		poisonPath = "/publish/release-7"
		poisonBody = "name=mould&version=7"
		allowed    = 3 // Retries that may reach a target later than stability after the third crash.
	)
	services := []string{"archivio", "indice", "titolarita"}
	var mu sync.Mutex
	var crashes []time.Time
	type arrival struct {
		at time.Time
		id string
	}
	var arrivals []arrival
	lost := 0
	for _, service := range services {
		for _, zone := range zones {
			err := w.addTarget(&target{service: service, zone: zone, slots: slots, queue: queue, work: 150 * time.Millisecond, downFor: 3 * time.Second,
				crashes: func(r *http.Request) bool { return trouble && r.URL.Path == poisonPath },
				onRun: func(t *target, id, path string) {
					if path != poisonPath {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					arrivals = append(arrivals, arrival{time.Now(), id})
					if trouble {
						crashes = append(crashes, time.Now())
					}
					w.record.write("request %s runs at target %s of %s; crash %d", id, t.id, t.service, len(crashes))
				}})
			if err != nil {
				return false, err
			}
		}
	}
	w.store.Put(wiresite.ConfigKey, config(3, route{"publish", "unsafe", 2, false, services},
		route{"archivio", "safe", 2, false, services[:1]}, route{"indice", "safe", 2, false, services[1:2]}, route{"titolarita", "safe", 2, false, services[2:]}))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	total := 0
	for _, zone := range zones {
		for _, service := range services {
			go w.load(ctx, zone, 5, func() (string, string) { return "/" + service + "/read", "" }, func(a answer) {
				mu.Lock()
				defer mu.Unlock()
				total++
				if a.status != 200 && a.status != 503 {
					lost++
				}
			})
		}
	}
	time.Sleep(stability + time.Second) // All machines are in touch.
	c := &caller{w: w, zone: zones[0]}
	for range sends {
		a := c.send(http.MethodPost, poisonPath, "", poisonBody, 3*time.Second)
		w.record.write("request %s sent to %s: answer %d", a.id, a.machine, a.status)
		c.close()
		time.Sleep(interval - time.Since(a.sent))
	}
	mu.Lock()
	defer mu.Unlock()
	w.record.write("%d other requests, %d without a success or a refusal", total, lost)
	if len(crashes) < 3 {
		if !trouble && len(arrivals) < sends {
			return false, fmt.Errorf("%d of %d requests ran", len(arrivals), sends)
		}
		return true, nil
	}
	late := 0
	for _, a := range arrivals {
		if a.at.After(crashes[2].Add(stability)) {
			late++
		}
	}
	w.record.write("%d crashes; %d retries reached targets later than %v after the third one; allowed are %d", len(crashes), late, stability, allowed)
	return late <= allowed, nil
}

// leaving: targets that leave without reporting it say so in their answers; then the
// store comes back from a copy that still holds their entries.
func leaving(w *world, trouble bool) (bool, error) {
	const (
		leavers = 2               // Of twelve.
		copyAge = 4 * time.Second // At the store's return.
		away    = 500 * time.Millisecond
		after   = 3 * time.Second // From the start of the leaving to the drill.
	)
	var mu sync.Mutex
	sent := map[string]answerKey{} // Requests by ID.
	type arrival struct{ target, id string }
	var arrivals []arrival
	var leave []*target
	for i, zone := range append(append([]string{}, zones...), zones...) {
		t := &target{service: "catalogue", zone: zone, slots: slots, queue: queue, work: 250 * time.Millisecond, downFor: time.Hour}
		if i%len(zones) == 0 && len(leave) < leavers {
			leave = append(leave, t)
			t.onArrival = func(t *target, id, _ string) {
				t.mu.Lock()
				leaving := t.leaving
				t.mu.Unlock()
				if leaving {
					mu.Lock()
					arrivals = append(arrivals, arrival{t.id, id})
					mu.Unlock()
				}
			}
		}
		if err := w.addTarget(t); err != nil {
			return false, err
		}
	}
	content := config(3, route{"corsi", "safe", 2, true, []string{"catalogue"}})
	w.store.Put(wiresite.ConfigKey, content)
	if err := w.startNodes(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	passedOn := map[[2]string]time.Time{} // First answer with the statement, by machine and stamp.
	for _, zone := range zones {
		for range 10 {
			go w.load(ctx, zone, 3, func() (string, string) {
				object := fmt.Sprint(rand.IntN(36))
				return "/corsi/" + object, object
			}, func(a answer) {
				mu.Lock()
				defer mu.Unlock()
				sent[a.id] = answerKey{a.machine, a.sent}
				if a.status == http.StatusOK && a.header.Get(headerLeaving) == "1" {
					key := [2]string{a.machine, a.header.Get(platform.HeaderServerStamp)}
					if _, ok := passedOn[key]; !ok {
						passedOn[key] = time.Now()
					}
					w.record.write("machine %s passes on the answer to %s, with %s: 1, %s", a.machine, a.id, headerLeaving, key[1])
				}
			})
		}
	}
	time.Sleep(8 * time.Second)
	for _, t := range leave {
		t.beat()
		t.leave()
	}
	time.Sleep(after)
	if trouble {
		w.restore(time.Now().Add(away-copyAge), away, content)
	} else {
		time.Sleep(away)
	}
	time.Sleep(5 * time.Second)
	cancel()
	time.Sleep(2600 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if len(passedOn) == 0 {
		return false, fmt.Errorf("no machine passed on a statement")
	}
	late := 0
	for _, a := range arrivals {
		request, ok := sent[a.id]
		if !ok {
			continue
		}
		stated, ok := passedOn[[2]string{request.machine, stampOf(a.target)}]
		if ok && request.sent.After(stated.Add(drain)) {
			late++
			w.record.write("request %s, sent %d ms after machine %s had passed on the statement of %s, reached it from there", a.id, request.sent.Sub(stated).Milliseconds(), request.machine, a.target)
		}
	}
	w.record.write("statements were passed on by %d pairs of a machine and a target; %d requests arrived at targets since they left, %d of them sent later than %v after the machine had passed on the statement",
		len(passedOn), len(arrivals), late, drain)
	return late == 0, nil
}

type answerKey struct {
	machine string
	sent    time.Time
}

// attempts: targets lose the answers of a part of the requests that they ran.
func attempts(w *world, trouble bool) (bool, error) {
	const (
		maxAttempts = 2
		lostShare   = 0.4 // Of the requests that a target of lossyShare runs.
		lossyShare  = 0.6
		duration    = 4 * time.Second
		rounds      = 9
		pause       = 4 * time.Second
		allowed     = 3
	)
	var mu sync.Mutex
	runs := map[string]map[string]bool{} // Targets by request ID.
	lossy := false
	for i, zone := range append(append([]string{}, zones...), zones...) {
		faulty := i < int(lossyShare*float64(2*len(zones)))
		t := &target{service: "catalogue", zone: zone, slots: slots, queue: queue, work: 144 * time.Millisecond, spread: 0.15, downFor: time.Hour,
			losesAnswer: func() bool {
				mu.Lock()
				defer mu.Unlock()
				return lossy && faulty && rand.Float64() < lostShare
			},
			onRun: func(t *target, id, _ string) {
				mu.Lock()
				defer mu.Unlock()
				if runs[id] == nil {
					runs[id] = map[string]bool{}
				}
				runs[id][t.id] = true
			}}
		if err := w.addTarget(t); err != nil {
			return false, err
		}
	}
	w.store.Put(wiresite.ConfigKey, config(3, route{"corsi", "safe", maxAttempts, false, []string{"catalogue"}}))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := map[int]int{}
	for _, zone := range zones {
		for range 12 {
			go w.load(ctx, zone, 3, func() (string, string) { return fmt.Sprintf("/corsi/%d", rand.IntN(36)), "" }, func(a answer) {
				mu.Lock()
				defer mu.Unlock()
				answers[a.status]++
			})
		}
	}
	setLossy := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		lossy = on
		w.record.write("answers are lost: %v", on)
	}
	time.Sleep(12 * time.Second) // The targets are warm.
	for range rounds {
		setLossy(trouble)
		time.Sleep(duration)
		setLossy(false)
		time.Sleep(pause)
	}
	cancel()
	time.Sleep(2600 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	over := 0
	for id, targets := range runs {
		if len(targets) > maxAttempts {
			over++
			var names []string
			for name := range targets {
				names = append(names, name)
			}
			w.record.write("request %s ran on %d targets: %s", id, len(targets), strings.Join(names, " "))
		}
	}
	w.record.write("%d requests ran; answers by status %v; %d ran on more than %d targets; allowed are %d", len(runs), answers, over, maxAttempts, allowed)
	return over <= allowed, nil
}
