package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// crashingRequest: one request crashes each backend that runs it, and comes again with
// the same path, caller and body at any instance. Meanwhile the instances are stopped
// and started in turn, twice.
func crashingRequest(dir string) { playCrashes(dir, 72*time.Second, 200*time.Millisecond, 2, false) }

// crashInAnswer: the same without stops, and the backend has begun its answer when it
// crashes.
func crashInAnswer(dir string) { playCrashes(dir, 40*time.Second, time.Second, 0, true) }

// playCrashes plays for some time. The request comes again after a pause. rolls is how
// often all instances are stopped and started in turn.
func playCrashes(dir string, playTime, pause time.Duration, rolls int, inAnswer bool) {
	const (
		stability = 3 * time.Second
		deadline  = 3 * time.Second
	)
	e := newEnv(dir, map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	var backends []*backend
	for i := range 9 {
		backends = append(backends, e.addBackend(fmt.Sprintf("i-%d", i+1), "booking", []string{"a1", "b1", "c1"}[i%3], 8, 100*time.Millisecond))
	}
	e.configure(1, []string{"booking"}, route{Name: "book", Prefix: "/book/", Kind: "unsafe", Service: "booking", Timeout: "2500ms", Goal: "600ms", Attempts: 2})
	e.addNodes("a1", "b1", "c1", "a1", "b1", "c1")
	e.awaitServing("/book/warm-up")
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	crashes := map[string][]time.Time{} // By path.
	for _, b := range backends {
		b.respond = func(b *backend, c net.Conn, _ *http.Request, a arrival) bool {
			if !e.trouble || !strings.HasPrefix(a.uri, "/book/crash") {
				return false
			}
			mu.Lock()
			crashes[a.uri] = append(crashes[a.uri], time.Now())
			mu.Unlock()
			if inAnswer {
				_, _ = io.WriteString(c, b.head(a, 200)+stamp(a)+"Content-Length: 2000\r\n\r\n"+strings.Repeat("part of the answer\n", 50))
				time.Sleep(20 * time.Millisecond)
			}
			b.crash(3 * time.Second)
			return true
		}
	}
	end := time.Now().Add(playTime)
	var wg sync.WaitGroup
	for i := range 8 { // Other clients.
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
				e.send(e.nodes[(i+rand.IntN(2))%len(e.nodes)].front(), "POST", "/book/"+nextID(), []byte("seat"), deadline)
			}
		}()
	}
	disturbed := map[string][]time.Time{} // SIGTERMs and starts by instance.
	isDisturbed := func(n *node, at time.Time) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, t := range disturbed[n.name] {
			if at.After(t.Add(-100*time.Millisecond)) && at.Before(t.Add(stability+time.Second)) {
				return true
			}
		}
		return false
	}
	note := func(n *node) {
		mu.Lock()
		defer mu.Unlock()
		disturbed[n.name] = append(disturbed[n.name], time.Now())
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(8 * time.Second)
		for i := range rolls * len(e.nodes) {
			n := e.nodes[i%len(e.nodes)]
			e.note("SIGTERM to %s", n.name)
			note(n)
			n.signal(syscall.SIGTERM)
			if !n.wait(6 * time.Second) { // The grace of the deployment.
				n.signal(syscall.SIGKILL)
				n.wait(time.Second)
			}
			note(n)
			n.writeSettings(false)
			n.run()
			time.Sleep(1300 * time.Millisecond)
		}
	}()
	repeats := 0
	sentBy := map[string]*node{}
	for time.Now().Before(end) { // The request that crashes backends.
		n := e.nodes[rand.IntN(len(e.nodes))]
		if !isDisturbed(n, time.Now()) { // Only what instances in touch do counts.
			sentBy[e.send(n.front(), "POST", "/book/crash", []byte("the same body"), deadline).id] = n
			repeats++
		}
		time.Sleep(pause)
	}
	wg.Wait()
	crashed := crashes["/book/crash"]
	late := map[string]bool{} // Attempts of the client.
	if len(crashed) >= 3 {
		from := crashed[2].Add(stability)
		e.note("third crash; what counts begins %.3f", from.Sub(e.start).Seconds())
		for _, b := range backends {
			for _, a := range b.kept() {
				if n := sentBy[a.id]; n != nil && a.uri == "/book/crash" && a.at.After(from) && !isDisturbed(n, a.at) {
					late[a.id] = true
					e.note("BUDGET: %s reached backend %s %.3f s after the third crash, sent by %s", a.id, b.id, a.at.Sub(crashed[2]).Seconds(), n.name)
				}
			}
		}
	}
	e.finish(len(late) > 3, fmt.Sprintf("request sent %d times, %d crashes; reached backends in %d retries later than stability after the third crash, sent by instances in touch (more than 3 break the rule)", repeats, len(crashed), len(late)))
}
