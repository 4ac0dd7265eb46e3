package policy_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/policy"
)

func demoSource(t testing.TB) []byte {
	t.Helper()
	src, err := os.ReadFile("../demo/policy.json")
	require.NoError(t, err)
	return src
}

func findingsOf(t *testing.T, err error) []finding.Finding {
	t.Helper()
	var all *finding.Error
	require.True(t, errors.As(err, &all), "want a *finding.Error, got %v", err)
	return all.Findings
}

// The check must not reject a document that the demo runs with.
func TestParseAcceptsDemo(t *testing.T) {
	d, err := policy.Parse("policy.json", demoSource(t))
	require.NoError(t, err)
	assert.Len(t, d.Targets, 8)
}

// Decode must read what Parse rejects by its values, but not a wrong form.
func TestDecode(t *testing.T) {
	d := twoRegions()
	d.Targets[0].Slots = 0
	src, err := d.Encode()
	require.NoError(t, err)
	decoded, err := policy.Decode("p.json", src)
	require.NoError(t, err)
	assert.Equal(t, d, decoded)
	_, err = policy.Decode("p.json", []byte(`{"version": "1"}`))
	assert.NotEmpty(t, findingsOf(t, err))
}

// A reader of the encoding must get the same document: publishing compares them.
func TestEncodeRoundTrip(t *testing.T) {
	d, err := policy.Parse("policy.json", demoSource(t))
	require.NoError(t, err)
	src, err := d.Encode()
	require.NoError(t, err)
	again, err := policy.Parse("again", src)
	require.NoError(t, err)
	assert.Equal(t, d, again)
}

const documentWithTenMistakes = `{
  "version": 1,
  "logLevel": "inof",
  "timing": {"lookupTtlMs": 0, "defaultDeadlineMs": 5000, "maxDeadlineMs": 30000},
  "regions": [{"name": "palermo", "domains": ["palermo-a"]}, {"name": "catania", "domains": ["catania-a"]}],
  "links": [{"from": "palermo", "to": "catania", "capMbit": 280}],
  "sites": [{"name": "s", "domain": "palermo-a", "regions": ["palermo"]}],
  "services": [{"name": "catalogue", "pathPrefix": "/catalogue", "idempotent": true, "maxQueueMs": 2000, "colour": 1}],
  "targets": [
    {"name": "t1", "service": "catalog", "domain": "palermo-a", "address": "10.0.0.1:80", "slot": 5, "connections": 330},
    {"name": "t2", "service": "catalogue", "domain": "palermo-a", "address": "10.0.0.2", "slots": "5", "connections": 330}
  ],
  "moves": [{"service": "catalogue", "from": "catania", "to": "palermo", "percent": 10, "capMbit": 10}],
  "blocks": [{"prefix": "10.0.0.1/9", "site": "s"}, {"prefix": "10.128.0.0/9"}]
}`

// Each mistake must be reported in one run, at its own place.
func TestParseReportsTenMistakes(t *testing.T) {
	_, err := policy.Parse("p.json", []byte(documentWithTenMistakes))
	type row struct {
		line, column int
		pointer, fix string
	}
	var got []row
	for _, f := range findingsOf(t, err) {
		assert.Equal(t, "p.json", f.File)
		got = append(got, row{f.Line, f.Column, f.Pointer, f.Fix})
	}
	assert.Equal(t, []row{
		{3, 15, "/logLevel", `use "info"`},
		{4, 29, "/timing/lookupTtlMs", ""},
		{8, 106, "/services/0/colour", "remove it; the fields are name, pathPrefix, idempotent, maxQueueMs"},
		{10, 31, "/targets/0/service", `use "catalogue"`},
		{10, 91, "/targets/0/slot", `use "slots"`},
		{11, 78, "/targets/1/address", "add the port"},
		{11, 99, "/targets/1/slots", "remove the quotes"},
		{13, 13, "/moves/0", `add a link from "catania" to "palermo"`},
		{14, 25, "/blocks/0/prefix", `use "10.0.0.0/9"`},
		{14, 53, "/blocks/1/site", `add "site"`},
	}, got)
}

// Guards against rules that accept a document that cannot work.
func TestParseRejects(t *testing.T) {
	for _, c := range []struct {
		name    string
		edit    func(*policy.Document)
		pointer string
		message string
	}{
		{"no region", func(d *policy.Document) { d.Regions = nil }, "/regions", "at least one region"},
		{"region without domain", func(d *policy.Document) { d.Regions[1].Domains = nil }, "/regions/1/domains", "at least one failure domain"},
		{"region twice", func(d *policy.Document) { d.Regions[1].Name = "palermo" }, "/regions/1/name", "already defined at /regions/0/name"},
		{"domain in two regions", func(d *policy.Document) { d.Regions[1].Domains[0] = "palermo-a" }, "/regions/1/domains/0", "already defined"},
		{"name with a space", func(d *policy.Document) { d.Sites[0].Name = "a b" }, "/sites/0/name", "not a name"},
		{"link to unknown region", func(d *policy.Document) { d.Links[0].To = "cataina" }, "/links/0/to", `no region "cataina"`},
		{"link to itself", func(d *policy.Document) { d.Links[0].To = "palermo" }, "/links/0/to", "both"},
		{"link twice", func(d *policy.Document) { d.Links = append(d.Links, d.Links[0]) }, "/links/1", "already a link"},
		{"link cap", func(d *policy.Document) { d.Links[0].CapMbit = -1 }, "/links/0/capMbit", "not between 1"},
		{"site domain", func(d *policy.Document) { d.Sites[0].Domain = "x" }, "/sites/0/domain", "no failure domain"},
		{"site without region", func(d *policy.Document) { d.Sites[0].Regions = nil }, "/sites/0/regions", "at least one region"},
		{"site region twice", func(d *policy.Document) { d.Sites[0].Regions = []string{"palermo", "palermo"} }, "/sites/0/regions/1", "already defined"},
		{"path prefix", func(d *policy.Document) { d.Services[0].PathPrefix = "catalogue" }, "/services/0/pathPrefix", "not a path prefix"},
		{"path prefix with query", func(d *policy.Document) { d.Services[0].PathPrefix = "/a?b" }, "/services/0/pathPrefix", "not a path prefix"},
		{"path prefix twice", func(d *policy.Document) { d.Services[1].PathPrefix = "/catalogue" }, "/services/1/pathPrefix", "already defined"},
		{"queue time", func(d *policy.Document) { d.Services[0].MaxQueueMs = -1 }, "/services/0/maxQueueMs", "not between 0"},
		{"target twice", func(d *policy.Document) { d.Targets[1].Name = "t1" }, "/targets/1/name", "already defined"},
		{"target host name", func(d *policy.Document) { d.Targets[0].Address = "localhost:80" }, "/targets/0/address", "not an ip:port"},
		{"target port 0", func(d *policy.Document) { d.Targets[0].Address = "10.0.0.1:0" }, "/targets/0/address", "not an address of a target"},
		{"target address twice", func(d *policy.Document) { d.Targets[1].Address = d.Targets[0].Address }, "/targets/1/address", "already defined"},
		{"target domain", func(d *policy.Document) { d.Targets[0].Domain = "palermo-z" }, "/targets/0/domain", "no failure domain"},
		{"slots", func(d *policy.Document) { d.Targets[0].Slots = 0 }, "/targets/0/slots", "not between 1"},
		{"fewer connections than slots", func(d *policy.Document) { d.Targets[0].Connections = 2 }, "/targets/0/connections", "cannot fill 5 slots"},
		{"move above link cap", func(d *policy.Document) { d.Moves[0].CapMbit = 281 }, "/moves/0/capMbit", "above the cap of the link"},
		{"move percent", func(d *policy.Document) { d.Moves[0].Percent = 101 }, "/moves/0/percent", "not between 0 and 100"},
		{"move twice", func(d *policy.Document) { d.Moves = append(d.Moves, d.Moves[0]) }, "/moves/1", "already at /moves/0"},
		{"moves above 100%", func(d *policy.Document) {
			d.Regions = append(d.Regions, policy.Region{Name: "agrigento", Domains: []string{"agrigento-a"}})
			d.Links = append(d.Links, policy.Link{From: "palermo", To: "agrigento", CapMbit: 100})
			d.Moves = append(d.Moves, policy.Move{Service: "catalogue", From: "palermo", To: "agrigento", Percent: 60, CapMbit: 100})
		}, "/moves/1/percent", "add up to 110%"},
		{"move without link", func(d *policy.Document) { d.Links = nil }, "/moves/0", "no link"},
		{"deadline above maximum", func(d *policy.Document) { d.Timing.DefaultDeadlineMs = 40000 }, "/timing/defaultDeadlineMs", "above maxDeadlineMs"},
		{"block twice", func(d *policy.Document) { d.Blocks = append(d.Blocks, d.Blocks[0]) }, "/blocks/1/prefix", "already at /blocks/0"},
		{"block site", func(d *policy.Document) { d.Blocks[0].Site = "nowhere" }, "/blocks/0/site", `no site "nowhere"`},
		{"block prefix", func(d *policy.Document) { d.Blocks[0].Prefix = "10.0.0.0" }, "/blocks/0/prefix", "not a prefix"},
		{"IPv4 in IPv6", func(d *policy.Document) { d.Blocks[0].Prefix = "::ffff:10.0.0.0/104" }, "/blocks/0/prefix", "IPv4 prefix in IPv6"},
		{"IPv6 notation", func(d *policy.Document) { d.Blocks[0].Prefix = "2001:DB8::/32" }, "/blocks/0/prefix", "not in canonical notation"},
		{"leaving instance twice", func(d *policy.Document) { d.LeavingInstances = []string{"i", "i"} }, "/leavingInstances/1", "already defined"},
		{"log level", func(d *policy.Document) { d.LogLevel = "loud" }, "/logLevel", "not a log level"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := twoRegions()
			c.edit(d)
			src, err := d.Encode()
			require.NoError(t, err)
			_, err = policy.Parse("p.json", src)
			all := findingsOf(t, err)
			found := false
			for _, f := range all {
				assert.NotZero(t, f.Line, "%v", f)
				found = found || f.Pointer == c.pointer && strings.Contains(f.Message, c.message)
			}
			assert.True(t, found, "%v", err)
		})
	}
}

// twoRegions returns a valid document with one object or more of each kind.
func twoRegions() *policy.Document {
	return &policy.Document{
		Version:  3,
		LogLevel: "info",
		Timing:   policy.Timing{LookupTTLMs: 1000, DefaultDeadlineMs: 5000, MaxDeadlineMs: 30000},
		Regions:  []policy.Region{{Name: "palermo", Domains: []string{"palermo-a"}}, {Name: "catania", Domains: []string{"catania-a"}}},
		Links:    []policy.Link{{From: "palermo", To: "catania", CapMbit: 280}},
		Sites:    []policy.Site{{Name: "s", Domain: "palermo-a", Regions: []string{"palermo", "catania"}}},
		Services: []policy.Service{
			{Name: "catalogue", PathPrefix: "/catalogue", Idempotent: true, MaxQueueMs: 2000},
			{Name: "enrolment", PathPrefix: "/enrolment", MaxQueueMs: 2000},
		},
		Targets: []policy.Target{
			{Name: "t1", Service: "catalogue", Domain: "palermo-a", Address: "10.0.0.1:80", Slots: 5, Connections: 330},
			{Name: "t2", Service: "enrolment", Domain: "catania-a", Address: "10.0.0.2:80", Slots: 3, Connections: 330},
		},
		Moves:  []policy.Move{{Service: "catalogue", From: "palermo", To: "catania", Percent: 50, CapMbit: 100}},
		Blocks: []policy.Block{{Prefix: "10.0.0.0/9", Site: "s"}},
	}
}

func TestTwoRegionsIsValid(t *testing.T) {
	src, err := twoRegions().Encode()
	require.NoError(t, err)
	_, err = policy.Parse("p.json", src)
	require.NoError(t, err)
}

// Checks of values must not repeat what is already reported about their form,
// and must not be left out for a field that appears twice.
func TestParseDoesNotRepeatFindings(t *testing.T) {
	src, err := twoRegions().Encode()
	require.NoError(t, err)
	text := strings.Replace(string(src), `"slots": 5`, `"slots": "x"`, 1)
	text = strings.Replace(text, `"slots": 3`, `"slots": 0`, 1)
	text = strings.Replace(text, `"timing": {`, `"timing": 5, "logLevel": "loud", "timings": {`, 1)
	_, err = policy.Parse("p.json", []byte(text))
	var got []string
	for _, f := range findingsOf(t, err) {
		got = append(got, f.Pointer)
	}
	assert.Equal(t, []string{"/timing", "/logLevel", "/logLevel", "/timings", "/targets/0/slots", "/targets/1/slots"}, got)
}

// A report on hundreds of thousands of wrong blocks must stay bounded.
func TestParseBoundsTheReport(t *testing.T) {
	d := twoRegions()
	for i := range 20000 {
		d.Blocks = append(d.Blocks, policy.Block{Prefix: "x", Site: fmt.Sprintf("y%d", i)})
	}
	src, err := d.Encode()
	require.NoError(t, err)
	_, err = policy.Parse("p.json", src)
	var all *finding.Error
	require.True(t, errors.As(err, &all))
	assert.Len(t, all.Findings, finding.MaxFindings)
	assert.Equal(t, 40000-finding.MaxFindings, all.Omitted)
}

// A source that is too large must be rejected before it is decoded.
func TestParseBoundsTheSource(t *testing.T) {
	src := []byte(strings.Repeat(" ", policy.MaxDocumentBytes+1))
	_, err := policy.Parse("p.json", src)
	all := findingsOf(t, err)
	require.Len(t, all, 1)
	assert.Contains(t, all[0].Message, "bytes, more than")
}

// A list beyond its bound must be reported, not stored.
func TestParseBoundsLists(t *testing.T) {
	d := twoRegions()
	for i := range 65 {
		d.Regions[0].Domains = append(d.Regions[0].Domains, fmt.Sprintf("d%d", i))
	}
	src, err := d.Encode()
	require.NoError(t, err)
	_, err = policy.Parse("p.json", src)
	all := findingsOf(t, err)
	require.Len(t, all, 1)
	assert.Equal(t, "/regions/0/domains", all[0].Pointer)
	assert.Contains(t, all[0].Message, "more than 64")
}

// designScaleSource returns a document at the design scale: 570,000 blocks to 1,200 sites.
func designScaleSource(t testing.TB) []byte {
	d := twoRegions()
	for i := range 1200 {
		d.Sites = append(d.Sites, policy.Site{Name: fmt.Sprintf("site-%d", i), Domain: "palermo-a", Regions: []string{"palermo"}})
	}
	d.Blocks = nil
	for i := range 570_000 {
		prefix := fmt.Sprintf("%d.%d.%d.0/24", 1+i>>16, i>>8&255, i&255)
		d.Blocks = append(d.Blocks, policy.Block{Prefix: prefix, Site: fmt.Sprintf("site-%d", i%1200)})
	}
	src, err := json.Marshal(d)
	require.NoError(t, err)
	return src
}

func BenchmarkDiffDesignScale(b *testing.B) {
	x, err := policy.Parse("scale", designScaleSource(b))
	require.NoError(b, err)
	y := *x
	y.Blocks = append([]policy.Block{}, x.Blocks...)
	y.Blocks[1000].Site = "s"
	b.ReportAllocs()
	for b.Loop() {
		if changes := policy.Diff(x, &y); len(changes) != 1 {
			b.Fatal(changes)
		}
	}
}

func BenchmarkEncodeDesignScale(b *testing.B) {
	d, err := policy.Parse("scale", designScaleSource(b))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		src, err := d.Encode()
		require.NoError(b, err)
		b.SetBytes(int64(len(src)))
		b.ReportMetric(float64(len(src)), "document-bytes")
	}
}

func BenchmarkParseDesignScale(b *testing.B) {
	src := designScaleSource(b)
	b.SetBytes(int64(len(src)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := policy.Parse("scale", src); err != nil {
			b.Fatal(err)
		}
	}
}
