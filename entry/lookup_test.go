package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/settings"
)

func lookupDocument() *policy.Document {
	return &policy.Document{
		Version:  3,
		Timing:   policy.Timing{LookupTTLMs: 1000},
		Regions:  []policy.Region{{Name: "east", Domains: []string{"east-a", "east-b"}}, {Name: "west", Domains: []string{"west-a"}}},
		Sites:    []policy.Site{{Name: "site", Domain: "east-a", Regions: []string{"east"}}},
		Services: []policy.Service{{Name: "reads"}},
		Targets:  []policy.Target{{Service: "reads", Domain: "east-a"}},
		Blocks:   []policy.Block{{Prefix: "10.0.0.0/8", Site: "site"}},
	}
}

// applyTestDocument applies a document together with its blocks.
func applyTestDocument(lookups *lookupService, document *policy.Document) error {
	blocks := document.Blocks
	core := *document
	core.Blocks = nil
	return lookups.applyDocument(&core, func(*configsync.Snapshot) ([]policy.Block, []string, error) { return blocks, nil, nil })
}

func lookupFleet(count int, region string) []lookup.Instance {
	var list []lookup.Instance
	for i := range count {
		list = append(list, lookup.Instance{Name: fmt.Sprint(region, i), Domain: region + "-a", Region: region})
	}
	return list
}

func discardLogger() log.Interface {
	return &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}
}

// newWaitingLookups returns a look-up service whose waits never expire.
func newWaitingLookups(t *testing.T) *lookupService {
	s := newLookupService("east-a", events.New(discardLogger()))
	s.timeAfter = func(time.Duration) <-chan time.Time { return nil }
	require.NoError(t, applyTestDocument(s, lookupDocument()))
	s.showInstances(1, lookupFleet(2, "east"))
	return s
}

func (lookups *lookupService) showInstances(revision uint64, list []lookup.Instance) {
	if lookups.applyInstances(revision, func() []lookup.Instance { return list }) {
		lookups.waiters.Notify()
	}
}

var lookupCaller = netip.MustParseAddr("10.0.0.1")

func currentVersion(t *testing.T, s *lookupService) uint64 {
	var decision lookup.Decision
	_, err := s.decideOrWait(context.Background(), lookup.Query{Caller: lookupCaller, Service: "reads"}, &decision)
	require.NoError(t, err)
	return decision.Version
}

// parkLookups starts waiting look-ups and returns once all of them wait. The
// versions that they return are sent on the channel.
func parkLookups(s *lookupService, count int, version uint64) chan uint64 {
	versions := make(chan uint64, count)
	for range count {
		go func() {
			var decision lookup.Decision
			q := lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: version}
			_, _ = s.decideOrWait(context.Background(), q, &decision)
			versions <- decision.Version
		}()
	}
	for s.waiters.Count() < count {
		runtime.Gosched()
	}
	return versions
}

// Look-ups that do not wait must not be delayed by waiting ones, and the number
// of waiting look-ups must be bounded.
func TestParkedLookupsDoNotStarveShortOnes(t *testing.T) {
	const shortCalls = 10_000
	s := newWaitingLookups(t)
	version := currentVersion(t, s)
	versions := parkLookups(s, lookup.MaxWaiting, version)
	for range shortCalls {
		require.Equal(t, version, currentVersion(t, s))
	}
	assert.Equal(t, lookup.MaxWaiting, s.waiters.Count())
	var failure *lookup.WaitError
	var decision lookup.Decision
	_, err := s.decideOrWait(context.Background(), lookup.Query{Caller: lookupCaller, Wait: time.Second, Version: 0}, &decision)
	require.NoError(t, err, "a caller without the current response does not wait")
	_, err = s.decideOrWait(context.Background(), lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: version}, &decision)
	require.ErrorAs(t, err, &failure)
	status, body := s.refusal(err)
	assert.Equal(t, 429, status)
	assert.Equal(t, outcome.ReasonTooManyWaiting, body.Reason)
	s.showInstances(2, lookupFleet(1, "east"))
	for range lookup.MaxWaiting {
		assert.NotEqual(t, version, <-versions)
	}
}

// A wait must not end while the response stays the same.
func TestWaitContinuesWhileResponseIsUnchanged(t *testing.T) {
	s := newWaitingLookups(t)
	version := currentVersion(t, s)
	versions := parkLookups(s, 1, version)
	s.showInstances(2, append(lookupFleet(2, "east"), lookupFleet(2, "west")...))
	s.showInstances(3, lookupFleet(2, "east"))
	assert.Equal(t, 1, s.waiters.Count())
	s.showInstances(4, lookupFleet(3, "east"))
	assert.NotEqual(t, version, <-versions)
}

// A change between the version check and the start of the wait must not be
// missed. The waits never expire, so a missed change blocks the test.
func TestNoChangeIsMissed(t *testing.T) {
	s := newWaitingLookups(t)
	for i := range uint64(2000) {
		version := currentVersion(t, s)
		var done sync.WaitGroup
		done.Go(func() {
			var decision lookup.Decision
			q := lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: version}
			_, err := s.decideOrWait(context.Background(), q, &decision)
			assert.NoError(t, err)
			assert.NotEqual(t, version, decision.Version)
		})
		s.showInstances(i+2, lookupFleet(2+int(i+1)%2, "east"))
		done.Wait()
	}
	assert.Zero(t, s.waiters.Count())
}

// A planned stop must not wait for waiting look-ups.
func TestStopReleasesParkedLookups(t *testing.T) {
	s := newWaitingLookups(t)
	version := currentVersion(t, s)
	versions := parkLookups(s, 16, version)
	s.waiters.Stop()
	for range 16 {
		assert.Equal(t, version, <-versions)
	}
	var decision lookup.Decision
	_, err := s.decideOrWait(context.Background(), lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: version}, &decision)
	require.Error(t, err)
	status, body := s.refusal(err)
	assert.Equal(t, 503, status)
	assert.Equal(t, outcome.ReasonStopping, body.Reason)
}

func TestWaitEndsAtTimeoutOrDisconnect(t *testing.T) {
	s := newWaitingLookups(t)
	q := lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: currentVersion(t, s)}
	expired := make(chan time.Time, 1)
	expired <- time.Time{}
	s.timeAfter = func(d time.Duration) <-chan time.Time {
		assert.Equal(t, q.Wait, d)
		return expired
	}
	var decision lookup.Decision
	_, err := s.decideOrWait(context.Background(), q, &decision)
	require.NoError(t, err)
	assert.Equal(t, q.Version, decision.Version)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = s.decideOrWait(ctx, q, &decision)
	require.NoError(t, err)
	assert.Zero(t, s.waiters.Count())
}

func TestRejectedDocumentKeepsPreviousOne(t *testing.T) {
	s := newWaitingLookups(t)
	version := currentVersion(t, s)
	bad := lookupDocument()
	bad.Blocks = append(bad.Blocks, policy.Block{Prefix: "10.0.0.0", Site: "site"})
	assert.Error(t, applyTestDocument(s, bad))
	assert.Equal(t, version, currentVersion(t, s))
}

func testInstance(t *testing.T) *Instance {
	inst, err := New(settings.Settings{Name: "east0", Region: "east", Domain: "east-a", CallerAddress: "127.0.0.1:1",
		PeerAddress: "127.0.0.1:2", OperatorAddress: "127.0.0.1:3", Platform: "127.0.0.1:4"}, discardLogger())
	require.NoError(t, err)
	return inst
}

// Callers depend on the statuses and bodies of look-up responses.
func TestLookupOverHTTP(t *testing.T) {
	inst := testInstance(t)
	listener, err := listenCallers(freeAddress(t))
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	h := inst.callerServer(listener)
	get := func(query string) (int, []byte) {
		r := ut.PerformRequest(h.Engine, "GET", pathLookup+query, nil).Result()
		return r.StatusCode(), r.Body()
	}
	status, body := get("?caller=10.0.0.1")
	assert.Equal(t, 503, status)
	assert.JSONEq(t, `{"reason":"no-configuration","executed":"no","cause":"entry: no document in force"}`, string(body))
	inst.document.Store(lookupDocument())
	require.NoError(t, applyTestDocument(inst.lookupService, lookupDocument()))
	inst.refreshLookups()
	status, body = get("?caller=10.0.0.1&service=reads")
	require.Equal(t, 200, status)
	var response LookupResponse
	require.NoError(t, json.Unmarshal(body, &response))
	assert.Equal(t, []LookupInstance{{Name: "east0", Address: "127.0.0.1:1", Domain: "east-a"}}, response.Instances)
	assert.Equal(t, "site", response.Site)
	assert.EqualValues(t, 3, response.PolicyVersion)
	assert.Equal(t, 1000, response.TTLMs)
	assert.Equal(t, inst.keyPrefix(), response.KeyPrefix)
	for _, query := range []string{"?caller=nowhere", "?caller=10.0.0.1&service=other", "?caller=10.0.0.1&wait=x"} {
		status, body = get(query)
		assert.Equal(t, 400, status, query)
		assert.Contains(t, string(body), `"reason":"bad-request"`)
	}
}
