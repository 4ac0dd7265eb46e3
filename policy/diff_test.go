package policy_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/policy"
)

// A change that the review does not show would be published unseen.
func TestDiff(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(*policy.Document)
		want []string
	}{
		{"nothing", func(*policy.Document) {}, nil},
		{"version only", func(d *policy.Document) { d.Version = 9 }, nil},
		{"order only", func(d *policy.Document) { d.Targets[0], d.Targets[1] = d.Targets[1], d.Targets[0] }, nil},
		{"log level", func(d *policy.Document) { d.LogLevel = "debug" }, []string{`~ /logLevel: "info" -> "debug"`}},
		{"timing", func(d *policy.Document) { d.Timing.LookupTTLMs = 500 }, []string{`~ /timing/lookupTtlMs: 1000 -> 500`}},
		{"region", func(d *policy.Document) { d.Regions[0].Domains = append(d.Regions[0].Domains, "palermo-b") },
			[]string{`~ /regions/palermo/domains: ["palermo-a"] -> ["palermo-a","palermo-b"]`}},
		{"link", func(d *policy.Document) { d.Links[0].CapMbit = 4000 }, []string{`~ /links/palermo>catania/capMbit: 280 -> 4000`}},
		{"site", func(d *policy.Document) { d.Sites[0].Regions = d.Sites[0].Regions[:1] },
			[]string{`~ /sites/s/regions: ["palermo","catania"] -> ["palermo"]`}},
		{"service", func(d *policy.Document) { d.Services[1].Idempotent = true }, []string{`~ /services/enrolment/idempotent: false -> true`}},
		{"target leaves", func(d *policy.Document) { d.Targets[0].Leaving = true }, []string{`~ /targets/t1/leaving: false -> true`}},
		{"target renamed", func(d *policy.Document) { d.Targets[1].Name = "t3" }, []string{
			`- /targets/t2: {"name":"t2","service":"enrolment","domain":"catania-a","address":"10.0.0.2:80","slots":3,"connections":330}`,
			`+ /targets/t3: {"name":"t3","service":"enrolment","domain":"catania-a","address":"10.0.0.2:80","slots":3,"connections":330}`,
		}},
		{"move", func(d *policy.Document) { d.Moves[0].Percent = 60 }, []string{`~ /moves/catalogue:palermo>catania/percent: 50 -> 60`}},
		{"block", func(d *policy.Document) { d.Blocks = append(d.Blocks, policy.Block{Prefix: "10.128.0.0/9", Site: "s"}) },
			[]string{`+ /blocks/10.128.0.0~19: {"prefix":"10.128.0.0/9","site":"s"}`}},
		{"leaving instance", func(d *policy.Document) { d.LeavingInstances = []string{"i1"} }, []string{`+ /leavingInstances/i1: "i1"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := twoRegions()
			c.edit(b)
			changes := policy.Diff(twoRegions(), b)
			assert.Equal(t, strings.Join(c.want, "\n"), strings.TrimSuffix(policy.FormatChanges(changes), "\n"))
		})
	}
}

// Edits of different objects must both survive a lost race.
func TestMergeKeepsBothEdits(t *testing.T) {
	base, mine, theirs := twoRegions(), twoRegions(), twoRegions()
	theirs.Version = 4
	mine.Targets[0].Leaving = true
	mine.LogLevel = "debug"
	mine.Blocks = append(mine.Blocks, policy.Block{Prefix: "10.128.0.0/9", Site: "s"})
	mine.Moves = nil
	theirs.Targets[1].Slots = 7
	theirs.Timing.LookupTTLMs = 500
	theirs.LeavingInstances = []string{"i1"}

	merged, conflicts := policy.Merge(base, mine, theirs)
	require.Empty(t, conflicts)
	assert.Equal(t, uint64(4), merged.Version)
	assert.Equal(t, policy.Diff(base, mine), policy.Diff(theirs, merged))
	assert.Equal(t, policy.Diff(base, theirs), policy.Diff(mine, merged))
}

// Edits of the same object must be reported, not silently overwritten.
func TestMergeConflicts(t *testing.T) {
	for _, c := range []struct {
		name         string
		mine, theirs func(*policy.Document)
		want         string
	}{
		{"same field", func(d *policy.Document) { d.Targets[0].Slots = 6 }, func(d *policy.Document) { d.Targets[0].Slots = 7 }, "/targets/t1"},
		{"other field of an object", func(d *policy.Document) { d.Targets[0].Slots = 6 }, func(d *policy.Document) { d.Targets[0].Leaving = true }, "/targets/t1"},
		{"changed and removed", func(d *policy.Document) { d.Targets[0].Slots = 6 }, func(d *policy.Document) { d.Targets = d.Targets[1:] }, "/targets/t1"},
		{"removed and changed", func(d *policy.Document) { d.Moves = nil }, func(d *policy.Document) { d.Moves[0].Percent = 1 }, "/moves/catalogue:palermo>catania"},
		{"log level", func(d *policy.Document) { d.LogLevel = "debug" }, func(d *policy.Document) { d.LogLevel = "warn" }, "/logLevel"},
		{"timing", func(d *policy.Document) { d.Timing.LookupTTLMs = 1 }, func(d *policy.Document) { d.Timing.MaxDeadlineMs = 6000 }, "/timing"},
		{"added differently", func(d *policy.Document) { d.Blocks = append(d.Blocks, policy.Block{Prefix: "11.0.0.0/8", Site: "a"}) },
			func(d *policy.Document) { d.Blocks = append(d.Blocks, policy.Block{Prefix: "11.0.0.0/8", Site: "b"}) }, "/blocks/11.0.0.0~18"},
	} {
		t.Run(c.name, func(t *testing.T) {
			base, mine, theirs := twoRegions(), twoRegions(), twoRegions()
			c.mine(mine)
			c.theirs(theirs)
			merged, conflicts := policy.Merge(base, mine, theirs)
			assert.Nil(t, merged)
			require.Len(t, conflicts, 1)
			assert.Equal(t, c.want, conflicts[0].Path)
			assert.Empty(t, policy.Diff(mine, policy.MergePreferring(base, mine, theirs, policy.Mine)))
			assert.Empty(t, policy.Diff(theirs, policy.MergePreferring(base, mine, theirs, policy.Theirs)))
		})
	}
}

// Two operators who make the same change must not be asked to choose.
func TestMergeIdenticalChanges(t *testing.T) {
	mine, theirs := twoRegions(), twoRegions()
	mine.Targets[0].Leaving, theirs.Targets[0].Leaving = true, true
	mine.LeavingInstances, theirs.LeavingInstances = []string{"i"}, []string{"i"}
	merged, conflicts := policy.Merge(twoRegions(), mine, theirs)
	assert.Empty(t, conflicts)
	assert.Empty(t, policy.Diff(theirs, merged))
}
