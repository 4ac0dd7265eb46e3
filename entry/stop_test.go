package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// stopCaller keeps to a look-up answer for its lifetime, as callers do.
type stopCaller struct {
	http   *http.Client
	known  []string
	until  time.Time
	served map[string]int
	faults []string
}

func newStopCaller(known ...string) *stopCaller {
	return &stopCaller{http: &http.Client{Timeout: longWait, Transport: &http.Transport{}}, known: known, served: map[string]int{}}
}

func (c *stopCaller) lookUp() {
	for _, address := range c.known {
		answer, err := c.http.Get("http://" + address + pathLookup)
		if err != nil {
			continue
		}
		var list LookupAnswer
		err = json.NewDecoder(answer.Body).Decode(&list)
		_ = answer.Body.Close()
		if err != nil || len(list.Instances) == 0 {
			continue
		}
		c.known = nil
		for _, instance := range list.Instances {
			c.known = append(c.known, instance.Address)
		}
		c.until = time.Now().Add(time.Duration(list.TTLMs) * time.Millisecond)
		return
	}
}

// send counts a fault unless some instance gives the whole answer. A refused
// connection is none: the request was not sent.
func (c *stopCaller) send() {
	if !time.Now().Before(c.until) {
		c.lookUp()
	}
	for _, address := range c.known {
		answer, err := c.http.Post("http://"+address+"/writes/x", "text/plain", strings.NewReader("body"))
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			continue
		}
		if err != nil {
			c.faults = append(c.faults, err.Error())
			return
		}
		content, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil || string(content) != "body" {
			c.faults = append(c.faults, fmt.Sprint(answer.StatusCode, answer.Header.Get(outcome.HeaderReason), err))
			return
		}
		c.served[answer.Header.Get(outcome.HeaderInstance)]++
		return
	}
	c.faults = append(c.faults, "no instance")
}

// stopUnderLoad stops one of two instances while callers send through it, and
// returns what callers saw.
func stopUnderLoad(t *testing.T, atOnce bool) (served map[string]int, faults []string) {
	var slow atomic.Int64
	target := scriptTarget(t, func(_ *http.Request, body []byte, c net.Conn) bool {
		wait := 5 * time.Millisecond
		if slow.Add(1)%10 == 0 {
			wait = 300 * time.Millisecond
		}
		time.Sleep(wait)
		return write(c, wholeAnswer("200 OK", "", string(body)))
	})
	a, b := startInstance(t, "a-1", target), startInstance(t, "b-1", target)
	connect(t, a, b)
	// The stopping instance runs as a whole, on addresses of its own.
	whole := startStopping(t, a, atOnce)
	var wait sync.WaitGroup
	var mu sync.Mutex
	served = map[string]int{}
	stopped := make(chan struct{})
	for range 8 {
		wait.Go(func() {
			c := newStopCaller(whole.in.settings.CallerAddress, b.settings.CallerAddress)
			for more := 5; more > 0; {
				c.send()
				select {
				case <-stopped:
					more--
				default:
				}
			}
			mu.Lock()
			defer mu.Unlock()
			faults = append(faults, c.faults...)
			for name, n := range c.served {
				served[name] += n
			}
		})
	}
	require.Eventually(t, func() bool { return slow.Load() > 100 }, longWait, time.Millisecond)
	whole.cancel()
	require.NoError(t, <-whole.ended)
	if !atOnce {
		assert.Equal(t, "stopped", whole.in.life.State())
	}
	whole.exit()
	close(stopped)
	wait.Wait()
	return served, faults
}

// stopping is an instance whose connections end with it, as those of a process
// do.
type stopping struct {
	in     *Instance
	cancel context.CancelFunc
	ended  chan error

	mu    sync.Mutex
	conns []net.Conn
}

func (s *stopping) accept(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// exit resets all connections.
func (s *stopping) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// startStopping runs a copy of an instance by Run, without a platform.
func startStopping(t *testing.T, like *Instance, atOnce bool) *stopping {
	s := like.settings
	s.Name = "s-1"
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	in, err := New(s, like.log)
	require.NoError(t, err)
	in.stopAtOnce = atOnce
	document := *like.document.Load()
	document.Timing.LookupTTLMs = 200
	in.document.Store(&document)
	in.members = like.members
	ctx, cancel := context.WithCancel(context.Background())
	running := &stopping{in: in, cancel: cancel, ended: make(chan error, 1)}
	in.onAccept = running.accept
	go func() { running.ended <- in.Run(ctx) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, longWait, time.Millisecond)
	return running
}

// Requirement R7: guards against requests that a planned stop cuts. Without
// the drain, the same load sees cut requests.
func TestPlannedStopCutsNothing(t *testing.T) {
	_, faults := stopUnderLoad(t, true)
	require.NotEmpty(t, faults, "the test must see cut requests without the drain")
	served, faults := stopUnderLoad(t, false)
	assert.Empty(t, faults)
	assert.NotZero(t, served["s-1"])
	assert.NotZero(t, served["b-1"])
	t.Log(served)
}
