package main

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lastUse is how long after a stop has begun callers may still use the instance.
// They keep a look-up response for 1 s, some three times as long.
const lastUse = 3 * time.Second

// stopResults counts what callers of a stopping instance have seen.
type stopResults struct {
	mu       sync.Mutex
	served   int
	rejected int // Answered 503: on a loaded machine the target counts as too slow.
	refused  int // Connections that could not be opened.
	failures []string
}

func (r *stopResults) add(sent time.Duration, kind string, status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil && status == http.StatusOK:
		r.served++
	case err == nil && status == http.StatusServiceUnavailable:
		r.rejected++
	default:
		r.failures = append(r.failures, kind+" at "+sent.Round(time.Millisecond).String()+": "+http.StatusText(status)+errorText(err))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// useUntilEnd sends one request after the other and opens a connection whenever
// the last response has announced its end.
func (r *stopResults) useUntilEnd(p *process, c *callerConn, started time.Time) {
	for {
		sent := time.Since(started)
		if sent > lastUse {
			return
		}
		if c == nil {
			var err error
			if c, err = p.dial(); err != nil {
				r.mu.Lock()
				r.refused++
				r.mu.Unlock()
				return
			}
		}
		_, err := c.send()
		status, last := 0, false
		if err == nil {
			status, last, err = c.receive()
		}
		r.add(sent, "open connection", status, err)
		if err != nil || last {
			_ = c.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// useOnce sends a request on an idle connection some time after the stop has begun.
func (r *stopResults) useOnce(c *callerConn, started time.Time, after time.Duration) {
	time.Sleep(time.Until(started.Add(after)))
	sent := time.Since(started)
	_, err := c.send()
	status := 0
	if err == nil {
		status, _, err = c.receive()
	}
	r.add(sent, "idle connection", status, err)
}

// dialOnce opens a connection some time after the stop has begun and sends a
// request.
func (r *stopResults) dialOnce(p *process, started time.Time, after time.Duration) {
	time.Sleep(time.Until(started.Add(after)))
	c, err := p.dial()
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.mu.Lock()
		r.refused++
		r.mu.Unlock()
		return
	}
	sent := time.Since(started)
	if err == nil {
		_, err = c.send()
	}
	status := 0
	if err == nil {
		status, _, err = c.receive()
	}
	r.add(sent, "new connection", status, err)
}

// Load pattern: callers that keep their connections busy, that reuse idle ones and
// that open new ones until look-ups have expired, while the process is stopped.
// Guards against connections that end without a response. The process also gets no
// processor time for a moment when idle connections are closed.
func TestStopServesAllCallersUntilLookupsHaveExpired(t *testing.T) {
	for name, pauses := range map[string][]time.Duration{"running": nil, "starved": {1450 * time.Millisecond, 2900 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			p := newProcess(t, 10*time.Millisecond)
			p.startReady()
			var results stopResults
			var callers sync.WaitGroup
			conns := make([]*callerConn, 120)
			for i := range conns {
				c, err := p.dial()
				require.NoError(t, err)
				_, err = c.send()
				require.NoError(t, err)
				status, _, err := c.receive()
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				conns[i] = c
			}
			started := time.Now()
			p.signal(syscall.SIGTERM)
			for i, c := range conns {
				if i < 10 {
					callers.Go(func() { results.useUntilEnd(p, c, started) })
					continue
				}
				after := lastUse * time.Duration(i) / time.Duration(len(conns))
				callers.Go(func() { results.useOnce(c, started, after) })
				callers.Go(func() { results.dialOnce(p, started, after) })
			}
			for _, pause := range pauses {
				time.Sleep(time.Until(started.Add(pause)))
				p.signal(syscall.SIGSTOP)
				time.Sleep(150 * time.Millisecond)
				p.signal(syscall.SIGCONT)
			}
			callers.Wait()
			p.awaitEnd()
			t.Logf("%d served, %d rejected, %d connections refused, ended after %s", results.served, results.rejected, results.refused, time.Since(started))
			assert.NotZero(t, results.served)
			assert.Empty(t, results.failures)
			assert.Equal(t, 0, p.cmd.ProcessState.ExitCode())
		})
	}
}

// Guards against a stop that waits for callers of idle connections to close them.
func TestIdleConnectionsDoNotHoldUpAStop(t *testing.T) {
	p := newProcess(t, 0)
	p.startReady()
	for range 20 {
		c, err := p.dial()
		require.NoError(t, err)
		_, err = c.send()
		require.NoError(t, err)
		_, last, err := c.receive()
		require.NoError(t, err)
		require.False(t, last)
	}
	started := time.Now()
	p.signal(syscall.SIGTERM)
	p.awaitEnd()
	assert.Less(t, time.Since(started), lastUse+350*time.Millisecond)
}

// Load pattern: callers whose look-up has just expired open connections until the
// instance stops accepting, and send their requests a moment later. Targets take
// longer than the rest of the shutdown period. Guards against passing on such a
// request and cutting it at the end without a response.
func TestRequestsLateInAStopAreAnswered(t *testing.T) {
	p := newProcess(t, 4*time.Second)
	p.startReady()
	started := time.Now()
	p.signal(syscall.SIGTERM)
	var callers sync.WaitGroup
	type result struct {
		id     string
		sent   time.Duration
		status int
		err    error
	}
	results := make(chan result, 40)
	for i := range cap(results) {
		callers.Go(func() {
			time.Sleep(time.Until(started.Add(lastUse - 200*time.Millisecond + time.Duration(i)*5*time.Millisecond)))
			c, err := p.dial()
			if errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			if !assert.NoError(t, err) {
				return
			}
			time.Sleep(150 * time.Millisecond)
			sent := time.Since(started)
			id, err := c.send()
			status := 0
			if err == nil {
				status, _, err = c.receive()
			}
			results <- result{id, sent, status, err}
		})
	}
	callers.Wait()
	close(results)
	p.awaitEnd()
	executions := p.target.Executions()
	late := 0
	for r := range results {
		if r.sent < lastUse {
			continue // Callers may still use the instance.
		}
		if executions[r.id] > 0 {
			assert.NoError(t, r.err, "passed on and cut: sent after %s", r.sent)
		}
		if r.err == nil {
			late++
			assert.Equal(t, http.StatusServiceUnavailable, r.status)
			assert.Zero(t, executions[r.id], "refused and executed")
		}
	}
	t.Logf("%d answered that were sent later than %s", late, lastUse)
	assert.NotZero(t, late)
}
