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

func newProxy(address, upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, conns: map[*proxiedConn]struct{}{}}
	go p.acceptLoop()
	return p, nil
}

func (proxy *proxy) acceptLoop() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		if proxy.currentMode() == modeRefuse {
			resetConn(client)
			continue
		}
		server, err := net.DialTimeout("tcp", proxy.upstream, time.Second)
		if err != nil {
			resetConn(client)
			continue
		}
		conn := &proxiedConn{client: client, server: server, lastUsed: time.Now()}
		proxy.mu.Lock()
		proxy.conns[conn] = struct{}{}
		proxy.mu.Unlock()
		go proxy.copyBytes(conn, client, server, true)
		go proxy.copyBytes(conn, server, client, false)
	}
}

func resetConn(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *proxy) currentMode() proxyMode {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.mode
}

// setMode changes the mode. Silence holds for the connections that are open now.
func (proxy *proxy) setMode(mode proxyMode) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.mode = mode
	for conn := range proxy.conns {
		switch mode {
		case modeSilence:
			conn.discarding = true
		case modeRefuse:
			resetConn(conn.client)
			resetConn(conn.server)
		}
	}
}

// discards reports whether bytes in a direction get lost.
func (proxy *proxy) discards(conn *proxiedConn, toServer bool) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return conn.discarding || proxy.mode == modeOneWay && !toServer
}

// shouldResetIdle reports whether a connection was idle for so long that it is reset now.
func (proxy *proxy) shouldResetIdle(conn *proxiedConn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	idle := time.Since(conn.lastUsed)
	conn.lastUsed = time.Now()
	return proxy.mode == modeResetIdle && idle > idleResetAfter
}

func (proxy *proxy) copyBytes(conn *proxiedConn, from, to net.Conn, toServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && proxy.shouldResetIdle(conn) && toServer {
			break
		}
		if n > 0 && !proxy.discards(conn, toServer) {
			if proxy.currentMode() == modeDelay {
				time.Sleep(proxyDelay)
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err == io.EOF && !proxy.discards(conn, toServer) {
			if tcpConn, ok := to.(*net.TCPConn); ok {
				_ = tcpConn.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	if proxy.discards(conn, toServer) {
		return
	}
	resetConn(conn.client)
	resetConn(conn.server)
	proxy.mu.Lock()
	delete(proxy.conns, conn)
	proxy.mu.Unlock()
}

func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.setMode(modeRefuse)
}
