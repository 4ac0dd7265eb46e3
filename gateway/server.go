package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

const (
	// lingerTimeout is how long a closed connection is read for the caller's own
	// end. Closing with unread bytes would reset it and destroy the answer.
	lingerTimeout = 500 * time.Millisecond
	// acceptRetryDelay follows a failed accept, for example without descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// writeTimeout bounds the writing of a part of an answer to a caller that
	// does not read.
	writeTimeout = 10 * time.Second
)

// Server serves the connections of callers.
type Server struct {
	gateway        *Gateway
	handler        func(context.Context, *incomingRequest) *response
	extraHeadBytes int           // Bytes of a head beyond the bound for callers.
	idleTimeout    time.Duration // Between two requests of a connection; 0 means the bound for callers.
	listener       net.Listener
	draining       atomic.Bool
	acceptDone     chan struct{} // Closed when Run accepts no more connections.
	inFlight       atomic.Int64  // Requests read and not answered.

	mu      sync.Mutex
	running bool // Run was called.
	conns   map[*conn]struct{}
}

// NewServer returns a server for a listener.
func NewServer(g *Gateway, l net.Listener) *Server {
	return &Server{gateway: g, handler: g.serve, listener: l, acceptDone: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// NewRelayServer returns a server for a listener at which other instances ask this
// one to carry requests to targets near it.
func NewRelayServer(g *Gateway, l net.Listener) *Server {
	return &Server{gateway: g, handler: g.serveRelayed, extraHeadBytes: relayHeadBytes, idleTimeout: relayServerIdleTimeout, listener: l, acceptDone: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// Run accepts connections until the listener is closed.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.running = true
	s.mu.Unlock()
	defer close(s.acceptDone)
	for {
		raw, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
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

// Drain begins a planned stop: from now on the last answer of a connection
// closes it. New connections are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections that have no request.
func (s *Server) CloseIdle() {
	for _, c := range s.openConns() {
		c.closeIdle()
	}
}

// StopAccepting closes the listener. After it, Connections and InFlight count every
// connection that was accepted.
func (s *Server) StopAccepting() {
	_ = s.listener.Close()
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	if running {
		<-s.acceptDone
	}
}

// CloseAll closes all connections and returns how many requests had no answer.
func (s *Server) CloseAll() int64 {
	unanswered := s.inFlight.Load()
	for _, c := range s.openConns() {
		c.cancel()
		_ = c.Conn.Close()
	}
	return unanswered
}

// InFlight returns the requests that have no complete answer yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}
