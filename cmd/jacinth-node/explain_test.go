package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// Guards against a command that does not reach the handler of an instance, exit codes
// that scripts cannot rely on, and a query that is counted or sent as a request.
func TestExplainAsksARunningInstance(t *testing.T) {
	p := newProcess(t, 0)
	config := wiresite.Config(3, "s", wiresite.Route{Segment: "app", Timeout: 8 * time.Second}, wiresite.Route{Segment: "other", Service: "none", Timeout: time.Second})
	p.store.Put(wiresite.ConfigKey, wiresite.WithAccounts(config, wiresite.Account{Name: "acme", Keys: []string{"secret-key"}, RatePerS: 50, Burst: 5}))
	p.startReady()
	run := func(args ...string) (string, int) {
		var out bytes.Buffer
		err := run(append([]string{"explain", "-instance", net.JoinHostPort(p.host, "8011"), "-host", wiresite.Host}, args...), &out, nil)
		if err == nil {
			return out.String(), 0
		}
		var exit *exitError
		require.ErrorAs(t, err, &exit)
		assert.NotContains(t, err.Error(), "secret")
		return out.String(), exit.code
	}
	text, code := run("-path", "/app/x", "-object", "o", "-account", "acme")
	assert.Zero(t, code)
	for _, part := range []string{"configuration version 3", "app (shop.example/app/)", "acme", "50 requests/s", "region 1", "t0", "home, selected", "decision: sent to t0 in region r"} {
		assert.Contains(t, text, part)
	}
	text, code = run("-path", "/app/x", "-account", "acme", "-json")
	assert.Zero(t, code)
	assert.True(t, json.Valid([]byte(text)))
	assert.NotContains(t, text, "secret")
	text, code = run("-path", "/other/x", "-account", "acme")
	assert.Equal(t, exitRefused, code)
	assert.True(t, strings.HasSuffix(text, "decision: refused with 503, no-target, Retry-After 500 to 500 ms\n"), text)
	_, code = run("-path", "/app/x", "-account", "secret-key")
	assert.Equal(t, exitUsage, code)
	_, code = run("-path", "/app/x", "-key", "secret-key")
	assert.Equal(t, exitUsage, code)
	response, err := http.Get("http://" + net.JoinHostPort(p.host, "8011") + "/explain?host=h&path=/&apiKey=secret-key")
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	assert.JSONEq(t, `{"error":"unknown parameter"}`, string(body))
	_, code = run()
	assert.Equal(t, exitUsage, code)
	assert.Empty(t, p.target.Executions())
}
