package soak

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// proxyMode determines how a proxy treats connections.
type proxyMode int

const (
	modePass      proxyMode = iota
	modeDelay               // Every chunk of data is delayed by proxyDelay.
	modeSilence             // Data of connections open at the time of the change is discarded; later connections work.
	modeOneWay              // Data to the server passes, data from the server is discarded.
	modeRefuse              // Open and new connections are reset.
	modeResetIdle           // Connections are reset when they are used after idling for idleResetAfter.
	modeHold                // Data to the server is delivered when the mode ends, unless its sender has reset the connection.
)

var proxyModeNames = [...]string{"pass", "delay", "silence", "one-way", "refuse", "forget", "hold"}

const (
	proxyDelay     = 80 * time.Millisecond
	idleResetAfter = 250 * time.Millisecond
	// holdPollInterval is how often the end of modeHold is checked.
	holdPollInterval = 10 * time.Millisecond
	// discardedConnLife is how long a connection whose data is discarded stays open
	// after one side has ended.
	discardedConnLife = 5 * time.Second
)

// proxy forwards connections of instances to one server and injects network faults.
type proxy struct {
	listener net.Listener

	mu       sync.Mutex
	upstream string
	mode     proxyMode
	conns    map[*proxiedConn]struct{}
	// heldRequests counts the connections that were closed without a reset while a
	// request on them was held.
	heldRequests int
}

// proxiedConn is a client connection and its connection to the server.
type proxiedConn struct {
	client, server net.Conn
	discarding     bool      // Data in both directions is discarded until the connection ends.
	ended          int       // Directions in which the data has ended.
	lastUsed       time.Time // When data last arrived in either direction.
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
		server, err := net.DialTimeout("tcp", proxy.currentUpstream(), time.Second)
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

// resetConn closes a connection with a TCP reset.
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

func (proxy *proxy) currentUpstream() string {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.upstream
}

// setUpstream changes the server of later connections.
func (proxy *proxy) setUpstream(upstream string) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.upstream = upstream
}

// setMode changes the mode. Connections that are open when modeSilence is set stay
// silent also after a later change of the mode.
func (proxy *proxy) setMode(mode proxyMode) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.mode = mode
	switch mode {
	case modeSilence:
		proxy.discardOpen()
	case modeRefuse:
		for conn := range proxy.conns {
			resetConn(conn.client)
			resetConn(conn.server)
		}
	}
}

// silenceOpen makes the connections that are open silent. The mode and later
// connections stay as they are.
func (proxy *proxy) silenceOpen() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.discardOpen()
}

// discardOpen makes the open connections discard their data for good. The caller must
// hold mu.
func (proxy *proxy) discardOpen() {
	for conn := range proxy.conns {
		conn.discarding = true
	}
}

// discards reports whether data in a direction is discarded.
func (proxy *proxy) discards(conn *proxiedConn, toServer bool) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return conn.discarding || proxy.mode == modeOneWay && !toServer
}

// shouldResetIdle records that data has arrived on a connection and reports whether
// the connection must be reset because it was idle for too long.
func (proxy *proxy) shouldResetIdle(conn *proxiedConn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	idle := time.Since(conn.lastUsed)
	conn.lastUsed = time.Now()
	return proxy.mode == modeResetIdle && idle > idleResetAfter
}

// copyBytes forwards data in one direction, subject to the mode, until the
// connection ends. It leaves a connection open whose data it discards, so that
// neither side notices the end of the other.
func (proxy *proxy) copyBytes(conn *proxiedConn, from, to net.Conn, toServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && proxy.shouldResetIdle(conn) && toServer {
			break
		}
		if n > 0 && !proxy.discards(conn, toServer) {
			data := buffer[:n]
			switch mode := proxy.currentMode(); {
			case mode == modeDelay:
				time.Sleep(proxyDelay)
			case mode == modeHold && toServer && err == nil:
				data, err = proxy.hold(data, from)
			}
			if err != nil && err != io.EOF {
				break
			}
			if _, writeErr := to.Write(data); writeErr != nil {
				break
			}
		}
		if err == io.EOF && !proxy.discards(conn, toServer) {
			if tcpConn, ok := to.(*net.TCPConn); ok {
				_ = tcpConn.CloseWrite()
			}
			if proxy.directionEnded(conn) {
				_, _ = conn.client.Close(), conn.server.Close() // Not reset: data may be under way.
				proxy.forget(conn)
			}
			return
		}
		if err != nil {
			break
		}
	}
	if proxy.discards(conn, toServer) {
		time.Sleep(discardedConnLife)
	}
	proxy.remove(conn)
}

// hold returns the data and all that follows it when modeHold has ended, and the error
// that ended the connection meanwhile, if any.
func (proxy *proxy) hold(data []byte, from net.Conn) ([]byte, error) {
	held, buffer := slices.Clone(data), make([]byte, 16<<10)
	var ended error
	for proxy.currentMode() == modeHold {
		if ended == io.EOF {
			time.Sleep(holdPollInterval)
			continue
		}
		_ = from.SetReadDeadline(time.Now().Add(holdPollInterval))
		n, err := from.Read(buffer)
		held = append(held, buffer[:n]...)
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case err == io.EOF:
			ended = err
			if bytes.Contains(held, []byte(" HTTP/1.1\r\n")) {
				proxy.mu.Lock()
				proxy.heldRequests++
				proxy.mu.Unlock()
			}
		default:
			return nil, err
		}
	}
	_ = from.SetReadDeadline(time.Time{})
	return held, ended
}

// heldRequestCount returns heldRequests.
func (proxy *proxy) heldRequestCount() int {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.heldRequests
}

// directionEnded records the end of the data in one direction and reports whether
// both have ended.
func (proxy *proxy) directionEnded(conn *proxiedConn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	conn.ended++
	return conn.ended == 2
}

// remove resets both sides of a connection.
func (proxy *proxy) remove(conn *proxiedConn) {
	resetConn(conn.client)
	resetConn(conn.server)
	proxy.forget(conn)
}

func (proxy *proxy) forget(conn *proxiedConn) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.conns, conn)
}

// close stops listening and resets all open connections.
func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.setMode(modeRefuse)
}
