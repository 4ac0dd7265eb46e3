package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashingRequest: one request crashes each backend that runs it, and comes again
// with the same path, caller and body at any instance.
func crashingRequest(dir string) { playCrashes(dir, 75*time.Second, 100*time.Millisecond, 3, false) }

// crashInAnswer: the same, and the backend has begun its answer when it crashes.
func crashInAnswer(dir string) { playCrashes(dir, 40*time.Second, time.Second, 1, true) }

// playCrashes plays for some time. The request comes again from each of the callers
// after a pause.
func playCrashes(dir string, playTime, pause time.Duration, callers int, inAnswer bool) {
	const (
		stability = 3 * time.Second
		deadline  = 3 * time.Second
	)
	e := newEnv(dir, map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	var backends []*backend
	for i := range 6 {
		backends = append(backends, e.addBackend(fmt.Sprintf("i-%d", i+1), "booking", []string{"a1", "b1", "c1"}[i%3], 8, 100*time.Millisecond))
	}
	e.configure(1, []string{"booking"}, route{Name: "book", Prefix: "/book/", Kind: "unsafe", Service: "booking", Timeout: "2500ms", Goal: "600ms", Attempts: 2})
	e.addNodes("a1", "b1", "c1", "a1", "b1", "c1")
	e.awaitServing("/book/warm-up")
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var crashes []time.Time
	for _, b := range backends {
		b.respond = func(b *backend, c net.Conn, _ *http.Request, a arrival) bool {
			if !e.trouble || !strings.HasPrefix(a.uri, "/book/crash") {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
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
	repeats := 0
	for range callers { // The request that crashes backends.
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				e.send(e.nodes[rand.IntN(len(e.nodes))].front(), "POST", "/book/crash", []byte("the same body"), deadline)
				mu.Lock()
				repeats++
				mu.Unlock()
				time.Sleep(pause)
			}
		}()
	}
	wg.Wait()
	late := map[string]bool{}
	if len(crashes) >= 3 {
		from := crashes[2].Add(stability)
		e.note("third crash; what counts begins %.3f", from.Sub(e.start).Seconds())
		for _, b := range backends {
			for _, a := range b.kept() {
				if strings.HasPrefix(a.uri, "/book/crash") && a.at.After(from) {
					late[a.id] = true
				}
			}
		}
	}
	broken := len(late) > 3
	e.finish(broken, fmt.Sprintf("request sent %d times, %d crashes, reached backends in %d retries later than stability after the third crash (more than 3 break the rule)", repeats, len(crashes), len(late)))
}
