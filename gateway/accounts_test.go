package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	secretKey  = "secret-key"
	keyHeader  = platform.HeaderKey + ": " + secretKey
	forgedName = platform.HeaderAccount + ": forged"
)

// accountsState returns a state with another version of the configuration, decoded
// from a record of the platform. table is the value of the field of the accounts, or
// "" for none.
func accountsState(t *testing.T, before *steering.State, version int, table string) *steering.State {
	t.Helper()
	var routes []string
	for _, name := range []string{"safe", "unsafe", "open", "local"} {
		kind, more := "safe", ""
		switch name {
		case "unsafe":
			kind = "unsafe"
		case "open":
			more = `,"public":true`
		case "local":
			more = `,"homeRegions":["r"]`
		}
		routes = append(routes, fmt.Sprintf(`%q:{"host":%q,"prefix":"/%s/","routeKind":%q,"timeout":"2s","goal":"400ms","attempts":2,"service":"s"%s}`, name, host, name, kind, more))
	}
	if table != "" {
		table = `,"tenants":` + table
	}
	record := fmt.Sprintf(`{"version":"r%d","routes":{%s},"services":{"s":{}}%s}`, version, strings.Join(routes, ","), table)
	update, _ := platform.Codec{}.DecodeUpdate(kv.Item{Key: "op/config", Value: []byte(record)}, time.Now())
	require.NotNil(t, update)
	return before.Apply(uint64(version), []steering.Update{update})
}

// recorder is a script that records the headers of requests. It closes the connection
// of a request with the header X-Break instead of a response.
type recorder struct {
	mu      sync.Mutex
	headers []http.Header
}

func (recorder *recorder) handle(_ int, r *http.Request, c net.Conn) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	recorder.mu.Lock()
	recorder.headers = append(recorder.headers, r.Header)
	recorder.mu.Unlock()
	if r.Header.Get("X-Break") != "" {
		return false
	}
	_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
	return err == nil
}

// take returns the headers of the requests since the last call.
func (recorder *recorder) take() []http.Header {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	headers := recorder.headers
	recorder.headers = nil
	return headers
}

// accountsSite is a gateway with a configuration that has accounts, and a target that
// records headers.
type accountsSite struct {
	*site
	target recorder
	logs   bytes.Buffer
	lines  *events.Handler
}

func startAccountsSite(t *testing.T, table string) *accountsSite {
	t.Helper()
	return startLimitedAccounts(t, table, nil)
}

// startLimitedAccounts is startAccountsSite with limits of the accounts' requests.
func startLimitedAccounts(t *testing.T, table string, quotas gateway.Quotas) *accountsSite {
	t.Helper()
	s := &accountsSite{}
	s.lines = events.NewDroppingHandler(&s.logs)
	s.site = startSite(t, siteOptions{scripts: []script{s.target.handle}, logs: s.lines, quotas: quotas})
	s.state.Store(accountsState(t, s.state.Load(), 2, table))
	return s
}

const oneAccount = `{"client one":{"apiKeys":["` + secretKey + `"]}}`

// Guards against executing a request without a valid key, and against a caller that
// repeats it because of a Retry-After.
func TestRequestWithoutAKnownKeyIsRefused(t *testing.T) {
	s := startAccountsSite(t, oneAccount)
	for i, headers := range [][]string{nil, {forgedName}, {platform.HeaderKey + ": "}, {platform.HeaderKey + ": secret-ke"}, {platform.HeaderKey + ": secret-key2"},
		{platform.HeaderKey + ": Secret-key"}, {keyHeader, platform.HeaderKey + ": other"}} {
		resp := s.request("GET", "/safe/x", fmt.Sprint("r", i), "", headers...)
		assert.Equal(t, http.StatusUnauthorized, resp.StatusCode, headers)
		assert.Empty(t, resp.Header.Get("Retry-After"))
		assert.Equal(t, fmt.Sprint("r", i), resp.Header.Get(platform.HeaderRequestID))
	}
	assert.Equal(t, http.StatusUnauthorized, s.request("POST", "/unsafe/x", "long", strings.Repeat("x", 100<<10)).StatusCode)
	assert.Empty(t, s.target.take())
	assert.Equal(t, 200, s.request("GET", "/safe/x", "known", "", keyHeader).StatusCode)
}

// Guards against passing on a key, or an account's name that the caller has chosen.
func TestTargetReceivesAccountAndNoKey(t *testing.T) {
	s := startAccountsSite(t, oneAccount)
	for path, account := range map[string][]string{"/safe/x": {"client one"}, "/unsafe/x": {"client one"}, "/open/x": nil} {
		for _, body := range []string{"", "short", strings.Repeat("x", 100<<10)} {
			for _, headers := range [][]string{{keyHeader}, {strings.ToLower(keyHeader), forgedName, strings.ToLower(forgedName)},
				{keyHeader, forgedName, "Connection: " + platform.HeaderAccount + ", " + platform.HeaderKey}} {
				resp := s.request("POST", path, "r", body, headers...)
				require.Equal(t, 200, resp.StatusCode)
				received := s.target.take()
				require.Len(t, received, 1)
				assert.Equal(t, account, received[0][platform.HeaderAccount], path)
				assert.NotContains(t, fmt.Sprint(received, resp.Header), secretKey)
			}
		}
	}
	assert.Equal(t, 200, s.request("GET", "/open/x", "r", "").StatusCode, "a public route needs no key")
	s.request("GET", "/safe/x", "r", "", platform.HeaderKey+": wrong-secret-key")
	require.NoError(t, s.lines.Close())
	assert.Contains(t, s.logs.String(), `"account":"client one"`)
	assert.Contains(t, s.logs.String(), "account-refused")
	assert.NotContains(t, s.logs.String(), secretKey)
}

// Guards against a change of existing deployments, in which the targets check keys.
func TestHeadersPassWithoutAccounts(t *testing.T) {
	s := startAccountsSite(t, "")
	require.Equal(t, 200, s.request("GET", "/safe/x", "r", "", keyHeader, forgedName).StatusCode)
	received := s.target.take()
	require.Len(t, received, 1)
	assert.Equal(t, secretKey, received[0].Get(platform.HeaderKey))
	assert.Equal(t, "forged", received[0].Get(platform.HeaderAccount))
}

// Guards against a key that stays valid on a kept connection after a new version has
// removed it or moved it to another account.
func TestNewVersionRemovesAndMovesKeys(t *testing.T) {
	s := startAccountsSite(t, oneAccount)
	c := s.dial()
	for version, want := range []struct {
		table, account string
		status         int
	}{{oneAccount, "client one", 200}, {`{"client one":{"apiKeys":[]},"b":{"apiKeys":["secret-key"]}}`, "b", 200}, {`{"b":{"apiKeys":["new"]}}`, "", 401},
		{`{"a":{"apiKeys":["secret-key"]},"b":{"apiKeys":["secret-key"]}}`, "", 401}, {`{}`, "", 401}} {
		s.state.Store(accountsState(t, s.state.Load(), version+3, want.table))
		c.send("GET", "/safe/x", "r", "", keyHeader)
		assert.Equal(t, want.status, c.receive("GET").StatusCode, want.table)
		for _, received := range s.target.take() {
			assert.Equal(t, want.account, received.Get(platform.HeaderAccount))
		}
	}
}

// Guards against refusing a known caller as unknown while the accounts are unknown.
func TestRequestsWhileAccountsAreUnknown(t *testing.T) {
	s := startAccountsSite(t, `["`+secretKey+`"]`)
	resp := s.request("GET", "/safe/x", "r1", "", keyHeader)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Equal(t, 200, s.request("GET", "/open/x", "r2", "", keyHeader, forgedName).StatusCode)
	assert.NotContains(t, fmt.Sprint(s.target.take()), "secret-key")
	s.state.Store(steering.NewState())
	resp = s.request("GET", "/safe/x", "r3", "")
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "no configuration is known")
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.NoError(t, s.lines.Close())
	assert.Contains(t, s.logs.String(), `"reason":"accounts-unknown"`)
}

// Guards against serving a request in a region that the account or the route excludes.
func TestHomeRegionsOfAccountAndRouteBothApply(t *testing.T) {
	for regions, want := range map[string]struct {
		status int
		reason string
	}{`["r","q"]`: {200, ""}, `["q"]`: {503, "no-home-region"}, `"r"`: {503, "no-home-region"}, `[]`: {200, ""}} {
		s := startAccountsSite(t, `{"a":{"apiKeys":["secret-key"],"homeRegions":`+regions+`}}`)
		assert.Equal(t, want.status, s.request("GET", "/local/x", "r1", "", keyHeader).StatusCode, regions)
		// The instance's only region is r.
		assert.Equal(t, want.status, s.request("GET", "/safe/x", "r2", "", keyHeader).StatusCode, regions)
		require.NoError(t, s.lines.Close())
		assert.Contains(t, s.logs.String(), `"reason":"`+want.reason+`"`)
	}
}

// Guards against attempts of one request that belong to different accounts, or to none,
// because a new version came into force between them.
func TestRequestUsesOneConfiguration(t *testing.T) {
	s := startAccountsSite(t, oneAccount)
	var received sync.Map
	var updates []steering.Update
	for i := range 2 {
		address := s.startScript(func(_ int, r *http.Request, c net.Conn) bool {
			if _, second := received.LoadOrStore("first", r.Header); !second {
				s.state.Store(accountsState(t, s.state.Load(), 4, `{"other":{"apiKeys":["other"]}}`))
				return false
			}
			received.Store("second", r.Header)
			_, err := io.WriteString(c, stampedHead(200, r)+"Content-Length: 2\r\n\r\nok")
			return err == nil
		})
		updates = append(updates, steering.TargetUpdate{Target: &steering.Target{ID: fmt.Sprint("script", i), StartedMs: 2, Service: "s", Address: address, Domain: "d", Slots: 4}})
	}
	s.state.Store(s.state.Load().Apply(3, updates))
	s.gateway.Balancer.SetState(time.Now(), s.state.Load())
	assert.Equal(t, 200, s.request("GET", "/safe/x", "r", "", keyHeader).StatusCode)
	for _, attempt := range []string{"first", "second"} {
		header, ok := received.Load(attempt)
		require.True(t, ok, attempt)
		assert.Equal(t, "client one", header.(http.Header).Get(platform.HeaderAccount), attempt)
	}
}

// Guards against a relay that learns a caller's key, or that replaces the account
// which the peer states.
func TestRelayReceivesAccountAndNoKey(t *testing.T) {
	var target, peer recorder
	f := startFarSite(t, nil, target.handle)
	f.state.Store(accountsState(t, f.state.Load(), 2, oneAccount))
	for _, method := range []string{"GET", "POST"} {
		require.Equal(t, 200, f.request(method, "/unsafe/x", "r", "", keyHeader, forgedName).StatusCode)
		received := target.take()
		require.Len(t, received, 1)
		assert.Equal(t, "client one", received[0].Get(platform.HeaderAccount))
		assert.NotContains(t, fmt.Sprint(received), secretKey)
	}
	assert.Equal(t, 1, f.relay.Connections(), "the request went through the relay")
	f.useRelay(f.startScript(peer.handle))
	f.request("POST", "/unsafe/x", "r", "b", keyHeader, forgedName)
	received := peer.take()
	require.Len(t, received, 1)
	assert.Equal(t, "client one", received[0].Get(platform.HeaderAccount))
	assert.NotContains(t, fmt.Sprint(received), secretKey)
}

// fakeQuotas admits a number of requests.
type fakeQuotas struct {
	mu                 sync.Mutex
	left               int
	admitted, returned []string
}

func (quotas *fakeQuotas) Admit(_ time.Time, account string) (bool, time.Duration) {
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	if quotas.left == 0 {
		return false, 1500 * time.Millisecond
	}
	quotas.left--
	quotas.admitted = append(quotas.admitted, account)
	return true, 0
}

func (quotas *fakeQuotas) Return(_ time.Time, account string, _ time.Time) {
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	quotas.returned = append(quotas.returned, account)
}

// Guards against tokens for requests without an account, tokens that are lost with
// requests that no target has executed, and tokens returned for executed ones.
func TestQuotaOfAccount(t *testing.T) {
	quotas := &fakeQuotas{left: 3}
	s := startLimitedAccounts(t, oneAccount, quotas)
	s.request("GET", "/safe/x", "r1", "")
	s.request("GET", "/open/x", "r2", "", keyHeader)
	assert.Empty(t, quotas.admitted)
	require.Equal(t, 200, s.request("GET", "/safe/x", "r3", "", keyHeader).StatusCode)
	assert.Equal(t, []string{"client one"}, quotas.admitted)
	s.request("POST", "/unsafe/x", "broken", "", keyHeader, "X-Break: 1")
	assert.Empty(t, quotas.returned, "the request may have been executed")
	s.gateway.Balancer.SetState(time.Now(), s.state.Load().Apply(9, []steering.Update{steering.TargetRemoval{ID: "script0"}}))
	require.Equal(t, 503, s.request("GET", "/safe/x", "r4", "", keyHeader).StatusCode, "there is no target")
	assert.Equal(t, []string{"client one"}, quotas.returned)
	resp := s.request("GET", "/safe/x", "r5", "", keyHeader)
	assert.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	assert.Equal(t, "1.500", resp.Header.Get("Retry-After"))
	assert.Len(t, quotas.returned, 1, "no token was taken")
}

// Guards against callers with wrong keys that fill the log.
func TestRefusalsAreLoggedOncePerSecond(t *testing.T) {
	s := startAccountsSite(t, oneAccount)
	began := time.Now()
	for i := range 50 {
		s.request("GET", "/safe/x", fmt.Sprint("r", i), "")
		s.request("GET", "/safe/x", fmt.Sprint("w", i), "", platform.HeaderKey+": wrong")
	}
	seconds := int(time.Since(began)/time.Second) + 1
	require.NoError(t, s.lines.Close())
	lines := strings.Count(s.logs.String(), `"name":"account-refused"`)
	assert.GreaterOrEqual(t, lines, 2, "one for each reason")
	assert.LessOrEqual(t, lines, 2*seconds)
	counted := int64(0)
	for _, name := range []string{"requests_refused_no_key_total", "requests_refused_unknown_key_total"} {
		counter, ok := s.gateway.Counters().Registry.Get(name).(interface{ Count() int64 })
		require.True(t, ok, name)
		counted += counter.Count()
	}
	assert.EqualValues(t, 100, counted)
	assert.Equal(t, log.InfoLevel, events.AccountRefused.Level)
}
