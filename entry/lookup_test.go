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

// applyTestDocument puts a document in force with the blocks that it holds.
func applyTestDocument(s *lookupService, d *policy.Document) error {
	blocks := d.Blocks
	core := *d
	core.Blocks = nil
	return s.applyDocument(&core, func(*configsync.Snapshot) ([]policy.Block, []string, error) { return blocks, nil, nil })
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

// newWaitingLookups returns look-ups whose waits never expire.
func newWaitingLookups(t *testing.T) *lookupService {
	s := newLookupService("east-a", events.New(discardLogger()))
	s.timeAfter = func(time.Duration) <-chan time.Time { return nil }
	require.NoError(t, applyTestDocument(s, lookupDocument()))
	s.showInstances(1, lookupFleet(2, "east"))
	return s
}

func (s *lookupService) showInstances(revision uint64, list []lookup.Instance) {
	if s.applyInstances(revision, func() []lookup.Instance { return list }) {
		s.waiters.Notify()
	}
}

var lookupCaller = netip.MustParseAddr("10.0.0.1")

func currentVersion(t *testing.T, s *lookupService) uint64 {
	var a lookup.Decision
	_, err := s.decideOrWait(context.Background(), lookup.Query{Caller: lookupCaller, Service: "reads"}, &a)
	require.NoError(t, err)
	return a.Version
}

// parkLookups starts count waiting look-ups and returns once all are parked. The
// versions that they return come through the channel.
func parkLookups(s *lookupService, count int, version uint64) chan uint64 {
	versions := make(chan uint64, count)
	for range count {
		go func() {
			var a lookup.Decision
			q := lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: version}
			_, _ = s.decideOrWait(context.Background(), q, &a)
			versions <- a.Version
		}()
	}
	for s.waiters.Count() < count {
		runtime.Gosched()
	}
	return versions
}

// Guards against short look-ups that wait for parked ones, and against waits
// without a bound.
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
	var a lookup.Decision
	_, err := s.decideOrWait(context.Background(), lookup.Query{Caller: lookupCaller, Wait: time.Second, Version: 0}, &a)
	require.NoError(t, err, "a caller without the current answer does not wait")
	_, err = s.decideOrWait(context.Background(), lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: version}, &a)
	require.ErrorAs(t, err, &failure)
	status, body := s.refusal(err)
	assert.Equal(t, 429, status)
	assert.Equal(t, outcome.ReasonTooManyWaiting, body.Reason)
	s.showInstances(2, lookupFleet(1, "east"))
	for range lookup.MaxWaiting {
		assert.NotEqual(t, version, <-versions)
	}
}

// Guards against waits that end though the answer is the same.
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

// Guards against a change between the check and the wait that is missed: the
// waits never expire, so a missed change would block the test.
func TestNoChangeIsMissed(t *testing.T) {
	s := newWaitingLookups(t)
	for i := range uint64(2000) {
		version := currentVersion(t, s)
		var done sync.WaitGroup
		done.Go(func() {
			var a lookup.Decision
			q := lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: version}
			_, err := s.decideOrWait(context.Background(), q, &a)
			assert.NoError(t, err)
			assert.NotEqual(t, version, a.Version)
		})
		s.showInstances(i+2, lookupFleet(2+int(i+1)%2, "east"))
		done.Wait()
	}
	assert.Zero(t, s.waiters.Count())
}

// Guards against a planned stop that waits for parked look-ups.
func TestStopReleasesParkedLookups(t *testing.T) {
	s := newWaitingLookups(t)
	version := currentVersion(t, s)
	versions := parkLookups(s, 16, version)
	s.waiters.Stop()
	for range 16 {
		assert.Equal(t, version, <-versions)
	}
	var a lookup.Decision
	_, err := s.decideOrWait(context.Background(), lookup.Query{Caller: lookupCaller, Service: "reads", Wait: time.Second, Version: version}, &a)
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
	var a lookup.Decision
	_, err := s.decideOrWait(context.Background(), q, &a)
	require.NoError(t, err)
	assert.Equal(t, q.Version, a.Version)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = s.decideOrWait(ctx, q, &a)
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
	in, err := New(settings.Settings{Name: "east0", Region: "east", Domain: "east-a", CallerAddress: "127.0.0.1:1",
		PeerAddress: "127.0.0.1:2", OperatorAddress: "127.0.0.1:3", Platform: "127.0.0.1:4"}, discardLogger())
	require.NoError(t, err)
	return in
}

// Guards the statuses and bodies that callers see.
func TestLookupOverHTTP(t *testing.T) {
	in := testInstance(t)
	listener, err := listenCallers(freeAddress(t))
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	h := in.callerServer(listener)
	get := func(query string) (int, []byte) {
		r := ut.PerformRequest(h.Engine, "GET", pathLookup+query, nil).Result()
		return r.StatusCode(), r.Body()
	}
	status, body := get("?caller=10.0.0.1")
	assert.Equal(t, 503, status)
	assert.JSONEq(t, `{"reason":"no-configuration","executed":"no","cause":"entry: no document in force"}`, string(body))
	in.document.Store(lookupDocument())
	require.NoError(t, applyTestDocument(in.lookupService, lookupDocument()))
	in.refreshLookups()
	status, body = get("?caller=10.0.0.1&service=reads")
	require.Equal(t, 200, status)
	var answer LookupResponse
	require.NoError(t, json.Unmarshal(body, &answer))
	assert.Equal(t, []LookupInstance{{Name: "east0", Address: "127.0.0.1:1", Domain: "east-a"}}, answer.Instances)
	assert.Equal(t, "site", answer.Site)
	assert.EqualValues(t, 3, answer.PolicyVersion)
	assert.Equal(t, 1000, answer.TTLMs)
	assert.Equal(t, in.keyPrefix(), answer.KeyPrefix)
	for _, query := range []string{"?caller=nowhere", "?caller=10.0.0.1&service=other", "?caller=10.0.0.1&wait=x"} {
		status, body = get(query)
		assert.Equal(t, 400, status, query)
		assert.Contains(t, string(body), `"reason":"bad-request"`)
	}
}
