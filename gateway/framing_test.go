package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/steering"
)

// arrivalLog records what a target receives.
type arrivalLog struct {
	mu       sync.Mutex
	arrivals []string
}

func (l *arrivalLog) handle(_ int, r *http.Request, c net.Conn) bool {
	body, err := io.ReadAll(r.Body)
	l.mu.Lock()
	l.arrivals = append(l.arrivals, fmt.Sprintf("%s %s %s %s %v %q", r.Method, r.RequestURI, r.Host, r.Header.Get(platform.HeaderExpectTarget),
		r.Header.Values(platform.HeaderRequestID), body))
	l.mu.Unlock()
	if err != nil {
		return false
	}
	_, err = io.WriteString(c, stampedHead(200, r)+"Content-Length: 0\r\n\r\n")
	return err == nil
}

// take returns what has arrived since the last call.
func (l *arrivalLog) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrivals := l.arrivals
	l.arrivals = nil
	return arrivals
}

// framingSites returns an instance beside its target, one that uses a relay, and a
// relay that is called directly, all with one log of arrivals.
func framingSites(t *testing.T, arrivals *arrivalLog) map[string]*site {
	far := startFarSite(t, nil, arrivals.handle)
	return map[string]*site{"direct": startSite(t, siteOptions{scripts: []script{arrivals.handle}}), "relayed": far.site,
		"relay": {t: t, address: far.relayAddress}}
}

// answers sends bytes and returns the status of each response and whether the
// connection was closed after the last one.
func (s *site) answers(input string) (statuses []int, closed bool) {
	c := s.dial()
	_, err := io.WriteString(c.Conn, input)
	require.NoError(s.t, err)
	for {
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			netErr, ok := err.(net.Error)
			return statuses, !ok || !netErr.Timeout()
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses = append(statuses, response.StatusCode)
	}
}

const framingHost = "Host: " + host + "\r\n"

func framingHeaders(id string) string {
	return framingHost + platform.HeaderRequestID + ": " + id + "\r\n" + platform.HeaderDeadline + ": 3000\r\nJacinth-Relay-Target: script0\r\n"
}

// Guards against running a request that is part of another one's body, and against
// passing on a request with another body, because its head does not declare the
// framing in a valid way.
func TestAmbiguousRequestIsRefused(t *testing.T) {
	inner := "POST /unsafe/inner HTTP/1.1\r\n" + framingHeaders("inner") + "Content-Length: 0\r\n\r\n"
	post := "POST /unsafe/x HTTP/1.1\r\n" + framingHeaders("outer")
	length := fmt.Sprint(len(inner))
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	cases := map[string]string{
		"blank before the colon of the length":   post + "Content-Length : " + length + "\r\n\r\n" + inner,
		"tab before the colon of the length":     post + "Content-Length\t: " + length + "\r\n\r\n" + inner,
		"blank before the colon of the encoding": post + "Transfer-Encoding : chunked\r\n\r\n" + chunked,
		"blank before the first name":            "POST /unsafe/x HTTP/1.1\r\n Content-Length: " + length + "\r\n" + framingHeaders("outer") + "\r\n" + inner,
		"blank within a name":                    post + "Content Length: " + length + "\r\n\r\n" + inner,
		"NUL in a name":                          post + "Content-Length\x00: " + length + "\r\n\r\n" + inner,
		"no name":                                post + ": " + length + "\r\n\r\n" + inner,
		"line without a colon":                   post + "Content-Length\r\n\r\n" + inner,
		"folded line":                            post + "X-Other: a\r\n Content-Length: " + length + "\r\n\r\n" + inner,
		"folded length":                          post + "Content-Length:\r\n " + length + "\r\n\r\n" + inner,
		"folded encoding":                        post + "Transfer-Encoding:\r\n chunked\r\n\r\n" + chunked,
		"bare CR":                                post + "X-Other: a\rContent-Length: " + length + "\r\n\r\n" + inner,
		"NUL in a value":                         post + "X-Other: a\x00\r\nContent-Length: 0\r\n\r\n",
		"DEL in a value":                         post + "X-Other: a\x7f\r\nContent-Length: 0\r\n\r\n",
		"two lengths":                            post + "Content-Length: 0\r\nContent-Length: " + length + "\r\n\r\n" + inner,
		"list of lengths":                        post + "Content-Length: 5, 5\r\n\r\nhello",
		"signed length":                          post + "Content-Length: +5\r\n\r\nhello",
		"negative length":                        post + "Content-Length: -1\r\n\r\n" + inner,
		"hexadecimal length":                     post + "Content-Length: 0x5\r\n\r\nhello",
		"empty length":                           post + "Content-Length: \r\n\r\n" + inner,
		"huge length":                            post + "Content-Length: 18446744073709551617\r\n\r\n" + inner,
		"length and encoding":                    post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"encoding and length":                    post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"unknown encoding":                       post + "Transfer-Encoding: xchunked\r\n\r\n" + chunked,
		"two encodings":                          post + "Transfer-Encoding: identity, chunked\r\n\r\n" + chunked,
		"two encoding lines":                     post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + chunked,
		"encoding that isn't chunked":            post + "Transfer-Encoding: identity\r\n\r\n" + inner,
		"quoted encoding":                        post + "Transfer-Encoding: \"chunked\"\r\n\r\n" + chunked,
		"chunked HTTP/1.0":                       strings.Replace(post, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n" + chunked,
		"chunked HTTP/1.0 after a long header":   strings.Replace(post, "HTTP/1.1", "HTTP/1.0", 1) + "X-Other: " + strings.Repeat("x", 9000) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"HTTP/0.9":                               strings.Replace(post, "HTTP/1.1", "HTTP/0.9", 1) + "\r\n",
		"HTTP/2":                                 strings.Replace(post, "HTTP/1.1", "HTTP/2.0", 1) + "\r\n",
		"signed chunk size":                      post + "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
		"hexadecimal prefix of a chunk size":     post + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
		"huge chunk size":                        post + "Transfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n",
		"empty chunk size":                       post + "Transfer-Encoding: chunked\r\n\r\n\r\nhello\r\n0\r\n\r\n",
		"bare LF after a chunk size":             post + "Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
		"bare LF after a chunk":                  post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\n0\r\n\r\n",
		"bare LF after an extension":             post + "Transfer-Encoding: chunked\r\n\r\n5;a\nhello\r\n0\r\n\r\n",
		"bytes after a chunk":                    post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloworld\r\n0\r\n\r\n",
		"two hosts":                              "POST /unsafe/x HTTP/1.1\r\nHost: other.example\r\n" + framingHeaders("outer") + "Content-Length: 0\r\n\r\n",
		"two equal hosts":                        post + framingHost + "Content-Length: 0\r\n\r\n",
		"two IDs":                                post + platform.HeaderRequestID + ": other\r\nContent-Length: 0\r\n\r\n",
		"ID and empty ID":                        post + platform.HeaderRequestID + ":\r\nContent-Length: 0\r\n\r\n",
		"list of IDs, then one":                  strings.Replace(post, ": outer", ": outer, other", 1) + platform.HeaderRequestID + ": outer\r\nContent-Length: 0\r\n\r\n",
		"CONNECT":                                strings.Replace(post, "POST /unsafe/x", "CONNECT "+host+":80", 1) + "\r\n" + inner,
		"CONNECT with a path":                    strings.Replace(post, "POST /unsafe/x", "CONNECT /unsafe/x", 1) + "\r\n" + inner,
		"blank in the path":                      strings.Replace(post, "/unsafe/x", "/unsafe/x y", 1) + "Content-Length: 0\r\n\r\n",
		"two blanks before the path":             strings.Replace(post, "/unsafe/x", " /unsafe/x", 1) + "Content-Length: 0\r\n\r\n",
		"control character in the path":          strings.Replace(post, "/unsafe/x", "/unsafe/\x01x", 1) + "Content-Length: 0\r\n\r\n",
	}
	arrivals := &arrivalLog{}
	for way, s := range framingSites(t, arrivals) {
		for name, input := range cases {
			statuses, closed := s.answers(input)
			assert.Equal(t, []int{400}, statuses, "%s, %s", way, name)
			assert.True(t, closed, "%s, %s: the connection stays open", way, name)
			assert.Empty(t, arrivals.take(), "%s, %s", way, name)
		}
	}
}

// Guards against refusing or changing proper requests that are unusual.
func TestUnusualRequestIsPassedOnUnchanged(t *testing.T) {
	type message struct{ line, headers, body, uri, arrivedBody string }
	long := strings.Repeat("x", 6000)
	cases := map[string]message{
		"GET with a length":      {line: "GET /safe/x", headers: "Content-Length: 5\r\n", body: "hello", arrivedBody: "hello"},
		"GET in chunks":          {line: "GET /safe/x", headers: "Transfer-Encoding: chunked\r\n", body: "5\r\nhello\r\n0\r\n\r\n", arrivedBody: "hello"},
		"equal lengths":          {line: "POST /unsafe/x", headers: "Content-Length: 5\r\nContent-Length: 5\r\n", body: "hello", arrivedBody: "hello"},
		"zeros before a length":  {line: "POST /unsafe/x", headers: "Content-Length: 005\r\n", body: "hello", arrivedBody: "hello"},
		"encoding in capitals":   {line: "POST /unsafe/x", headers: "Transfer-Encoding: Chunked\r\n", body: "5\r\nhello\r\n0\r\n\r\n", arrivedBody: "hello"},
		"chunk extensions":       {line: "POST /unsafe/x", headers: "Transfer-Encoding: chunked\r\n", body: "005;a=\"b\"\r\nhello\r\n0;c\r\n\r\n", arrivedBody: "hello"},
		"trailer":                {line: "POST /unsafe/x", headers: "Transfer-Encoding: chunked\r\nTrailer: X-Other\r\n", body: "5\r\nhello\r\n0\r\nX-Other: a\r\n\r\n", arrivedBody: "hello"},
		"TE":                     {line: "POST /unsafe/x", headers: "TE: trailers, chunked\r\nContent-Length: 5\r\n", body: "hello", arrivedBody: "hello"},
		"empty header":           {line: "GET /safe/x", headers: "X-Other:\r\nX-Other2: \t \r\n"},
		"non-ASCII value":        {line: "GET /safe/x", headers: "X-Other: \xc3\xa9\xff\ta\r\n"},
		"punctuation in a name":  {line: "GET /safe/x", headers: "X!#$%&'*+-.^_`|~9: a\r\n"},
		"long header":            {line: "GET /safe/x", headers: "X-Other: " + long + "\r\n"},
		"two equal IDs":          {line: "GET /safe/x", headers: platform.HeaderRequestID + ": outer\r\n"},
		"double slash":           {line: "GET /safe//x"},
		"encoded slash":          {line: "GET /safe/a%2Fb%2f..%2F"},
		"dots":                   {line: "GET /safe/./a/../../b"},
		"encoded dots":           {line: "GET /safe/%2e%2E/a"},
		"odd characters":         {line: "GET /safe/[a]\"<>|^`{}\\'!$&()*+,;=:@~"},
		"non-ASCII path":         {line: "GET /safe/\xc3\xa9"},
		"query":                  {line: "GET /safe/x?a=b&c=%zz;d?e//../\"<>"},
		"empty query":            {line: "GET /safe/x?"},
		"long path":              {line: "GET /safe/" + long},
		"hash":                   {line: "GET /safe/x#a"},
		"absolute":               {line: "GET http://" + host + "/safe/x?a=b", uri: "/safe/x?a=b"},
		"absolute, odd path":     {line: "GET http://" + host + "/safe/[a]\"<>|^/%2F/../b", uri: "/safe/[a]\"<>|^/%2F/../b"},
		"absolute, odd query":    {line: "GET http://" + host + "/safe/x?a=http://b/\"c", uri: "/safe/x?a=http://b/\"c"},
		"absolute, slashes":      {line: "GET http://" + host + "/safe//%2f//", uri: "/safe//%2f//"},
		"absolute, without host": {line: "GET http:///safe/\"", uri: "/safe/\""},
		"connection headers":     {line: "GET /safe/x", headers: "Connection: keep-alive, " + platform.HeaderExpectTarget + ", " + platform.HeaderDeadline + ", Jacinth-Relay-Target\r\n"},
		"absolute, own host":     {line: "GET HTTP://" + host + "/safe/x", uri: "/safe/x"},
		"absolute, empty query":  {line: "GET http://" + host + "/safe/x?", uri: "/safe/x?"},
	}
	arrivals := &arrivalLog{}
	sites := framingSites(t, arrivals)
	delete(sites, "relay")
	for way, s := range sites {
		for name, m := range cases {
			method, uri, _ := strings.Cut(m.line, " ")
			if m.uri != "" {
				uri = m.uri
			}
			next := "GET /no-route HTTP/1.1\r\nConnection: close\r\n" + framingHeaders("next") + "\r\n"
			statuses, _ := s.answers(m.line + " HTTP/1.1\r\n" + framingHeaders("outer") + m.headers + "\r\n" + m.body + next)
			assert.Equal(t, []int{200, 404}, statuses, "%s, %s", way, name)
			ids := []string{"outer"}
			if name == "two equal IDs" {
				ids = append(ids, "outer")
			}
			assert.Equal(t, []string{fmt.Sprintf("%s %s %s script0 %v %q", method, uri, host, ids, m.arrivedBody)}, arrivals.take(), "%s, %s", way, name)
		}
	}
}

// Guards against sending on what only the caller's connection concerns, and against
// dropping the headers of this system that a caller's Connection header names.
func TestConnectionHeaderConcernsCallersHeadersOnly(t *testing.T) {
	var mu sync.Mutex
	var received http.Header
	handle := func(_ int, r *http.Request, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		received = r.Header.Clone()
		_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	for way, s := range map[string]*site{"direct": startSite(t, siteOptions{scripts: []script{handle}}), "relayed": startFarSite(t, nil, handle).site} {
		statuses, _ := s.answers("POST /unsafe/x HTTP/1.1\r\n" + framingHeaders("outer") + "X-Own: a\r\nConnection: close, x-own, " + platform.HeaderExpectTarget + ", " +
			platform.HeaderDeadline + ", Jacinth-Relay-Target, Jacinth-Relay-Once\r\nContent-Length: 0\r\n\r\n")
		assert.Equal(t, []int{200}, statuses, way)
		mu.Lock()
		assert.Equal(t, "script0", received.Get(platform.HeaderExpectTarget), way)
		assert.NotEmpty(t, received.Get(platform.HeaderDeadline), way)
		assert.Empty(t, received.Get("X-Own"), way)
		mu.Unlock()
	}
}

// Guards against a request whose host in the absolute URI differs from that of the
// header being run with the route of one and the host of the other.
func TestHostOfAbsoluteURIDecides(t *testing.T) {
	arrivals := &arrivalLog{}
	for way, s := range framingSites(t, arrivals) {
		if way == "relay" {
			continue
		}
		head := strings.Replace(framingHeaders("outer"), host, "other.example", 1)
		statuses, _ := s.answers("GET http://" + host + "/safe/x HTTP/1.1\r\nConnection: close\r\n" + head + "\r\n")
		assert.Equal(t, []int{200}, statuses, way)
		assert.Equal(t, []string{fmt.Sprintf("GET /safe/x %s script0 [outer] %q", host, "")}, arrivals.take(), way)
		statuses, _ = s.answers("GET http://other.example/safe/x HTTP/1.1\r\nConnection: close\r\n" + framingHeaders("outer") + "\r\n")
		assert.Equal(t, []int{404}, statuses, way)
		assert.Empty(t, arrivals.take(), way)
	}
}

// Guards against a deadline that is lost or lengthened because it is repeated or
// out of range.
func TestOddDeadlinesAreBounded(t *testing.T) {
	var mu sync.Mutex
	var values [][]string
	s := startSite(t, siteOptions{scripts: []script{func(_ int, r *http.Request, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		values = append(values, slices.Clone(r.Header.Values(platform.HeaderDeadline)))
		_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 0\r\n\r\n")
		return err == nil
	}}})
	for _, odd := range []string{"99999999999999999999", "9223372036854775807", "9300000000000000", "1e309", "x", "", "1.5", "3000, 1"} {
		statuses, _ := s.answers("GET /safe/x HTTP/1.1\r\n" + framingHost + platform.HeaderRequestID + ": r\r\n" + platform.HeaderDeadline + ": " + odd + "\r\n" + platform.HeaderDeadline + ": 99999\r\nConnection: close\r\n\r\n")
		assert.Equal(t, []int{200}, statuses, "%q", odd)
		mu.Lock()
		if assert.Len(t, values, 1, "%q", odd) && assert.Len(t, values[0], 1, "%q", odd) {
			var ms int
			_, err := fmt.Sscan(values[0][0], &ms)
			assert.NoError(t, err)
			assert.True(t, ms > 0 && ms <= 2000, "%q: %d ms passed on, route timeout 2 s", odd, ms)
		}
		values = nil
		mu.Unlock()
	}
}

// Guards against a long body that breaks off in an invalid chunk reaching a target
// as a complete one, and against running what follows it.
func TestInvalidChunkInLongBodyEndsTheRequest(t *testing.T) {
	arrivals := &arrivalLog{}
	inner := "POST /unsafe/inner HTTP/1.1\r\n" + framingHeaders("inner") + "Content-Length: 0\r\n\r\n"
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	for way, s := range framingSites(t, arrivals) {
		for _, rest := range []string{"+0\r\n\r\n", "0\n\r\n", "-1\r\n\r\n", "5\r\nhelloworld\r\n0\r\n\r\n", "0\r\n" + inner} {
			statuses, closed := s.answers("POST /unsafe/x HTTP/1.1\r\n" + framingHeaders("outer") + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 40) + rest + inner)
			assert.NotContains(t, statuses, 200, "%s, %q", way, rest)
			assert.LessOrEqual(t, len(statuses), 1, "%s, %q", way, rest)
			assert.True(t, closed, "%s, %q: the connection stays open", way, rest)
			for _, arrival := range arrivals.take() {
				assert.NotContains(t, arrival, "[inner]", "%s, %q", way, rest)
			}
		}
	}
}

// Guards against refusing or losing the requests before an ambiguous one.
func TestRequestsBeforeAnAmbiguousOneAreAnswered(t *testing.T) {
	arrivals := &arrivalLog{}
	for way, s := range framingSites(t, arrivals) {
		good := "GET /safe/x HTTP/1.1\r\n" + framingHeaders("good") + "\r\n"
		statuses, closed := s.answers(good + good + "GET /safe/x HTTP/1.1\r\nX-Other : a\r\n" + framingHeaders("bad") + "\r\n" + good)
		assert.Equal(t, []int{200, 200, 400}, statuses, way)
		assert.True(t, closed, way)
		assert.Len(t, arrivals.take(), 2, way)
	}
}

// Guards against changing or refusing request IDs with unusual characters.
func TestUnusualRequestIDIsPassedOnUnchanged(t *testing.T) {
	arrivals := &arrivalLog{}
	for way, s := range framingSites(t, arrivals) {
		for _, id := range []string{"a b", "a, b;c=\"d\"", "\xc3\xa9\xff", "a\tb", "%0d%0a", strings.Repeat("x", 6000)} {
			statuses, _ := s.answers("GET /safe/x HTTP/1.1\r\nConnection: close\r\n" + framingHeaders(id) + "\r\n")
			assert.Equal(t, []int{200}, statuses, "%s, %q", way, id)
			got := arrivals.take()
			assert.Len(t, got, 1, "%s, %q", way, id)
			assert.Contains(t, fmt.Sprint(got), "["+id+"]", way)
		}
	}
}

// Guards against requests that are refused while they are read without a trace in
// the log.
func TestRequestRefusedWhileReadIsLogged(t *testing.T) {
	for reason, input := range map[string]string{
		"invalid-request": "POST /unsafe/x HTTP/1.1\r\n" + framingHeaders("r1") + "Content-Length : 4\r\n\r\nbody",
		"not-http":        "hello\r\n\r\n",
		"body-too-large":  "POST /unsafe/x HTTP/1.1\r\n" + framingHeaders("r1") + "Content-Length: 40\r\n\r\n",
		"head-too-large":  "GET /safe/" + strings.Repeat("x", 20000) + " HTTP/1.1\r\n",
		"head-too-slow":   "GET / HTTP/1.1\r\n",
	} {
		logs := memory.New()
		s := startSite(t, siteOptions{targets: fastTargets(1), logs: logs, limits: steering.Limits{MaxBodyBytes: 30, MaxHeadBytes: 8 << 10, HeadTimeout: 100 * time.Millisecond}})
		statuses, _ := s.answers(input)
		require.Len(t, statuses, 1, reason)
		require.Eventually(t, func() bool { return s.server.Connections() == 0 }, 5*time.Second, time.Millisecond)
		refused := entriesNamed(logs, "request-unreadable")
		if assert.Len(t, refused, 1, reason) {
			assert.Equal(t, reason, refused[0].Fields["reason"])
			assert.EqualValues(t, statuses[0], refused[0].Fields["status"], reason)
			assert.NotEmpty(t, refused[0].Fields["caller"], reason)
		}
	}
}

// Guards against a 400, after which a caller does not retry, for a proper request
// whose head is not complete in time or breaks off within a line.
func TestIncompleteHeadIsNotInvalid(t *testing.T) {
	head := "GET /safe/x HTTP/1.1\r\n" + framingHeaders("r1") + "\r\n"
	s := startSite(t, siteOptions{targets: fastTargets(1), limits: steering.Limits{HeadTimeout: 50 * time.Millisecond}})
	for _, end := range []int{1, 5, 15, 21, 22, 24, 30, 43, len(head) - 3, len(head) - 2, len(head) - 1} {
		statuses, _ := s.answers(head[:end])
		assert.Equal(t, []int{408}, statuses, "%q", head[:end])
		c := s.dial()
		_, err := io.WriteString(c.Conn, head[:end])
		require.NoError(t, err)
		require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		received, err := io.ReadAll(c)
		assert.NoError(t, err, "%q", head[:end])
		assert.Empty(t, string(received), "%q", head[:end])
	}
	assert.Zero(t, s.executed("r1"))
}
