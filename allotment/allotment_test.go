package allotment_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthstall/jacinthstall/allotment"
)

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestValidateRejectsTablesOverTheCap(t *testing.T) {
	cases := map[string]struct {
		table allotment.Table
		valid bool
	}{
		"at the cap":     {allotment.FirstTable(10, map[string]int64{"a": 4, "b": 6}), true},
		"over the cap":   {allotment.FirstTable(10, map[string]int64{"a": 5, "b": 6}), false},
		"negative share": {allotment.FirstTable(10, map[string]int64{"a": -1, "b": 6}), false},
		"version zero":   {allotment.Table{Cap: 10}, false},
		"sum overflows":  {allotment.FirstTable(10, map[string]int64{"a": 1 << 62, "b": 1 << 62, "c": 1 << 62, "d": 1 << 62}), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := c.table.Validate()
			if c.valid {
				require.NoError(t, err)
				return
			}
			var problem *allotment.TableError
			require.ErrorAs(t, err, &problem)
		})
	}
}

// Guards against a share that grows before the member whose share shrinks
// knows the new table.
func TestShareGrowsOnlyAfterOthersConfirmed(t *testing.T) {
	first := allotment.FirstTable(10, map[string]int64{"a": 2, "b": 8})
	second := first.Next(10, map[string]int64{"a": 7, "b": 3}, func(string) bool { return false })
	a, b := allotment.NewHolder("a"), allotment.NewHolder("b")
	for _, h := range []*allotment.Holder{a, b} {
		require.NoError(t, h.AddTable(first))
		require.NoError(t, h.AddTable(second))
	}
	assert.EqualValues(t, 2, a.Share())
	assert.EqualValues(t, 3, b.Share())
	a.SetConfirmed("b", 2)
	assert.EqualValues(t, 7, a.Share())
}

// Guards against a restarted member, which knows only the newest table, using
// its share while a former member may still use an older table.
func TestRestartedHolderWaitsForFormerMembers(t *testing.T) {
	first := allotment.FirstTable(10, map[string]int64{"a": 2, "x": 8})
	second := first.Next(10, map[string]int64{"a": 2, "b": 8}, func(string) bool { return false })
	b := allotment.NewHolder("b")
	require.NoError(t, b.AddTable(second))
	b.SetConfirmed("a", 2)
	assert.Zero(t, b.Share(), "x may still use version 1")
	b.MarkGone("x")
	assert.EqualValues(t, 8, b.Share())
}

// Guards against a member that continues to use its old share after others
// counted it as gone during a freeze. The others may already use a version
// that it does not know.
func TestRetiredHolderUsesNothingAfterAFreeze(t *testing.T) {
	first := allotment.FirstTable(10, map[string]int64{"a": 2, "b": 8})
	second := first.Next(10, map[string]int64{"a": 10}, func(string) bool { return false })
	a, b := allotment.NewHolder("a"), allotment.NewHolder("b")
	require.NoError(t, a.AddTable(first))
	require.NoError(t, b.AddTable(first))
	require.NoError(t, a.AddTable(second))
	a.MarkGone("b")
	require.EqualValues(t, 10, a.Share())
	b.Suspend()
	b.Retire()
	b.Resume()
	assert.Zero(t, b.Share())
}

// Guards against use of a share while the holder does not know a version in
// its range, which may give it any share.
func TestMissingVersionCountsAsZero(t *testing.T) {
	never := func(string) bool { return false }
	first := allotment.FirstTable(10, map[string]int64{"a": 5, "b": 5})
	second := first.Next(10, map[string]int64{"a": 1, "b": 9}, never)
	third := second.Next(10, map[string]int64{"a": 5, "b": 5}, never)
	a := allotment.NewHolder("a")
	require.NoError(t, a.AddTable(first))
	require.NoError(t, a.AddTable(third))
	assert.Zero(t, a.Share())
	require.NoError(t, a.AddTable(second))
	assert.EqualValues(t, 1, a.Share())
}

// modelRegion is a model of all members of a region and the platform's store.
type modelRegion struct {
	tables  []allotment.Table
	members map[string]*modelMember
	order   []string
	count   int
}

type modelMember struct {
	holder *allotment.Holder
	frozen bool
	ended  bool
	gone   bool // Reported gone by the platform's list.
}

const modelCap = 100

func (region *modelRegion) addMember() string {
	region.count++
	name := fmt.Sprintf("m%02d", region.count)
	region.members[name] = &modelMember{holder: allotment.NewHolder(name)}
	region.order = append(region.order, name)
	return name
}

func (region *modelRegion) drawMember(t *rapid.T) *modelMember {
	return region.members[rapid.SampledFrom(region.order).Draw(t, "member")]
}

func (region *modelRegion) drawShares(t *rapid.T) map[string]int64 {
	left, shares := int64(modelCap), map[string]int64{}
	for _, name := range region.order {
		if region.members[name].gone || rapid.IntRange(0, 3).Draw(t, "absent") == 0 {
			continue
		}
		shares[name] = rapid.Int64Range(0, left).Draw(t, "share")
		left -= shares[name]
	}
	return shares
}

func (region *modelRegion) publish(t *rapid.T) {
	last := region.tables[len(region.tables)-1]
	finished := func(holder string) bool { return region.members[holder].gone }
	region.tables = append(region.tables, last.Next(modelCap, region.drawShares(t), finished))
}

func (region *modelRegion) learn(t *rapid.T) {
	m := region.drawMember(t)
	if m.ended || m.frozen {
		return
	}
	table := rapid.SampledFrom(region.tables).Draw(t, "table")
	require.NoError(t, m.holder.AddTable(table))
}

func (region *modelRegion) confirm(t *rapid.T) {
	from, to := rapid.SampledFrom(region.order).Draw(t, "from"), region.drawMember(t)
	if sender := region.members[from]; to.frozen || to.ended || sender.frozen || sender.ended {
		return
	}
	to.holder.SetConfirmed(from, region.members[from].holder.NewestVersion())
}

func (region *modelRegion) restart(t *rapid.T) {
	if len(region.order) >= 9 {
		return
	}
	region.drawMember(t).ended = true
	region.addMember()
}

func (region *modelRegion) declareGone(t *rapid.T) {
	if m := region.drawMember(t); m.ended || m.frozen {
		m.gone = true
	}
}

func (region *modelRegion) learnGone(t *rapid.T) {
	name, to := rapid.SampledFrom(region.order).Draw(t, "gone"), region.drawMember(t)
	if region.members[name].gone && !to.frozen && !to.ended {
		to.holder.MarkGone(name)
	}
}

func (region *modelRegion) freeze(t *rapid.T) { region.drawMember(t).frozen = true }

// resume follows the order that the package requires: suspend first, then
// refresh, then resume or retire.
func (region *modelRegion) resume(t *rapid.T) {
	m := region.drawMember(t)
	if !m.frozen || m.ended {
		return
	}
	m.frozen = false
	m.holder.Suspend()
	if m.gone {
		m.holder.Retire()
	}
	m.holder.Resume()
}

func (region *modelRegion) check(t *rapid.T) {
	var sum int64
	for _, m := range region.members {
		if !m.frozen && !m.ended {
			sum += m.holder.Share()
		}
	}
	require.LessOrEqual(t, sum, int64(modelCap))
}

// Guards against a sum of shares above the cap, for any order of learning
// tables, confirming, restarting, freezing and reporting members as gone.
func TestSumOfSharesStaysWithinCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		region := &modelRegion{members: map[string]*modelMember{}}
		for range 3 {
			region.addMember()
		}
		region.tables = []allotment.Table{allotment.FirstTable(modelCap, region.drawShares(t))}
		t.Repeat(map[string]func(*rapid.T){
			"publish": region.publish, "learn": region.learn, "learn again": region.learn, "confirm": region.confirm,
			"confirm again": region.confirm, "restart": region.restart, "declare gone": region.declareGone,
			"learn gone": region.learnGone, "freeze": region.freeze, "resume": region.resume, "": region.check,
		})
	})
}

// Guards against a rule so strict that new shares never come into force.
func TestAllMembersReachTheNewestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		region := &modelRegion{members: map[string]*modelMember{}}
		for range 4 {
			region.addMember()
		}
		region.tables = []allotment.Table{allotment.FirstTable(modelCap, region.drawShares(t))}
		for range rapid.IntRange(1, 5).Draw(t, "versions") {
			region.publish(t)
		}
		for _, m := range region.members {
			for _, table := range region.tables {
				require.NoError(t, m.holder.AddTable(table))
			}
			for _, name := range region.order {
				m.holder.SetConfirmed(name, region.tables[len(region.tables)-1].Version)
			}
		}
		for name, m := range region.members {
			require.Equal(t, region.tables[len(region.tables)-1].Shares[name], m.holder.Share())
		}
	})
}
