package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"github.com/jacinthstall/jacinthstall/events"
)

const (
	// lingerTimeout is how long this side waits for the caller to close a connection
	// after the last response. Closing a socket with unread bytes resets the
	// connection, and the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, for example when no file
	// descriptors are left.
	acceptRetryDelay = 20 * time.Millisecond
	// acceptDrainTime limits the time for accepting the connections in the listener's
	// queue before it is closed. Callers may go on connecting.
	acceptDrainTime = time.Second
	// writeTimeout limits each write to a caller, in case it does not read.
	writeTimeout = 10 * time.Second
	// closeAllTimeout limits the time that CloseAll waits for the connections' log
	// lines.
	closeAllTimeout      = 100 * time.Millisecond
	closeAllPollInterval = 2 * time.Millisecond
)

// Server serves the connections of callers, or of peers that use this instance as
// a relay.
type Server struct {
	gateway          *Gateway
	accept           func(*incomingRequest) *response // Decides before the body is read; returns the response to a request that is refused.
	handler          func(context.Context, *incomingRequest) *response
	extraHeadBytes   int           // Added to the configured limit for request heads.
	idleTimeout      time.Duration // 0 means the configured idle time.
	firstRequestTime time.Duration // See the constant of that name.
	listener         net.Listener
	draining         atomic.Bool
	stopping         atomic.Bool   // The listener is about to be closed.
	acceptDone       chan struct{} // Closed when Run has stopped accepting.
	inFlight         atomic.Int64  // Requests that were read and have no complete response.

	mu      sync.Mutex
	running bool // Run was called.
	conns   map[*conn]struct{}
}

// NewServer returns a server for the requests of callers.
func NewServer(g *Gateway, l net.Listener) *Server {
	return &Server{gateway: g, accept: g.accept, handler: g.serve, firstRequestTime: firstRequestTime, listener: l, acceptDone: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// NewRelayServer returns a server for the requests that peers send through this
// instance to targets near it.
func NewRelayServer(g *Gateway, l net.Listener) *Server {
	return &Server{gateway: g, accept: g.acceptRelayed, handler: g.serveRelayed, firstRequestTime: firstRequestTime, extraHeadBytes: relayHeadBytes, idleTimeout: relayServerIdleTimeout, listener: l, acceptDone: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// Run accepts connections until the listener is closed.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.running = true
	s.mu.Unlock()
	defer close(s.acceptDone)
	var drainEnd time.Time
	for {
		if s.stopping.Load() {
			if drainEnd.IsZero() {
				drainEnd = time.Now().Add(acceptDrainTime)
			}
			if !s.connectionQueued(drainEnd) {
				return nil
			}
		}
		raw, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil && isTimeout(err) && s.stopping.Load():
			continue
		case err != nil:
			s.gateway.events.Emit(events.AcceptFailed, log.Fields{"error": err.Error()})
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(ctx, s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
	}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain starts a graceful shutdown: each connection is closed after its last
// pending response. New connections are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without pending requests.
func (s *Server) CloseIdle() {
	for _, c := range s.openConns() {
		c.closeIdle()
	}
}

// StopAccepting accepts the connections in the listener's queue, closes the listener
// and waits until Run has stopped accepting. After it, Connections and InFlight
// include every accepted connection.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	s.stopping.Store(true)
	if running && s.limitAccept(expiredDeadline) {
		<-s.acceptDone
	}
	_ = s.listener.Close()
	if running {
		<-s.acceptDone
	}
}

// limitAccept sets the deadline of Accept. It reports whether the listener can do
// that.
func (s *Server) limitAccept(deadline time.Time) bool {
	limited, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && limited.SetDeadline(deadline) == nil
}

// connectionQueued reports whether a connection waits in the listener's queue, and
// lets Accept return it until the given time.
func (s *Server) connectionQueued(until time.Time) bool {
	socket, ok := s.listener.(syscall.Conn)
	if !ok || time.Now().After(until) {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		queued = err == nil && n > 0
	})
	return err == nil && queued && s.limitAccept(until)
}

// CloseAll closes all connections and returns how many requests had no complete
// response.
func (s *Server) CloseAll() int64 {
	unanswered := s.inFlight.Load()
	for _, c := range s.openConns() {
		c.setCause(causeStopEnded)
		c.cancel()
		_ = c.Conn.Close()
	}
	for end := time.Now().Add(closeAllTimeout); s.Connections() > 0 && time.Now().Before(end); {
		time.Sleep(closeAllPollInterval)
	}
	return unanswered
}

// InFlight returns the number of requests without a complete response.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}
