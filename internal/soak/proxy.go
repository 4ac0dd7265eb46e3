package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to connections.
type mode int

const (
	pass    mode = iota
	delay        // Each part waits for delayBy.
	silence      // Bytes of open connections go nowhere; new connections work.
	oneWay       // Bytes towards the server pass, answers do not.
	refuse       // New connections are reset, open ones too.
	forget       // Connections that were idle are reset when they are used again.
)

var modeNames = [...]string{"pass", "delay", "silence", "one-way", "refuse", "forget"}

const (
	delayBy = 80 * time.Millisecond
	// forgetAfter is how long a connection must be idle to be forgotten.
	forgetAfter = 250 * time.Millisecond
)

// proxy stands between instances and one server.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  mode
	conns map[*link]struct{}
}

// link is one proxied connection.
type link struct {
	client, server net.Conn
	silenced       bool
	used           time.Time // When bytes last passed in any direction.
}

func newProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: map[*link]struct{}{}}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == refuse {
			reset(client)
			continue
		}
		server, err := net.DialTimeout("tcp", p.to, time.Second)
		if err != nil {
			reset(client)
			continue
		}
		c := &link{client: client, server: server, used: time.Now()}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go p.carry(c, client, server, true)
		go p.carry(c, server, client, false)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode. Silence holds for the connections that are open now.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.conns {
		switch m {
		case silence:
			c.silenced = true
		case refuse:
			reset(c.client)
			reset(c.server)
		}
	}
}

// drops reports whether bytes in a direction get lost.
func (p *proxy) drops(c *link, toServer bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silenced || p.mode == oneWay && !toServer
}

// forgets reports whether a connection was idle for so long that it is reset now.
func (p *proxy) forgets(c *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := time.Since(c.used)
	c.used = time.Now()
	return p.mode == forget && idle > forgetAfter
}

func (p *proxy) carry(c *link, from, to net.Conn, toServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.forgets(c) && toServer {
			break
		}
		if n > 0 && !p.drops(c, toServer) {
			if p.current() == delay {
				time.Sleep(delayBy)
			}
			if _, failed := to.Write(buffer[:n]); failed != nil {
				break
			}
		}
		if err == io.EOF && !p.drops(c, toServer) {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	if p.drops(c, toServer) {
		return
	}
	reset(c.client)
	reset(c.server)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(refuse)
}
