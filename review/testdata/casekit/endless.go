package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// endlessAnswer: two of four backends send, for 5 in 100 of their answers, a body
// without end. Clients send a second safe request before the first is answered.
func endlessAnswer(dir string) {
	const (
		clients  = 24
		playTime = 70 * time.Second
		deadline = 3 * time.Second
	)
	e := newEnv(dir, map[string]string{"a1": "a", "a2": "a"})
	backends := map[string]*backend{}
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i+1)
		backends[id] = e.addBackend(id, "archive", []string{"a1", "a2"}[i%2], 8, 60*time.Millisecond)
	}
	e.configure(1, []string{"archive"}, route{Name: "history", Prefix: "/history/", Kind: "safe", Service: "archive", Timeout: "2500ms", Goal: "800ms", Attempts: 2})
	e.addNodes("a1", "a2")
	e.awaitServing("/history/warm-up")
	time.Sleep(4 * time.Second)
	endless := map[string]bool{} // IDs of requests that got such an answer.
	var mu sync.Mutex
	faulty := map[string]bool{"i-1": true, "i-2": true}
	respond := func(b *backend, c net.Conn, _ *http.Request, a arrival) bool {
		if !e.trouble || rand.Float64() >= 0.05 {
			return false
		}
		mu.Lock()
		endless[a.id] = true
		mu.Unlock()
		e.note("backend %s: endless body for %s", b.id, a.id)
		if _, err := io.WriteString(c, b.head(a, 200)+stamp(a)+"\r\n"); err != nil {
			return true
		}
		part := bytes.Repeat([]byte("noise\n"), 8000)
		for {
			if _, err := c.Write(part); err != nil { // Until the caller closes.
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for id := range faulty {
		backends[id].respond = respond
	}
	type lost struct{ node, id string }
	var losses []lost
	var sent, whole int
	var wg sync.WaitGroup
	end := time.Now().Add(playTime)
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := e.nodes[i%len(e.nodes)]
			for time.Now().Before(end) {
				pairs, cut := e.pipelinePairs(n.front(), end, deadline, 400*time.Millisecond)
				mu.Lock()
				sent += 2 * pairs
				whole += 2 * pairs
				if cut != "" {
					sent += 2
					losses = append(losses, lost{n.name, cut})
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	ranBy := map[string]string{}
	for id, b := range backends {
		for _, a := range b.kept() {
			if a.ran {
				ranBy[a.id] = id
			}
		}
	}
	byNode := map[string]int{}
	for _, l := range losses {
		// The request behind was passed on to a backend other than the faulty ones.
		if by := ranBy[l.id]; by != "" && !faulty[by] {
			byNode[l.node]++
			e.note("LOST: %s was passed on by %s to backend %s; the connection was closed without an answer", l.id, l.node, by)
		}
	}
	broken := false
	for _, name := range sortedKeys(byNode) {
		broken = broken || byNode[name] > 3
	}
	e.finish(broken, fmt.Sprintf("%d requests sent, %d endless answers, connections closed without an answer to a request that a sound backend ran, by instance: %v (more than 3 break the rule)", sent, len(endless), byNode))
}

// pipelinePairs uses one connection: one request alone, then pairs of which the
// second is sent before the first is answered. It returns the number of pairs with
// two whole answers, and the ID of a second request that got no answer because the
// connection was closed.
func (e *env) pipelinePairs(address string, end time.Time, deadline, pause time.Duration) (pairs int, cut string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return 0, ""
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	alone := nextID()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := c.Write(head("GET", "/history/"+alone, alone, deadline, nil)); err != nil {
		return 0, ""
	}
	if a := read(reader, "GET", alone); a.status == 0 {
		return 0, ""
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.Int64N(int64(pause))))
		first, second := nextID(), nextID()
		_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
		both := append(head("GET", "/history/"+first, first, deadline, nil), head("GET", "/history/"+second, second, deadline, nil)...)
		if _, err := c.Write(both); err != nil {
			return pairs, ""
		}
		a := read(reader, "GET", first)
		b := answer{id: second, err: a.err}
		if a.err == nil {
			b = read(reader, "GET", second)
		}
		e.note("client: pair %s, %s to %s: status %d (began %v, %d bytes, %v), status %d (%v)", first, second, address, a.status, a.began, len(a.body), a.err, b.status, b.err)
		if b.status == 0 {
			return pairs, second
		}
		pairs++
		if a.close || b.close {
			return pairs, ""
		}
	}
	return pairs, ""
}
