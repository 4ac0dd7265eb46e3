package lookup_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/policy"
)

// testDocument returns a policy with two domains in each of three regions. Site
// east-1 allows all regions, in the order east, north, west. Site abroad is in a
// domain whose region it does not allow.
func testDocument() *policy.Document {
	document := &policy.Document{
		Version: 7,
		Timing:  policy.Timing{LookupTTLMs: 1000},
		Sites: []policy.Site{
			{Name: "east-1", Domain: "east-a", Regions: []string{"north", "east", "west"}},
			{Name: "abroad", Domain: "west-a", Regions: []string{"north"}},
		},
		Services: []policy.Service{{Name: "reads"}, {Name: "writes"}},
		Targets: []policy.Target{
			{Service: "reads", Domain: "east-b"}, {Service: "reads", Domain: "north-a"}, {Service: "reads", Domain: "west-a"},
			{Service: "writes", Domain: "west-a"}, {Service: "writes", Domain: "east-a", Leaving: true},
		},
		Blocks: []policy.Block{{Prefix: "10.0.0.0/8", Site: "east-1"}, {Prefix: "10.9.0.0/16", Site: "abroad"}},
	}
	for _, region := range []string{"east", "north", "west"} {
		document.Regions = append(document.Regions, policy.Region{Name: region, Domains: []string{region + "-a", region + "-b"}})
	}
	return document
}

// liveInstances returns count live instances in each domain of the regions.
func liveInstances(count int, regions ...string) []lookup.Instance {
	var list []lookup.Instance
	for _, region := range regions {
		for _, domain := range []string{region + "-a", region + "-b"} {
			for i := range count {
				name := fmt.Sprintf("%s-%d", domain, i)
				list = append(list, lookup.Instance{Name: name, Address: "127.0.0.1:1", Domain: domain, Region: region})
			}
		}
	}
	return list
}

func newTestPolicy(t testing.TB) *lookup.SteeringPolicy {
	t.Helper()
	rules, changed, err := lookup.NewSteeringPolicy(testDocument(), "north-b", nil)
	require.NoError(t, err)
	require.Equal(t, 2, changed)
	return rules
}

func domainsOf(decision *lookup.Decision) []string {
	var list []string
	for _, instance := range decision.Instances[:decision.Count] {
		list = append(list, instance.Domain)
	}
	return list
}

func TestDecideOrdersInstancesByDistance(t *testing.T) {
	for _, c := range []struct{ name, caller, service, site string }{
		{"domain, region, then allowed regions in order", "10.1.1.1", "reads", "east-1"},
		{"no service named", "10.1.1.1", "", "east-1"},
		{"regions without targets come last", "10.1.1.1", "writes", "east-1"},
		{"only allowed regions", "10.9.1.1", "reads", "abroad"},
		{"caller outside all blocks", "192.0.2.1", "reads", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var decision lookup.Decision
			fleet := lookup.NewFleet(liveInstances(1, "east", "north", "west"))
			require.NoError(t, newTestPolicy(t).Decide(fleet, c.service, netip.MustParseAddr(c.caller), &decision))
			want := map[string][]string{
				"domain, region, then allowed regions in order": {"east-a", "east-b", "north", "north", "west", "west"},
				"no service named":                  {"east-a", "east-b", "north", "north", "west", "west"},
				"regions without targets come last": {"east-a", "west", "west", "east-b", "north", "north"},
				"only allowed regions":              {"north", "north"},
				"caller outside all blocks":         {"north-b", "north-a", "east", "east", "west", "west"},
			}[c.name]
			got := domainsOf(&decision)
			require.Len(t, got, len(want))
			for i := range want {
				assert.Contains(t, got[i], want[i], "%v", got)
			}
			assert.Equal(t, c.site, decision.Site)
		})
	}
}

func TestDecideOmitsInstancesThatAreNotLive(t *testing.T) {
	list := liveInstances(1, "east")
	list[0].State = lookup.InstanceSlow
	list[1].State = lookup.InstanceLeaving
	list = append(list, lookup.Instance{Name: "gone", Domain: "east-a", Region: "east", State: lookup.InstanceGone})
	var decision lookup.Decision
	require.NoError(t, newTestPolicy(t).Decide(lookup.NewFleet(list), "reads", netip.MustParseAddr("10.0.0.1"), &decision))
	assert.Zero(t, decision.Count)
}

func TestDecideRejectsUnknownService(t *testing.T) {
	var failure *lookup.ParameterError
	err := newTestPolicy(t).Decide(lookup.NewFleet(nil), "other", netip.MustParseAddr("10.0.0.1"), &lookup.Decision{})
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, lookup.ParameterService, failure.Parameter)
}

// Guards against skewed preferences, where many callers prefer the same instance,
// and against the loss of an instance changing the first choice of callers that
// did not prefer it.
func TestDecideDistributesCallersConsistently(t *testing.T) {
	const callers, perDomain = 14_300, 143
	rules := newTestPolicy(t)
	list := liveInstances(perDomain, "east")
	all, fewer := lookup.NewFleet(list), lookup.NewFleet(list[1:])
	firstChoices := map[string]int{}
	for i := range callers {
		var before, after lookup.Decision
		caller := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		require.NoError(t, rules.Decide(all, "reads", caller, &before))
		require.NoError(t, rules.Decide(fewer, "reads", caller, &after))
		require.Equal(t, lookup.MaxInstances, before.Count)
		firstChoices[before.Instances[0].Name]++
		if before.Instances[0].Name != list[0].Name {
			assert.Equal(t, before.Instances[0].Name, after.Instances[0].Name)
		}
	}
	require.Len(t, firstChoices, perDomain)
	for name, count := range firstChoices {
		assert.InDelta(t, callers/perDomain, count, 60, name)
	}
}

func TestVersionChangesOnlyWithDecision(t *testing.T) {
	rules := newTestPolicy(t)
	caller := netip.MustParseAddr("10.0.0.1")
	version := func(rules *lookup.SteeringPolicy, list []lookup.Instance) uint64 {
		var decision lookup.Decision
		require.NoError(t, rules.Decide(lookup.NewFleet(list), "reads", caller, &decision))
		return decision.Version
	}
	list := liveInstances(4, "east", "north")
	base := version(rules, list)
	assert.Equal(t, base, version(rules, append(liveInstances(1, "west"), list...)), "an instance that is not in the decision")
	assert.NotEqual(t, base, version(rules, list[1:]), "an instance of the decision is lost")
	next, err := rules.WithDelta(8, lookup.Delta{})
	require.NoError(t, err)
	assert.NotEqual(t, base, version(next, list), "a new policy")
	assert.Less(t, base, uint64(1)<<53)
}

// Guards against changes of the document that are missing in a policy derived
// from the previous one.
func TestIncrementalPolicyEqualsFullBuild(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	previous := newTestPolicy(t)
	for range 50 {
		document := testDocument()
		document.Version = previous.Version + 1
		document.Blocks = nil
		for range random.IntN(20) {
			prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(random.IntN(3)), 0, 0}), 8+random.IntN(9)).Masked()
			document.Blocks = append(document.Blocks, policy.Block{Prefix: prefix.String(), Site: document.Sites[random.IntN(2)].Name})
		}
		next, _, err := lookup.NewSteeringPolicy(document, "north-b", previous)
		require.NoError(t, err)
		fresh, _, err := lookup.NewSteeringPolicy(document, "north-b", nil)
		require.NoError(t, err)
		fleet := lookup.NewFleet(liveInstances(1, "east", "north"))
		for i := range 256 {
			var a, b lookup.Decision
			caller := netip.AddrFrom4([4]byte{10, byte(i), 1, 1})
			require.NoError(t, next.Decide(fleet, "", caller, &a))
			require.NoError(t, fresh.Decide(fleet, "", caller, &b))
			require.Equal(t, b.Site, a.Site)
		}
		assert.Equal(t, fresh.BlockCount(), next.BlockCount())
		previous = next
	}
}

func TestNewSteeringPolicyRejectsInvalidBlocks(t *testing.T) {
	for _, b := range []policy.Block{{Prefix: "10.0.0.0", Site: "east-1"}, {Prefix: "10.0.0.0/8", Site: "none"},
		{Prefix: "::ffff:10.0.0.0/104", Site: "east-1"}} {
		document := testDocument()
		document.Blocks = append(document.Blocks, b)
		var failure *lookup.BlockError
		_, _, err := lookup.NewSteeringPolicy(document, "north-b", nil)
		require.ErrorAs(t, err, &failure)
		assert.Equal(t, 2, failure.Index)
	}
}

func TestDecideAllocatesNothing(t *testing.T) {
	rules, fleet := newTestPolicy(t), lookup.NewFleet(liveInstances(143, "east", "north", "west"))
	caller := netip.MustParseAddr("10.1.2.3")
	var decision lookup.Decision
	assert.Zero(t, testing.AllocsPerRun(1000, func() { _ = rules.Decide(fleet, "reads", caller, &decision) }))
}

// fullSizePolicy returns a policy with 570,000 blocks and 1,200 sites, and random
// caller addresses in these blocks.
func fullSizePolicy(b *testing.B) (*lookup.SteeringPolicy, []netip.Addr) {
	document := testDocument()
	document.Sites, document.Blocks = nil, nil
	for i := range fullSizeSites {
		region := []string{"east", "north", "west"}[i%3]
		document.Sites = append(document.Sites, policy.Site{Name: fmt.Sprint("site-", i), Domain: region + "-a", Regions: []string{region}})
	}
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 1)), fullSizeBlocks)
	rules, _, err := lookup.NewSteeringPolicy(document, "north-b", nil)
	require.NoError(b, err)
	rules, err = rules.WithDelta(8, lookup.Delta{Set: blocks[:1]})
	require.NoError(b, err)
	rules, err = rules.WithAllBlocks(9, blocks)
	require.NoError(b, err)
	return rules, randomAddresses(blocks)
}

// Measures a decision including its log line, with 143 instances per domain.
func BenchmarkDecideAndLog(b *testing.B) {
	rules, callers := fullSizePolicy(b)
	fleet := lookup.NewFleet(liveInstances(143, "east", "north", "west"))
	h := events.NewHandler(discardWriter{})
	defer func() { _ = h.Close() }()
	log := events.New((&log.Logger{Handler: h, Level: log.DebugLevel}).WithField("instance", "a-1"))
	var decision lookup.Decision
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		caller := callers[i&(1<<16-1)]
		_ = rules.Decide(fleet, "reads", caller, &decision)
		lookup.LogDecision(log, lookup.Query{Caller: caller, Service: "reads"}, rules, &decision, false)
	}
}

func BenchmarkDecide(b *testing.B) {
	rules, callers := fullSizePolicy(b)
	fleet := lookup.NewFleet(liveInstances(143, "east", "north", "west"))
	var decision lookup.Decision
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_ = rules.Decide(fleet, "reads", callers[i&(1<<16-1)], &decision)
	}
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func TestLogDecisionRecordsInputs(t *testing.T) {
	var out bytes.Buffer
	h := events.NewHandler(&out)
	rules := newTestPolicy(t)
	var decision lookup.Decision
	query := lookup.Query{Caller: netip.MustParseAddr("10.1.1.1"), Service: "reads"}
	require.NoError(t, rules.Decide(lookup.NewFleet(liveInstances(1, "east")), query.Service, query.Caller, &decision))
	lookup.LogDecision(events.New(&log.Logger{Handler: h}), query, rules, &decision, true)
	require.NoError(t, h.Close())
	for _, want := range []string{`"caller":"10.1.1.1"`, `"site":"east-1"`, `"service":"reads"`, `"policyVersion":7`,
		`"domainLive":1`, `"regions":["east","north","west"]`, `"chosen":["east-a-0","east-b-0"]`, `"waited":true`} {
		assert.Contains(t, out.String(), want)
	}
}

func TestParseQueryBoundsAllParameters(t *testing.T) {
	long := string(bytes.Repeat([]byte("1"), 200))
	for _, c := range []struct {
		parameter string
		given     lookup.Parameters
	}{
		{lookup.ParameterCaller, lookup.Parameters{Caller: "10.0.0"}},
		{lookup.ParameterCaller, lookup.Parameters{Caller: "fe80::1%eth0"}},
		{lookup.ParameterCaller, lookup.Parameters{Caller: long}},
		{lookup.ParameterService, lookup.Parameters{Service: long}},
		{lookup.ParameterWait, lookup.Parameters{Wait: "-1"}},
		{lookup.ParameterWait, lookup.Parameters{Wait: "30001"}},
		{lookup.ParameterWait, lookup.Parameters{Wait: long}},
		{lookup.ParameterVersion, lookup.Parameters{Version: "0x1"}},
		{lookup.ParameterVersion, lookup.Parameters{Version: "18446744073709551616"}},
	} {
		_, err := lookup.ParseQuery(c.given, netip.MustParseAddr("10.0.0.1"))
		var failure *lookup.ParameterError
		require.True(t, errors.As(err, &failure), "%+v", c.given)
		assert.Equal(t, c.parameter, failure.Parameter)
	}
	_, err := lookup.ParseQuery(lookup.Parameters{}, netip.Addr{})
	require.Error(t, err)
}

// Guards against input that causes a panic or exceeds a limit.
func FuzzParseQuery(f *testing.F) {
	f.Add("10.0.0.1", "reads", "1000", "7")
	f.Add("::ffff:10.0.0.1", "", "", "")
	f.Add("fe80::1%eth0", "x", "-1", "18446744073709551616")
	f.Add("", "\x00", "30000", "0")
	rules, fleet := newTestPolicy(f), lookup.NewFleet(liveInstances(2, "east"))
	f.Fuzz(func(t *testing.T, caller, service, wait, version string) {
		parameters := lookup.Parameters{Caller: caller, Service: service, Wait: wait, Version: version}
		query, err := lookup.ParseQuery(parameters, netip.MustParseAddr("192.0.2.1"))
		if err != nil {
			var failure *lookup.ParameterError
			require.ErrorAs(t, err, &failure)
			return
		}
		assert.True(t, query.Caller.IsValid())
		assert.False(t, query.Caller.Is4In6())
		assert.LessOrEqual(t, query.Wait, lookup.MaxWait)
		assert.GreaterOrEqual(t, query.Wait, 0*lookup.MaxWait)
		var decision lookup.Decision
		_ = rules.Decide(fleet, query.Service, query.Caller, &decision)
		assert.LessOrEqual(t, decision.Count, lookup.MaxInstances)
	})
}

func TestWaitersAreBoundedAndReleased(t *testing.T) {
	w := lookup.NewWaiters(2)
	require.NoError(t, w.Acquire())
	require.NoError(t, w.Acquire())
	var failure *lookup.WaitError
	require.ErrorAs(t, w.Acquire(), &failure)
	assert.Equal(t, lookup.WaitLimitReached, failure.Reason)
	w.Release()
	require.NoError(t, w.Acquire())
	changed := w.Changed()
	w.Notify()
	<-changed
	w.Stop()
	w.Stop()
	<-w.Done()
	w.Release()
	require.ErrorAs(t, w.Acquire(), &failure)
	assert.Equal(t, lookup.WaitStopping, failure.Reason)
}
