// Package forward carries a request to a target over HTTP/1.1 and reads its
// answer. It opens and pools its own connections, so that it knows for each
// failure whether any byte of the request may have reached the target.
//
// A connection carries one request at a time. It is used again only after the
// answer was read to its end without error and neither side asked to close.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

const (
	dialTimeout     = 500 * time.Millisecond
	maxIdlePerHost  = 64
	maxIdleDuration = 5 * time.Second
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 8 << 20
)

// Stage says how far a failed request came.
type Stage int

const (
	// StageConnect means that no byte was written.
	StageConnect Stage = iota
	// StageWritten means that at least one byte may have been written.
	StageWritten
)

// Error is a failed exchange with a target.
type Error struct {
	Target string // ip:port.
	Stage  Stage
	// Crashed is true when the target closed or reset the connection before
	// its answer was complete.
	Crashed bool
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: %v", e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

type idleConn struct {
	conn  network.Conn
	since time.Time
}

// Forwarder pools connections to targets. It is safe for concurrent use.
type Forwarder struct {
	dialer network.Dialer

	mu   sync.Mutex
	idle map[string][]idleConn
}

// New returns a Forwarder without connections.
func New() *Forwarder {
	return &Forwarder{dialer: standard.NewDialer(), idle: map[string][]idleConn{}}
}

// Do sends the request to an ip:port address and reads the whole answer. The
// error is an *Error. The deadline of ctx bounds the exchange; cancellation
// closes the connection.
func (f *Forwarder) Do(ctx context.Context, address string, request *protocol.Request, answer *protocol.Response) error {
	conn, err := f.connect(address)
	if err != nil {
		return &Error{Target: address, Stage: StageConnect, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = exchange(ctx, conn, request, answer)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return &Error{Target: address, Stage: StageWritten, Crashed: crashed(ctx, err), Err: err}
	}
	if answer.ConnectionClose() || request.Header.ConnectionClose() {
		_ = conn.Close()
		return nil
	}
	f.release(address, conn)
	return nil
}

func exchange(ctx context.Context, conn network.Conn, request *protocol.Request, answer *protocol.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if err := req.Write(request, conn); err != nil {
		return err
	}
	if err := conn.Flush(); err != nil {
		return err
	}
	return resp.ReadHeaderAndLimitBody(answer, conn, maxAnswerBytes)
}

func crashed(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isReset(err)
}

func (f *Forwarder) connect(address string) (network.Conn, error) {
	if c := f.takeIdle(address); c != nil {
		return c, nil
	}
	return f.dialer.DialConnection("tcp", address, dialTimeout, nil)
}

// takeIdle returns a pooled connection that the target has not closed.
func (f *Forwarder) takeIdle(address string) network.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	conns := f.idle[address]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		f.idle[address] = conns
		if time.Since(last.since) < maxIdleDuration && quiet(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

// quiet reports whether a pooled connection is open and has no unread bytes.
// A byte that arrives between two requests belongs to no request.
func quiet(conn network.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond)); err != nil {
		return false
	}
	_, err := conn.Peek(1)
	var timeout interface{ Timeout() bool }
	if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	return conn.SetDeadline(time.Time{}) == nil
}

func (f *Forwarder) release(address string, conn network.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle[address]) >= maxIdlePerHost {
		_ = conn.Close()
		return
	}
	f.idle[address] = append(f.idle[address], idleConn{conn: conn, since: time.Now()})
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range f.idle {
		for _, c := range conns {
			_ = c.conn.Close()
		}
	}
	f.idle = map[string][]idleConn{}
}
