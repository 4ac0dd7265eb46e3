package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/steering"
)

// cutResponse is a response that a target breaks off.
type cutResponse struct {
	name, method string
	status       int    // That callers get for the complete response.
	rest         string // Of the head after the stamp, with the body.
	body         string
	// closeDelimited responses have no declared length. Cut in the body and closed
	// without a reset, they cannot be told from complete ones.
	closeDelimited bool
	notExecuted    bool // The target states that it did not execute the request.
}

func (response *cutResponse) wire(r *http.Request) string {
	status := response.status
	if response.name == "unconfirmed 503" {
		status = 503
	}
	return stampedHead(status, r) + response.rest
}

var cutResponses = []cutResponse{
	{name: "length", method: "GET", status: 200, rest: "Content-Length: 16\r\n\r\n0123456789abcdef", body: "0123456789abcdef"},
	{name: "chunks", method: "GET", status: 200, rest: "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\nX-T: v\r\n\r\n", body: "0123456789abcdef"},
	{name: "no length", method: "GET", status: 200, rest: "\r\n0123456789abcdef", body: "0123456789abcdef", closeDelimited: true},
	{name: "no content", method: "GET", status: 204, rest: "\r\n"},
	{name: "not modified", method: "GET", status: 304, rest: "\r\n"},
	{name: "HEAD", method: "HEAD", status: 200, rest: "Content-Length: 512\r\n\r\n"},
	{name: "error", method: "POST", status: 500, rest: "Content-Length: 5\r\n\r\nsorry", body: "sorry"},
	{name: "unconfirmed 503", method: "POST", status: 502, rest: "Content-Length: 0\r\n\r\n"},
	{name: "not executed", method: "POST", status: 503, rest: platform.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n", notExecuted: true},
}

// cutScript plays a response in requests whose path ends with /cut/N/fin or
// /cut/N/rst: it sends N bytes of it and closes or resets the connection. Other
// requests get their path as the body.
type cutScript struct {
	response *cutResponse
	mu       sync.Mutex
	cuts     map[string]int // By request ID.
}

func (script *cutScript) handle(_ int, r *http.Request, c net.Conn) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	_, cut, ok := strings.Cut(r.URL.Path, "/cut/")
	if !ok {
		_, err := io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path))
		return err == nil
	}
	script.mu.Lock()
	script.cuts[r.Header.Get(platform.HeaderRequestID)]++
	script.mu.Unlock()
	length, ending, _ := strings.Cut(cut, "/")
	n, _ := strconv.Atoi(length)
	_, _ = io.WriteString(c, script.response.wire(r)[:n])
	if ending == "rst" {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return false
}

func (script *cutScript) cutCount(id string) int {
	script.mu.Lock()
	defer script.mu.Unlock()
	return script.cuts[id]
}

// receiveOrAbort returns a response, or an error if the transfer was visibly
// aborted.
func (c *caller) receiveOrAbort(method string) (callerResponse, error) {
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return callerResponse{}, err
	}
	body, err := io.ReadAll(r.Body)
	return callerResponse{Response: r, body: string(body)}, err
}

// Guards against a response that breaks off at the target and reaches the caller
// as a complete one, directly or through a relay, against repeating what cannot be
// repeated, and against giving the rest to the next request.
func TestResponseCutAtTargetIsVisibleToCaller(t *testing.T) {
	for i := range cutResponses {
		for _, route := range []string{"safe", "unsafe"} {
			for _, path := range []string{"direct", "relayed"} {
				response := &cutResponses[i]
				t.Run(fmt.Sprint(response.name, " ", route, " ", path), func(t *testing.T) {
					t.Parallel()
					script := &cutScript{response: response, cuts: map[string]int{}}
					playCuts(t, script, route, path == "relayed")
				})
			}
		}
	}
}

func playCuts(t *testing.T, cutting *cutScript, route string, relayed bool) {
	scripts := []script{cutting.handle, cutting.handle, cutting.handle, cutting.handle}
	var s *site
	if relayed {
		s = startFarSite(t, nil, scripts...).site
	} else {
		s = startSite(t, siteOptions{scripts: scripts})
	}
	response := cutting.response
	probe := &http.Request{Header: http.Header{platform.HeaderRequestID: {"r00000"}}}
	length := len(response.wire(probe))
	headLength := strings.Index(response.wire(probe), "\r\n\r\n") + len("\r\n\r\n")
	c, played := s.dial(), 0
	for n := range length + 1 {
		for e, ending := range []string{"fin", "rst"} {
			id := fmt.Sprintf("r%05d", 2*n+e)
			name := fmt.Sprintf("%s after %d of %d bytes, %s", id, n, length, ending)
			body := ""
			if response.method == "POST" {
				body = "b"
			}
			c.send(response.method, fmt.Sprintf("/%s/%s/cut/%d/%s", route, id, n, ending), id, body)
			resp, err := c.receiveOrAbort(response.method)
			cuts := cutting.cutCount(id)
			if cuts > 0 {
				played++
			}
			if route == "unsafe" && !response.notExecuted {
				require.LessOrEqual(t, cuts, 1, name)
			}
			if err != nil {
				c = s.dial()
			} else {
				whole := n == length && (ending == "fin" || !response.closeDelimited)
				checkCutResponse(t, response, resp, name, cuts, whole, n >= headLength && ending == "fin")
			}
			next := "n" + id
			c.send("GET", "/"+route+"/"+next, next, "")
			if resp, err = c.receiveOrAbort("GET"); err != nil {
				c = s.dial()
			} else if resp.StatusCode == 200 {
				require.Equal(t, "/"+route+"/"+next, resp.body, name)
			}
		}
	}
	assert.Greater(t, played, length, "cuts played")
}

func checkCutResponse(t *testing.T, response *cutResponse, got callerResponse, name string, cuts int, complete, endOfBody bool) {
	switch {
	case got.StatusCode == response.status && got.Header.Get(platform.HeaderServerStamp) != "":
		assert.True(t, complete || response.closeDelimited && endOfBody, name+": looks complete")
		if complete {
			assert.Equal(t, response.body, got.body, name)
		}
	case got.StatusCode == http.StatusServiceUnavailable:
		assert.True(t, cuts == 0 || response.notExecuted && complete, name+": a promise after %d executions", cuts)
	default:
		assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.StatusCode, name)
		assert.Empty(t, got.Header.Get(platform.HeaderServerStamp), name)
		assert.Empty(t, got.body, name)
	}
}

// Guards against a long response, which is streamed, that breaks off at the target
// and looks complete to the caller.
func TestLongResponseCutAtTargetIsVisibleToCaller(t *testing.T) {
	const size = 300 << 10
	body := strings.Repeat("0123456789abcdef", size/16)
	for _, path := range []string{"direct", "relayed"} {
		for _, framing := range []string{"length", "chunks", "none"} {
			t.Run(framing+" "+path, func(t *testing.T) {
				t.Parallel()
				handle := func(_ int, r *http.Request, c net.Conn) bool {
					n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/unsafe/"))
					if err != nil {
						return false
					}
					sent := body[:n]
					switch framing {
					case "length":
						_, _ = io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, sent))
					case "chunks":
						_, _ = io.WriteString(c, stampedHead(200, r)+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", n, sent))
					case "none":
						_, _ = io.WriteString(c, stampedHead(200, r)+"\r\n"+sent)
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					return false
				}
				for i, n := range []int{1, 4 << 10, 128<<10 - 1, 128 << 10, 128<<10 + 1, 200 << 10, size - 1} {
					var s *site
					if path == "relayed" {
						f := startFarSite(t, nil, handle)
						f.setDialTimeout(longDialTimeout)
						s = f.site
					} else {
						s = startSite(t, siteOptions{scripts: []script{handle}})
						s.gateway.SetDialTimeout(longDialTimeout)
					}
					c := s.dial()
					c.send("GET", fmt.Sprint("/unsafe/", n), fmt.Sprint("r", i), "")
					resp, err := c.receiveOrAbort("GET")
					if err == nil {
						assert.Equal(t, 502, resp.StatusCode, "%d bytes", n)
					}
				}
			})
		}
	}
}

// cuttingProxy forwards connections to an address and closes them after a number
// of bytes in the other direction.
func cuttingProxy(t *testing.T, to string, bytes int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			here, err := listener.Accept()
			if err != nil {
				return
			}
			there, err := net.Dial("tcp", to)
			if err != nil {
				_ = here.Close()
				return
			}
			go func() { _, _ = io.Copy(there, here) }()
			go func() {
				_, _ = io.CopyN(here, there, bytes)
				_ = here.Close()
				_ = there.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a relay's response that breaks off on its way to the peer and
// counts as complete, or as the relay's statement that the request was not sent.
func TestResponseCutAtRelayIsVisibleToCaller(t *testing.T) {
	for _, framing := range []string{"length", "chunks", "HEAD", "not executed"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			executions := map[string]int{}
			method, rest := "GET", "Content-Length: 16\r\n\r\n0123456789abcdef"
			switch framing {
			case "chunks":
				rest = "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n"
			case "HEAD":
				method = "HEAD"
			case "not executed":
				rest = platform.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
			}
			respond := func(_ int, r *http.Request, c net.Conn) bool {
				mu.Lock()
				executions[r.Header.Get(platform.HeaderRequestID)]++
				mu.Unlock()
				status := 200
				if framing == "not executed" {
					status = 503
				}
				_, err := io.WriteString(c, stampedHead(status, r)+rest)
				return err == nil
			}
			complete := 0
			for n := int64(1); n < 400 && complete < 3; n++ {
				f := startFarSite(t, nil, respond) // A target that failed before would not be used.
				f.setDialTimeout(longDialTimeout)
				address := cuttingProxy(t, f.relayAddress, n)
				f.gateway.UpdateRelays(steering.Instance{Name: "asked", Domain: "near", Region: "r1"},
					[]steering.Instance{{Name: "beside", Domain: "d", Region: "r2"}}, func(steering.Instance) string { return address })
				id := fmt.Sprintf("r%05d", n)
				c := f.dial()
				c.send(method, "/unsafe/"+id, id, "")
				resp, err := c.receiveOrAbort(method)
				mu.Lock()
				count := executions[id]
				mu.Unlock()
				switch {
				case err != nil:
				case resp.StatusCode == 200:
					complete++
					assert.Equal(t, "stamp", resp.Header.Get(platform.HeaderServerStamp))
					if method == "GET" {
						assert.Equal(t, "0123456789abcdef", resp.body, "%d bytes", n)
					}
				case resp.StatusCode == 503:
					complete++
					assert.Equal(t, "not executed", framing, "%d bytes", n)
				default:
					assert.Equal(t, 502, resp.StatusCode, "%d bytes", n)
					assert.Zero(t, complete, "%d bytes", n)
				}
				if framing != "not executed" {
					assert.Equal(t, 1, count, "%d bytes", n)
				}
			}
			assert.Equal(t, 3, complete)
		})
	}
}
