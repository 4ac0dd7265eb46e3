package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// mutate returns text with parts of it changed, removed, repeated or replaced by
// values that parsers treat in a special way.
func mutate(random *rand.Rand, text string) string {
	special := []string{"", "0", "-1", "99999999999999999999", "9223372036854775807", "1e309", "NaN", "+Inf", "\r\n", "\x00", ":", ";", ",", "%", " ",
		"chunked", "close", "100-continue", "HEAD", "CONNECT", "OPTIONS *", "http://x", "//", "\xff\xfe", strings.Repeat("x", 9000)}
	for range 1 + random.IntN(4) {
		if text == "" {
			break
		}
		from := random.IntN(len(text))
		to := min(len(text), from+random.IntN(12))
		switch random.IntN(4) {
		case 0:
			text = text[:from] + text[to:]
		case 1:
			text = text[:to] + text[from:]
		case 2:
			text = text[:from] + special[random.IntN(len(special))] + text[to:]
		default:
			words := strings.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == '\n' || r == '\r' })
			if len(words) > 0 {
				text = strings.Replace(text, words[random.IntN(len(words))], special[random.IntN(len(special))], 1)
			}
		}
	}
	return text
}

// Guards against input of callers, peers or targets that ends the process, and
// against connections that never end. A panic in any goroutine fails the test.
func TestArbitraryInputEndsNothingElse(t *testing.T) {
	const seed, inputs, workers = 1, 1200, 8
	var responses atomic.Uint64
	f := startFarSite(t, []wiretarget.Options{{Slots: 16, MaxQueued: 16, WarmTime: time.Millisecond}}, func(_ int, r *http.Request, c net.Conn) bool {
		random := rand.New(rand.NewPCG(seed+1, responses.Add(1)))
		response := stampedHead(200, r) + fmt.Sprintf("Content-Length: 4\r\n%s: 1,2,8\r\n%s: 5\r\nKeep-Alive: timeout=5\r\n\r\nbody", platform.HeaderServerLoad, platform.HeaderServerLimit)
		_, err := io.WriteString(c, mutate(random, response))
		return err == nil && random.IntN(2) == 0
	})
	var callers sync.WaitGroup
	for worker := range workers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker)))
			for i := range inputs / workers {
				request := fmt.Sprintf("POST /%s/x?q=1 HTTP/1.1\r\nHost: %s\r\n%s: r%d-%d\r\n%s: 300\r\nCookie: X-Jacinthstall-Affinity-Key=%d\r\nJacinth-Relay-Target: t0\r\n"+
					"Jacinth-Relay-Limit: 5;10\r\nJacinth-Relay-Overflow: 1\r\nContent-Length: 4\r\n\r\nbody", []string{"safe", "unsafe"}[i%2], host, platform.HeaderRequestID, worker, i, platform.HeaderDeadline, i%7)
				address := []string{f.address, f.relayAddress}[random.IntN(2)]
				conn, err := net.Dial("tcp", address)
				if !assert.NoError(t, err) {
					return
				}
				_, _ = io.WriteString(conn, mutate(random, request)+mutate(random, request))
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}
		})
	}
	callers.Wait()
	assert.Eventually(t, func() bool { return f.server.Connections() == 0 }, 10*time.Second, 10*time.Millisecond)
	assert.Zero(t, f.server.InFlight())
}

// Guards against log lines as long as what a faulty target sends: the errors of the
// HTTP parser quote it.
func TestLogLineAboutAFaultyResponseIsShort(t *testing.T) {
	longest := 0
	logs := log.HandlerFunc(func(entry *log.Entry) error {
		if cause, ok := entry.Fields["cause"].(string); ok {
			longest = max(longest, len(cause))
		}
		return nil
	})
	s := startSite(t, siteOptions{attempts: 1, logs: logs, scripts: []script{func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 "+strings.Repeat("\x01", 60<<10)+"\r\n\r\n")
		return false
	}}})
	assert.Equal(t, 502, s.request("POST", "/unsafe/x", "r1", "b").StatusCode)
	assert.NotZero(t, longest)
	assert.Less(t, longest, 1<<10)
}
