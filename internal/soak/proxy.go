package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does to connections.
type proxyMode int

const (
	modePass      proxyMode = iota
	modeDelay               // Each part waits for delayBy.
	modeSilence             // Bytes of open connections go nowhere; new connections work.
	modeOneWay              // Bytes towards the server pass, answers do not.
	modeRefuse              // New connections are reset, open ones too.
	modeResetIdle           // Connections that were idle are reset when they are used again.
)

var proxyModeNames = [...]string{"pass", "delay", "silence", "one-way", "refuse", "forget"}

const (
	proxyDelay = 80 * time.Millisecond
	// idleResetAfter is how long a connection must be idle to be forgotten.
	idleResetAfter = 250 * time.Millisecond
)

// proxy stands between instances and one server.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  proxyMode
	conns map[*proxiedConn]struct{}
}

// proxiedConn is one proxied connection.
type proxiedConn struct {
	client, server net.Conn
	discarding     bool
	lastUsed       time.Time // When bytes last passed in any direction.
}

func newProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, upstream: to, conns: map[*proxiedConn]struct{}{}}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeRefuse {
			resetConn(client)
			continue
		}
		server, err := net.DialTimeout("tcp", p.upstream, time.Second)
		if err != nil {
			resetConn(client)
			continue
		}
		c := &proxiedConn{client: client, server: server, lastUsed: time.Now()}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go p.copyBytes(c, client, server, true)
		go p.copyBytes(c, server, client, false)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// setMode changes the mode. Silence holds for the connections that are open now.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.conns {
		switch m {
		case modeSilence:
			c.discarding = true
		case modeRefuse:
			resetConn(c.client)
			resetConn(c.server)
		}
	}
}

// discards reports whether bytes in a direction get lost.
func (p *proxy) discards(c *proxiedConn, toServer bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.discarding || p.mode == modeOneWay && !toServer
}

// shouldResetIdle reports whether a connection was idle for so long that it is reset now.
func (p *proxy) shouldResetIdle(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := time.Since(c.lastUsed)
	c.lastUsed = time.Now()
	return p.mode == modeResetIdle && idle > idleResetAfter
}

func (p *proxy) copyBytes(c *proxiedConn, from, to net.Conn, toServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.shouldResetIdle(c) && toServer {
			break
		}
		if n > 0 && !p.discards(c, toServer) {
			if p.currentMode() == modeDelay {
				time.Sleep(proxyDelay)
			}
			if _, failed := to.Write(buffer[:n]); failed != nil {
				break
			}
		}
		if err == io.EOF && !p.discards(c, toServer) {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	if p.discards(c, toServer) {
		return
	}
	resetConn(c.client)
	resetConn(c.server)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeRefuse)
}
