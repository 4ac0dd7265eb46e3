package gateway_test

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

// explainedGateway returns a gateway whose route has two services, with accounts of
// which one is over its limit.
func explainedGateway(now time.Time) *gateway.Gateway {
	accounts := map[string]*steering.Account{}
	for _, a := range []steering.Account{{Name: "usual", RequestsPerSecond: 1000, Priority: 1}, {Name: "over", RequestsPerSecond: 0.001},
		{Name: "elsewhere", HomeRegions: steering.HomeRegions{"b"}}} {
		a.KeyHashes = []steering.KeyHash{steering.HashKey("secret-" + a.Name)}
		accounts[a.Name] = &a
	}
	config := &steering.Config{Version: 7, AccountsRequired: true, Accounts: accounts, Limits: steering.Limits{MaxBodyBytes: 1 << 20},
		Services: map[string]steering.Service{"s1": {Name: "s1"}, "s2": {Name: "s2"}}}
	split := []steering.WeightedService{{Service: "s1", Weight: 3}, {Service: "s2", Weight: 1}}
	config.Routes = []steering.Route{{Name: "app", Host: host, Prefix: "/app/", Objective: time.Second, Priority: 2, Split: split, HomeRegions: steering.HomeRegions{"a"}, Sticky: true},
		{Name: "open", Host: host, Prefix: "/open/", Objective: time.Second, Split: split, Public: true}}
	config.Index()
	state := steering.NewState().Apply(1, []steering.Update{steering.ConfigUpdate{Config: config},
		steering.TargetUpdate{Target: &steering.Target{ID: "t1", Service: "s1", Domain: "d", Slots: 4}}})
	balancer := balance.New(balance.Options{Name: "n", Domain: "d", Region: "a", Regions: map[string]string{"d": "a", "e": "b"}}, now)
	balancer.SetState(now, state)
	limiter := quota.New(quota.Options{Window: 5 * time.Second, Over: 0.1, Slack: 0})
	limiter.SetAccounts(now, accounts)
	limiter.Admit(now, "over")
	return gateway.New(gateway.Options{State: func() *steering.State { return state }, Balancer: balancer, Suspects: balance.NewSuspects(),
		Events: events.New(&log.Logger{Handler: events.NewDroppingHandler(io.Discard)}), ExplainQuota: limiter.Explain})
}

// Guards against an explanation that differs from the steps of a request, takes the
// split's turn, counts a request, or contains a key.
func TestExplainFollowsTheStepsOfARequest(t *testing.T) {
	now := time.Now()
	g := explainedGateway(now)
	query := func(path, account string) gateway.ExplainQuery {
		return gateway.ExplainQuery{Host: host, Path: path, Account: account, Object: "o"}
	}
	tooLarge, second, elsewhere := query("/app/x", "usual"), query("/app/x", "usual"), query("/app/x", "usual")
	tooLarge.BodyBytes, second.Service, elsewhere.Region = 2<<20, "s2", "b"
	for name, c := range map[string]struct {
		query  gateway.ExplainQuery
		status int
		reason string
	}{
		"sent":              {query("/app/x", "usual"), 0, ""},
		"other region":      {elsewhere, 0, ""},
		"public":            {query("/open/x", ""), 0, ""},
		"no route":          {query("/x", "usual"), 404, "no-route"},
		"too large":         {tooLarge, 413, "body-too-large"},
		"no account":        {query("/app/x", ""), 401, "no-key"},
		"no home region":    {query("/app/x", "elsewhere"), 503, "no-home-region"},
		"over quota":        {query("/app/x", "over"), 429, "over-quota"},
		"without a target ": {second, 503, "no-target"},
	} {
		for range 8 { // The split selects s2 for every fourth request.
			e, err := g.Explain(now, c.query)
			require.NoError(t, err, name)
			assert.Equal(t, c.status, e.Decision.Status, name)
			assert.Equal(t, c.reason, e.Decision.Reason, name)
			assert.Equal(t, c.status == 0, e.Decision.Sent, name)
			assert.Equal(t, c.reason == "over-quota" || c.status == 503, e.Decision.MaxRetryAfterMs > 0, name)
			body, err := json.Marshal(e)
			require.NoError(t, err)
			assert.NotContains(t, string(body), "secret")
		}
	}
	e, err := g.Explain(now, query("/app/x", "usual"))
	require.NoError(t, err)
	assert.Equal(t, "1/2", e.Rank)
	assert.EqualValues(t, 7, e.Version)
	assert.Equal(t, "t1", e.Decision.Target)
	assert.InDelta(t, 1000, e.Account.Quota.PerSecond, 0)
	assert.Equal(t, []gateway.ExplainedService{{Service: "s1", Weight: 3, Next: true, Selected: true}, {Service: "s2", Weight: 1}}, e.Services)
	_, err = g.Explain(now, query("/app/x", "secret-usual"))
	assert.ErrorIs(t, err, gateway.ErrUnknownAccount)
	second.Service = "s3"
	_, err = g.Explain(now, second)
	assert.ErrorIs(t, err, gateway.ErrUnknownService)
	assert.Zero(t, g.Counters().Requests.Count())
}
