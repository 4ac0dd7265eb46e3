package main

import (
	"bufio"
	"bytes"
	_ "embed"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
)

//go:embed health.txt
var healthAnswer string

// arrival is a request that has reached a backend.
type arrival struct {
	id, from, method, uri string
	at                    time.Time
	ran                   bool // The backend began to work on it.
	body                  uint32
	bodyLen               int
}

// backend is a stand-in for a backend. It runs one request at a time on a
// connection and up to its slots in all; a request without a free slot is rejected
// with the statement that it was not run.
type backend struct {
	env                        *env
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	// respond, if set, may answer a request that has run in another way than a sound
	// backend. It reports whether it did.
	respond func(b *backend, c net.Conn, request *http.Request, a arrival) bool
	// admit, if set, may answer a request before it runs.
	admit func(b *backend, c net.Conn, request *http.Request, a arrival) bool
	// headers are added to all answers.
	headers func() string

	running  atomic.Int64
	born     atomic.Int64 // Unix milliseconds of its start.
	down     atomic.Bool
	leaving  atomic.Bool // Stated in all answers.
	listener net.Listener

	mu       sync.Mutex
	arrivals []arrival
	conns    map[net.Conn]bool
}

func (e *env) addBackend(id, service, zone string, slots int, work time.Duration) *backend {
	b := &backend{env: e, id: id, service: service, zone: zone, slots: slots, work: work, conns: map[net.Conn]bool{}}
	b.address = e.newHost() + ":8121"
	b.open()
	e.putBackend(b)
	return b
}

func (b *backend) open() {
	b.listener = b.env.listen(b.address)
	b.down.Store(false)
	b.born.Store(time.Now().UnixMilli())
	go b.accept(b.listener)
}

func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// crash ends the backend as the end of its process does, and lets it return.
func (b *backend) crash(downFor time.Duration) {
	if b.down.Swap(true) {
		return
	}
	_ = b.listener.Close()
	b.mu.Lock()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	b.conns = map[net.Conn]bool{}
	b.mu.Unlock()
	b.env.note("backend %s crashed", b.id)
	time.AfterFunc(downFor, func() {
		b.open()
		b.env.putBackend(b) // Under its id, as a new incarnation.
		b.env.note("backend %s is back", b.id)
	})
}

func (b *backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		a := arrival{id: request.Header.Get(headerID), from: c.RemoteAddr().String(), method: request.Method, uri: request.RequestURI,
			at: time.Now(), body: crc32.ChecksumIEEE(body), bodyLen: len(body)}
		if !b.handle(c, reader, request, a) {
			return
		}
	}
}

// handle answers one request. It reports whether the connection stays open.
func (b *backend) handle(c net.Conn, reader *bufio.Reader, request *http.Request, a arrival) bool {
	if b.admit != nil && b.admit(b, c, request, a) {
		b.keep(a)
		return true
	}
	if request.Method == http.MethodGet && request.URL.Path == "/health" {
		status := http.StatusOK
		if b.leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		_, err := fmt.Fprintf(c, strings.ReplaceAll(healthAnswer, "\n", "\r\n"), status, http.StatusText(status), b.id)
		return err == nil
	}
	switch expected := request.Header.Get(platform.HeaderExpectTarget); {
	case expected != "" && expected != b.id:
		b.keep(a)
		return b.reject(c, request, a, 421, "")
	case a.id == "":
		b.keep(a)
		return b.reject(c, request, a, 400, "")
	}
	if b.running.Add(1) > int64(b.slots) {
		b.running.Add(-1)
		b.keep(a)
		return b.reject(c, request, a, 503, "")
	}
	defer b.running.Add(-1)
	a.ran = true
	b.keep(a)
	if !b.runs(c, request) {
		return false
	}
	if b.respond != nil && b.respond(b, c, request, a) {
		return false
	}
	return b.answer(c, request, a, []byte("whole answer to "+a.id+" by "+b.id+"\n"))
}

// runs works on a request. A request whose connection closes is dropped.
func (b *backend) runs(c net.Conn, request *http.Request) bool {
	left := time.Hour
	if ms, err := strconv.Atoi(request.Header.Get(platform.HeaderDeadline)); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	for end := time.Now().Add(min(b.work, left)); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if connectionEnded(c) || b.down.Load() {
			return false
		}
	}
	return true
}

func connectionEnded(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended || err != nil
}

func (b *backend) keep(a arrival) {
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	ran := "not run"
	if a.ran {
		ran = "runs"
	}
	b.env.note("backend %s: %s %s %s from %s, %s", b.id, a.id, a.method, a.uri, a.from, ran)
}

func (b *backend) kept() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

func (b *backend) load() string { return fmt.Sprintf("%d,0,%d", b.running.Load(), b.slots) }

// head returns the head of an answer, without its last line.
func (b *backend) head(a arrival, status int) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", status, http.StatusText(status), headerID, a.id, platform.HeaderServerLoad, b.load())
	if b.leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}
	if b.headers != nil {
		head += b.headers()
	}
	return head
}

func stamp(a arrival) string { return platform.HeaderServerStamp + ": " + "stamp-" + a.id + "\r\n" }

func (b *backend) reject(c net.Conn, _ *http.Request, a arrival, status int, more string) bool {
	_, err := io.WriteString(c, b.head(a, status)+platform.HeaderNotExecuted+": 1\r\n"+more+"Content-Length: 0\r\n\r\n")
	return err == nil
}

// answer sends the whole answer with its length.
func (b *backend) answer(c net.Conn, _ *http.Request, a arrival, body []byte) bool {
	var out bytes.Buffer
	out.WriteString(b.head(a, 200) + stamp(a) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))
	out.Write(body)
	_, err := c.Write(out.Bytes())
	return err == nil
}
