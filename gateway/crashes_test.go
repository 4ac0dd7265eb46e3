package gateway_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/steering"
)

// crashingTarget is a target that is crashed by requests whose path ends with
// /poison: it sends the first part of its response and goes down for a moment. Other
// requests get a whole response of the same length.
type crashingTarget struct {
	bytes    int // Length of the body.
	sent     int // Bytes of the body that are sent before the crash; -1: not even the head.
	executed atomic.Int32
}

func (target *crashingTarget) handle(_ int, r *http.Request, c net.Conn) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	head, body := stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n", target.bytes), strings.Repeat("x", target.bytes)
	if !strings.HasSuffix(r.URL.Path, "/poison") {
		_, err := io.WriteString(c, head+body)
		return err == nil
	}
	target.executed.Add(1)
	if target.sent >= 0 {
		_, _ = io.WriteString(c, head+body[:target.sent])
		time.Sleep(20 * time.Millisecond) // So that the reset does not overtake the bytes.
	}
	crashTarget(c)
	return false
}

// exchangeSuspicions delivers the reports of all instances to each other.
func exchangeSuspicions(instances ...*gateway.Gateway) {
	for i, from := range instances {
		for j, to := range instances {
			if i != j {
				to.Suspects.ApplyReport(time.Now(), from.Suspects.ReportAll(time.Now()))
			}
		}
	}
}

// startScripts starts targets, and an instance that uses them directly or through a
// relay. It returns the gateways that may count crashes.
func startScripts(t *testing.T, relayed bool, scripts []script) (*site, []*gateway.Gateway) {
	t.Helper()
	if relayed {
		f := startFarSite(t, nil, scripts...)
		return f.site, []*gateway.Gateway{f.gateway, f.relayGateway}
	}
	s := startSite(t, siteOptions{scripts: scripts})
	return s, []*gateway.Gateway{s.gateway}
}

// awaitCrashChecks waits until the checks of targets that have crashed are over.
func awaitCrashChecks() { time.Sleep(100 * time.Millisecond) }

// Guards against a request that crashes targets within their response and is never
// refused: directly and through a relay, in buffered and in streamed responses.
func TestCrashesWithinTheResponseAreCounted(t *testing.T) {
	for name, c := range map[string]struct{ bytes, sent int }{
		"before the head":       {2000, -1},
		"after the head":        {2000, 0},
		"in a short response":   {2000, 900},
		"in a streamed one":     {streamedBytes, firstBytes},
		"in a streamed one, at": {streamedBytes, streamedBytes - 1},
	} {
		for _, route := range []string{"safe", "unsafe"} {
			for _, path := range []string{"direct", "relayed"} {
				t.Run(fmt.Sprint(name, " ", route, " ", path), func(t *testing.T) {
					t.Parallel()
					target := &crashingTarget{bytes: c.bytes, sent: c.sent}
					scripts := []script{}
					for range 6 {
						scripts = append(scripts, target.handle)
					}
					s, instances := startScripts(t, path == "relayed", scripts)
					refused := 0
					for i := range 8 {
						conn := s.dial()
						conn.send("POST", "/"+route+"/poison", fmt.Sprint("r", i), "b")
						if resp, err := conn.receiveOrAbort("POST"); err == nil && resp.StatusCode == http.StatusServiceUnavailable {
							refused++
						}
						awaitCrashChecks()
						exchangeSuspicions(instances...)
					}
					assert.LessOrEqual(t, target.executed.Load(), int32(4), "executions")
					assert.GreaterOrEqual(t, refused, 4)
					assert.Equal(t, 200, s.request("POST", "/"+route+"/sound", "sound", "b").StatusCode)
				})
			}
		}
	}
}

// Guards against counting the crashes of a request apart for each service: of a split
// route, and of one that a new configuration moves.
func TestCrashesOfSeveralServicesAreCountedTogether(t *testing.T) {
	services := []string{"a", "b", "c"}
	for _, way := range []string{"split", "moved"} {
		for _, route := range []string{"safe", "unsafe"} {
			t.Run(fmt.Sprint(way, " ", route), func(t *testing.T) {
				t.Parallel()
				target := &crashingTarget{bytes: 2000, sent: -1}
				var scripts []script
				for range 4 * len(services) {
					scripts = append(scripts, target.handle)
				}
				options := siteOptions{scripts: scripts, services: services, split: []steering.WeightedService{{Service: "a", Weight: 1}}}
				if way == "split" {
					options.split = append(options.split, steering.WeightedService{Service: "b", Weight: 1}, steering.WeightedService{Service: "c", Weight: 1})
				}
				s := startSite(t, options)
				refused := 0
				for i := range 9 {
					if way == "moved" {
						s.moveRoutes(services[i%len(services)])
					}
					if s.request("POST", "/"+route+"/poison", fmt.Sprint("r", i), "b").StatusCode == http.StatusServiceUnavailable {
						refused++
					}
					awaitCrashChecks()
				}
				assert.LessOrEqual(t, target.executed.Load(), int32(4), "executions")
				assert.GreaterOrEqual(t, refused, 5)
				assert.Equal(t, 200, s.request("POST", "/"+route+"/sound", "sound", "b").StatusCode)
			})
		}
	}
}

// Guards against taking a truncated response of a relay, which has ended itself, for
// a crash of the target.
func TestEndOfRelayIsNotACrashOfTheTarget(t *testing.T) {
	target := &crashingTarget{bytes: 2000}
	f := startFarSite(t, nil, target.handle, target.handle)
	f.useRelay(cuttingProxy(t, f.relayAddress, 1000))
	for i := range 6 {
		conn := f.dial()
		conn.send("POST", "/unsafe/sound", fmt.Sprint("r", i), "b")
		_, _ = conn.receiveOrAbort("POST")
		exchangeSuspicions(f.gateway, f.relayGateway)
	}
	require.False(t, f.gateway.Suspects.Any())
}

// Load pattern: a popular request is in flight several times at a target that
// another request crashes. Guards against refusing the popular one.
func TestPopularRequestInFlightAtACrashIsNotRefused(t *testing.T) {
	const copies = 4
	for _, stage := range []string{"head", "body"} {
		t.Run(stage, func(t *testing.T) {
			var inFlight sync.WaitGroup
			inFlight.Add(copies)
			s := startSite(t, siteOptions{scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				if !strings.HasPrefix(r.Header.Get(platform.HeaderRequestID), "caught") {
					_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
					return err == nil
				}
				if stage == "body" {
					_, _ = io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\no")
				}
				inFlight.Done()
				inFlight.Wait()
				time.Sleep(20 * time.Millisecond)
				crashTarget(c) // As another request would.
				return false
			}}})
			var callers sync.WaitGroup
			for i := range copies {
				callers.Go(func() {
					assert.Equal(t, 502, s.request("POST", "/unsafe/popular", fmt.Sprint("caught", i), "b").StatusCode)
				})
			}
			callers.Wait()
			awaitCrashChecks()
			require.Eventually(t, func() bool { // The target is avoided for a moment.
				return s.request("POST", "/unsafe/other", "other", "c").StatusCode == 200
			}, 10*time.Second, 50*time.Millisecond)
			assert.Equal(t, 200, s.request("POST", "/unsafe/popular", "next", "b").StatusCode)
		})
	}
}

// Guards against refusing an upload because others of the same length to the same
// path crash targets, and against not recognizing those.
func TestUploadsOfTheSameLengthAreTold(t *testing.T) {
	const size = 100 << 10
	poison, sound := strings.Repeat("p", size), strings.Repeat("s", size)
	var executed atomic.Int32
	target := func(_ int, r *http.Request, c net.Conn) bool {
		body, _ := io.ReadAll(r.Body)
		if string(body) != poison {
			_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
			return err == nil
		}
		executed.Add(1)
		_, _ = io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\no")
		time.Sleep(20 * time.Millisecond)
		crashTarget(c)
		return false
	}
	s := startSite(t, siteOptions{scripts: []script{target, target, target, target, target, target}})
	refused := 0
	for i := range 6 {
		if s.request("POST", "/unsafe/x", fmt.Sprint("r", i), poison).StatusCode == 503 {
			refused++
		}
		awaitCrashChecks()
	}
	assert.Equal(t, int32(3), executed.Load())
	assert.Equal(t, 3, refused)
	require.Eventually(t, func() bool { // Targets are avoided for a moment.
		return s.request("POST", "/unsafe/other", "other", "c").StatusCode == 200
	}, 10*time.Second, 50*time.Millisecond)
	assert.Equal(t, 200, s.request("POST", "/unsafe/x", "sound", sound).StatusCode)
}

// Guards against replacing a failure response of a target by one of this instance,
// because the request is refused before its second attempt.
func TestFailureResponseIsDeliveredWhenTheRetryIsRefused(t *testing.T) {
	fingerprint := quarantine.Request{Destination: host, Method: "GET", URI: "/safe/x"}.Fingerprint()
	crashed := map[uint64]balance.Suspicion{binary.BigEndian.Uint64(fingerprint[:8]): {CrashCount: balance.CrashCount{Clearance: 7, Crashes: 3}}}
	var s *site
	logs := log.HandlerFunc(func(entry *log.Entry) error {
		if entry.Message == events.AttemptEnded.Message { // A report of a peer arrives.
			s.gateway.Suspects.ApplyReport(time.Now(), crashed)
		}
		return nil
	})
	s = startSite(t, siteOptions{logs: logs, scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, stampedHead(500, r)+"Content-Length: 6\r\n\r\nfailed")
		return err == nil
	}, func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, stampedHead(500, r)+"Content-Length: 6\r\n\r\nfailed")
		return err == nil
	}}})
	resp := s.request("GET", "/safe/x", "r1", "")
	assert.Equal(t, 500, resp.StatusCode)
	assert.Equal(t, "failed", resp.body)
	assert.Equal(t, 503, s.request("GET", "/safe/x", "r2", "").StatusCode, "it is refused")
}

// Load pattern: targets lose responses or break them off, and stay up. Guards against
// refusing requests that they execute.
func TestLostResponsesAreNotCrashes(t *testing.T) {
	for _, route := range []string{"safe", "unsafe"} {
		for _, sent := range []int{-1, 10} {
			for _, path := range []string{"direct", "relayed"} {
				t.Run(fmt.Sprint(route, " ", path, " after ", sent, " bytes"), func(t *testing.T) {
					t.Parallel()
					target := func(_ int, r *http.Request, c net.Conn) bool {
						_, _ = io.Copy(io.Discard, r.Body)
						if strings.HasPrefix(r.Header.Get(platform.HeaderRequestID), "lost") {
							if sent >= 0 {
								_, _ = io.WriteString(c, stampedHead(200, r)+"Content-Length: 20\r\n\r\n"+strings.Repeat("x", sent))
							}
							return false
						}
						_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
						return err == nil
					}
					scripts := []script{target, target, target, target, target, target, target, target}
					s, instances := startScripts(t, path == "relayed", scripts)
					for i := range 5 {
						conn := s.dial()
						conn.send("POST", "/"+route+"/popular", fmt.Sprint("lost", i), "b")
						_, _ = conn.receiveOrAbort("POST")
						awaitCrashChecks()
						exchangeSuspicions(instances...)
					}
					for _, instance := range instances {
						assert.False(t, instance.Suspects.Any())
					}
					require.Eventually(t, func() bool { // Targets are avoided for a moment.
						return s.request("POST", "/"+route+"/other", "other", "c").StatusCode == 200
					}, 10*time.Second, 50*time.Millisecond)
					assert.Equal(t, 200, s.request("POST", "/"+route+"/popular", "next", "b").StatusCode)
				})
			}
		}
	}
}
