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

// testDocument has two domains in each of three regions. Site east-1 allows
// regions east, north, west in this order; site abroad is in a domain whose
// region it does not allow.
func testDocument() *policy.Document {
	d := &policy.Document{
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
		d.Regions = append(d.Regions, policy.Region{Name: region, Domains: []string{region + "-a", region + "-b"}})
	}
	return d
}

// liveInstances returns count live instances in each of the domains.
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
	s, changed, err := lookup.NewSteeringPolicy(testDocument(), "north-b", nil)
	require.NoError(t, err)
	require.Equal(t, 2, changed)
	return s
}

func domainsOf(a *lookup.Decision) []string {
	var list []string
	for _, in := range a.Instances[:a.Count] {
		list = append(list, in.Domain)
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
			var a lookup.Decision
			fleet := lookup.NewFleet(liveInstances(1, "east", "north", "west"))
			require.NoError(t, newTestPolicy(t).Decide(fleet, c.service, netip.MustParseAddr(c.caller), &a))
			want := map[string][]string{
				"domain, region, then allowed regions in order": {"east-a", "east-b", "north", "north", "west", "west"},
				"no service named":                  {"east-a", "east-b", "north", "north", "west", "west"},
				"regions without targets come last": {"east-a", "west", "west", "east-b", "north", "north"},
				"only allowed regions":              {"north", "north"},
				"caller outside all blocks":         {"north-b", "north-a", "east", "east", "west", "west"},
			}[c.name]
			got := domainsOf(&a)
			require.Len(t, got, len(want))
			for i := range want {
				assert.Contains(t, got[i], want[i], "%v", got)
			}
			assert.Equal(t, c.site, a.Site)
		})
	}
}

func TestDecideOmitsInstancesThatAreNotLive(t *testing.T) {
	list := liveInstances(1, "east")
	list[0].State = lookup.InstanceSlow
	list[1].State = lookup.InstanceLeaving
	list = append(list, lookup.Instance{Name: "gone", Domain: "east-a", Region: "east", State: lookup.InstanceGone})
	var a lookup.Decision
	require.NoError(t, newTestPolicy(t).Decide(lookup.NewFleet(list), "reads", netip.MustParseAddr("10.0.0.1"), &a))
	assert.Zero(t, a.Count)
}

func TestDecideRejectsUnknownService(t *testing.T) {
	var failure *lookup.ParameterError
	err := newTestPolicy(t).Decide(lookup.NewFleet(nil), "other", netip.MustParseAddr("10.0.0.1"), &lookup.Decision{})
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, lookup.ParameterService, failure.Parameter)
}

// Guards against all callers going to the same first instance, and against
// answers that change for callers of other instances when one is lost.
func TestDecideDistributesCallersConsistently(t *testing.T) {
	const callers, perDomain = 14_300, 143
	s := newTestPolicy(t)
	list := liveInstances(perDomain, "east")
	all, fewer := lookup.NewFleet(list), lookup.NewFleet(list[1:])
	first := map[string]int{}
	for i := range callers {
		var before, after lookup.Decision
		caller := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		require.NoError(t, s.Decide(all, "reads", caller, &before))
		require.NoError(t, s.Decide(fewer, "reads", caller, &after))
		require.Equal(t, lookup.MaxInstances, before.Count)
		first[before.Instances[0].Name]++
		if before.Instances[0].Name != list[0].Name {
			assert.Equal(t, before.Instances[0].Name, after.Instances[0].Name)
		}
	}
	require.Len(t, first, perDomain)
	for name, count := range first {
		assert.InDelta(t, callers/perDomain, count, 60, name)
	}
}

func TestVersionChangesOnlyWithDecision(t *testing.T) {
	s := newTestPolicy(t)
	caller := netip.MustParseAddr("10.0.0.1")
	version := func(s *lookup.SteeringPolicy, list []lookup.Instance) uint64 {
		var a lookup.Decision
		require.NoError(t, s.Decide(lookup.NewFleet(list), "reads", caller, &a))
		return a.Version
	}
	list := liveInstances(4, "east", "north")
	base := version(s, list)
	assert.Equal(t, base, version(s, append(liveInstances(1, "west"), list...)), "an instance that is not in the answer")
	assert.NotEqual(t, base, version(s, list[1:]), "an instance of the answer is lost")
	next, err := s.WithDelta(8, lookup.Delta{})
	require.NoError(t, err)
	assert.NotEqual(t, base, version(next, list), "a new policy")
	assert.Less(t, base, uint64(1)<<53)
}

// Guards against a change of the document that is applied only in part.
func TestIncrementalPolicyEqualsFullBuild(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	old := newTestPolicy(t)
	for range 50 {
		d := testDocument()
		d.Version = old.Version + 1
		d.Blocks = nil
		for range r.IntN(20) {
			prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(r.IntN(3)), 0, 0}), 8+r.IntN(9)).Masked()
			d.Blocks = append(d.Blocks, policy.Block{Prefix: prefix.String(), Site: d.Sites[r.IntN(2)].Name})
		}
		next, _, err := lookup.NewSteeringPolicy(d, "north-b", old)
		require.NoError(t, err)
		fresh, _, err := lookup.NewSteeringPolicy(d, "north-b", nil)
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
		old = next
	}
}

func TestNewSteeringPolicyRejectsInvalidBlocks(t *testing.T) {
	for _, b := range []policy.Block{{Prefix: "10.0.0.0", Site: "east-1"}, {Prefix: "10.0.0.0/8", Site: "none"},
		{Prefix: "::ffff:10.0.0.0/104", Site: "east-1"}} {
		d := testDocument()
		d.Blocks = append(d.Blocks, b)
		var failure *lookup.BlockError
		_, _, err := lookup.NewSteeringPolicy(d, "north-b", nil)
		require.ErrorAs(t, err, &failure)
		assert.Equal(t, 2, failure.Index)
	}
}

func TestDecideAllocatesNothing(t *testing.T) {
	s, fleet := newTestPolicy(t), lookup.NewFleet(liveInstances(143, "east", "north", "west"))
	caller := netip.MustParseAddr("10.1.2.3")
	var a lookup.Decision
	assert.Zero(t, testing.AllocsPerRun(1000, func() { _ = s.Decide(fleet, "reads", caller, &a) }))
}

// fullSizePolicy has 570,000 blocks, 1,200 sites and the callers' addresses.
func fullSizePolicy(b *testing.B) (*lookup.SteeringPolicy, []netip.Addr) {
	d := testDocument()
	d.Sites, d.Blocks = nil, nil
	for i := range fullSizeSites {
		region := []string{"east", "north", "west"}[i%3]
		d.Sites = append(d.Sites, policy.Site{Name: fmt.Sprint("site-", i), Domain: region + "-a", Regions: []string{region}})
	}
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 1)), fullSizeBlocks)
	s, _, err := lookup.NewSteeringPolicy(d, "north-b", nil)
	require.NoError(b, err)
	s, err = s.WithDelta(8, lookup.Delta{Set: blocks[:1]})
	require.NoError(b, err)
	s, err = s.WithAllBlocks(9, blocks)
	require.NoError(b, err)
	return s, randomAddresses(blocks)
}

// The decision with its log line, 143 instances in the domain.
func BenchmarkDecideAndLog(b *testing.B) {
	s, callers := fullSizePolicy(b)
	fleet := lookup.NewFleet(liveInstances(143, "east", "north", "west"))
	h := events.NewHandler(discardWriter{})
	defer func() { _ = h.Close() }()
	log := events.New((&log.Logger{Handler: h, Level: log.DebugLevel}).WithField("instance", "a-1"))
	var a lookup.Decision
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		caller := callers[i&(1<<16-1)]
		_ = s.Decide(fleet, "reads", caller, &a)
		lookup.LogDecision(log, lookup.Query{Caller: caller, Service: "reads"}, s, &a, false)
	}
}

func BenchmarkDecide(b *testing.B) {
	s, callers := fullSizePolicy(b)
	fleet := lookup.NewFleet(liveInstances(143, "east", "north", "west"))
	var a lookup.Decision
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_ = s.Decide(fleet, "reads", callers[i&(1<<16-1)], &a)
	}
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func TestLogDecisionRecordsInputs(t *testing.T) {
	var out bytes.Buffer
	h := events.NewHandler(&out)
	s := newTestPolicy(t)
	var a lookup.Decision
	q := lookup.Query{Caller: netip.MustParseAddr("10.1.1.1"), Service: "reads"}
	require.NoError(t, s.Decide(lookup.NewFleet(liveInstances(1, "east")), q.Service, q.Caller, &a))
	lookup.LogDecision(events.New(&log.Logger{Handler: h}), q, s, &a, true)
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

// Guards against input that panics or passes a bound.
func FuzzParseQuery(f *testing.F) {
	f.Add("10.0.0.1", "reads", "1000", "7")
	f.Add("::ffff:10.0.0.1", "", "", "")
	f.Add("fe80::1%eth0", "x", "-1", "18446744073709551616")
	f.Add("", "\x00", "30000", "0")
	s, fleet := newTestPolicy(f), lookup.NewFleet(liveInstances(2, "east"))
	f.Fuzz(func(t *testing.T, caller, service, wait, version string) {
		p := lookup.Parameters{Caller: caller, Service: service, Wait: wait, Version: version}
		q, err := lookup.ParseQuery(p, netip.MustParseAddr("192.0.2.1"))
		if err != nil {
			var failure *lookup.ParameterError
			require.ErrorAs(t, err, &failure)
			return
		}
		assert.True(t, q.Caller.IsValid())
		assert.False(t, q.Caller.Is4In6())
		assert.LessOrEqual(t, q.Wait, lookup.MaxWait)
		assert.GreaterOrEqual(t, q.Wait, 0*lookup.MaxWait)
		var a lookup.Decision
		_ = s.Decide(fleet, q.Service, q.Caller, &a)
		assert.LessOrEqual(t, a.Count, lookup.MaxInstances)
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
