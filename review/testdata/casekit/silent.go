package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// proxy passes connections on to the store. Connections that are silenced stay open
// and pass nothing on any more.
type proxy struct {
	to    string
	mu    sync.Mutex
	links []*link
}

type link struct {
	mu     sync.Mutex
	silent bool
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// startProxy returns a proxy in front of the store and makes instances that are
// added later use it.
func (e *env) startProxy() *proxy {
	p := &proxy{to: e.storeAt}
	listener := e.listen(e.newHost() + ":8541")
	e.storeAt = listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

func (p *proxy) pass(c net.Conn) {
	store, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	l := &link{}
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	copyLink := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if l.isSilent() {
				_, _ = io.Copy(io.Discard, from) // For good, also its end.
				return
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go copyLink(store, c)
	copyLink(c, store)
}

// silence makes all open connections silent. It returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.links)
	for _, l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	p.links = nil
	return n
}

// silentStore: the open connections to the store go silent for good, and new ones
// work. Within half a second, a backend that never reports draining begins to leave:
// its entry is removed.
func silentStore(dir string) {
	const (
		rounds    = 7
		drain     = 2500 * time.Millisecond
		stability = 3 * time.Second
		slack     = 100 * time.Millisecond
		// littleLonger is how long the backend serves after drain.
		littleLonger = 1200 * time.Millisecond
		deadline     = 3 * time.Second
	)
	e := newEnv(dir, map[string]string{"a1": "a", "a2": "a"})
	// Instances, backends and requests a second are those of the site's enrolments.
	p := e.startProxy()
	backends := map[string]*backend{}
	for i := range 12 {
		id := fmt.Sprintf("i-%d", i+1)
		backends[id] = e.addBackend(id, "booking", []string{"a1", "a2"}[i%2], 8, 150*time.Millisecond)
	}
	e.configure(1, []string{"booking"}, route{Name: "book", Prefix: "/book/", Kind: "unsafe", Service: "booking", Timeout: "2500ms", Goal: "600ms", Attempts: 2})
	e.addNodes("a1", "a2", "a1", "a2", "a1", "a2", "a1", "a2")
	e.awaitServing("/book/warm-up")
	time.Sleep(6 * time.Second)
	end := time.Now().Add(rounds * 11 * time.Second)
	sent, status := map[string]time.Time{}, map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.IntN(450)) * time.Millisecond)
				before := time.Now()
				a := e.send(e.nodes[rand.IntN(len(e.nodes))].front(), "POST", "/book/"+nextID(), []byte("seat"), deadline)
				mu.Lock()
				sent[a.id], status[a.id] = before, a.status
				mu.Unlock()
			}
		}()
	}
	type leaving struct {
		b               *backend
		silent, removed time.Time
	}
	var left []leaving
	for i := range rounds {
		time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
		id := fmt.Sprintf("i-%d", i+1)
		b := backends[id]
		silent := time.Now()
		if e.trouble {
			e.note("%d open connections to the store go silent", p.silence())
		}
		time.Sleep(time.Duration(100+rand.IntN(400)) * time.Millisecond)
		b.leaving.Store(true)
		e.store.Delete(wiresite.TargetKey(id))
		removed := time.Now()
		e.note("backend %s begins to leave: its entry is removed", id)
		left = append(left, leaving{b, silent, removed})
		next := fmt.Sprintf("i-%d", i+13) // Another takes its place.
		backends[next] = e.addBackend(next, "booking", b.zone, 8, 150*time.Millisecond)
		time.Sleep(time.Until(removed.Add(drain + littleLonger)))
		b.leave()
		time.Sleep(time.Until(silent.Add(10 * time.Second)))
	}
	wg.Wait()
	late, roundsLate, lost := 0, 0, 0
	for _, l := range left {
		before := late
		for _, a := range l.b.kept() {
			taken, known := sent[a.id]
			if known && a.at.After(l.removed.Add(drain+slack)) && taken.After(l.silent.Add(stability+slack)) {
				late++
				if a.ran && status[a.id] != 200 {
					lost++
				}
				e.note("DRAIN: %s reached backend %s %.3f s after the removal, sent by its client %.3f s after the silence; its client got status %d", a.id, l.b.id, a.at.Sub(l.removed).Seconds(), taken.Sub(l.silent).Seconds(), status[a.id])
			}
		}
		if late > before {
			roundsLate++
		}
	}
	e.finish(late > 0, fmt.Sprintf("%d backends left; %d requests reached %d of them later than drain after the removal, from instances in touch (none may); %d of these ran and were lost", len(left), late, roundsLate, lost))
}

// leave ends a backend that has left.
func (b *backend) leave() {
	b.down.Store(true)
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
	b.env.note("backend %s has ended", b.id)
}
