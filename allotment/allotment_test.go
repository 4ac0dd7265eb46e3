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

// TestMain fixes the seed, so that every run of CI checks the same cases.
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

// A share that grows must wait for the member whose share shrinks.
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

// A restarted member knows only the newest table; it must not use its share
// while a former member may still use an older one.
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

// A member that others counted as gone while it was frozen must not go on with
// its old share: the others may already use a version that it does not know.
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

// An unknown version inside the range may give the holder any share.
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

// modelRegion is a model of all members of a region with the platform's store.
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

func (r *modelRegion) addMember() string {
	r.count++
	name := fmt.Sprintf("m%02d", r.count)
	r.members[name] = &modelMember{holder: allotment.NewHolder(name)}
	r.order = append(r.order, name)
	return name
}

func (r *modelRegion) drawMember(t *rapid.T) *modelMember {
	return r.members[rapid.SampledFrom(r.order).Draw(t, "member")]
}

func (r *modelRegion) drawShares(t *rapid.T) map[string]int64 {
	left, shares := int64(modelCap), map[string]int64{}
	for _, name := range r.order {
		if r.members[name].gone || rapid.IntRange(0, 3).Draw(t, "absent") == 0 {
			continue
		}
		shares[name] = rapid.Int64Range(0, left).Draw(t, "share")
		left -= shares[name]
	}
	return shares
}

func (r *modelRegion) publish(t *rapid.T) {
	last := r.tables[len(r.tables)-1]
	finished := func(holder string) bool { return r.members[holder].gone }
	r.tables = append(r.tables, last.Next(modelCap, r.drawShares(t), finished))
}

func (r *modelRegion) learn(t *rapid.T) {
	m := r.drawMember(t)
	if m.ended || m.frozen {
		return
	}
	table := rapid.SampledFrom(r.tables).Draw(t, "table")
	require.NoError(t, m.holder.AddTable(table))
}

func (r *modelRegion) confirm(t *rapid.T) {
	from, to := rapid.SampledFrom(r.order).Draw(t, "from"), r.drawMember(t)
	if sender := r.members[from]; to.frozen || to.ended || sender.frozen || sender.ended {
		return
	}
	to.holder.SetConfirmed(from, r.members[from].holder.NewestVersion())
}

func (r *modelRegion) restart(t *rapid.T) {
	if len(r.order) >= 9 {
		return
	}
	r.drawMember(t).ended = true
	r.addMember()
}

func (r *modelRegion) declareGone(t *rapid.T) {
	if m := r.drawMember(t); m.ended || m.frozen {
		m.gone = true
	}
}

func (r *modelRegion) learnGone(t *rapid.T) {
	name, to := rapid.SampledFrom(r.order).Draw(t, "gone"), r.drawMember(t)
	if r.members[name].gone && !to.frozen && !to.ended {
		to.holder.MarkGone(name)
	}
}

func (r *modelRegion) freeze(t *rapid.T) { r.drawMember(t).frozen = true }

// resume follows the order that the package requires: suspend before anything
// else, then refresh, then resume or retire.
func (r *modelRegion) resume(t *rapid.T) {
	m := r.drawMember(t)
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

func (r *modelRegion) check(t *rapid.T) {
	var sum int64
	for _, m := range r.members {
		if !m.frozen && !m.ended {
			sum += m.holder.Share()
		}
	}
	require.LessOrEqual(t, sum, int64(modelCap))
}

// Guards against a sum of shares above the cap for any order of learning,
// confirming, restarting, freezing and members reported gone.
func TestSumOfSharesStaysWithinCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &modelRegion{members: map[string]*modelMember{}}
		for range 3 {
			r.addMember()
		}
		r.tables = []allotment.Table{allotment.FirstTable(modelCap, r.drawShares(t))}
		t.Repeat(map[string]func(*rapid.T){
			"publish": r.publish, "learn": r.learn, "learn again": r.learn, "confirm": r.confirm,
			"confirm again": r.confirm, "restart": r.restart, "declare gone": r.declareGone,
			"learn gone": r.learnGone, "freeze": r.freeze, "resume": r.resume, "": r.check,
		})
	})
}

// Guards against a rule so strict that the new shares never come into force.
func TestAllMembersReachTheNewestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &modelRegion{members: map[string]*modelMember{}}
		for range 4 {
			r.addMember()
		}
		r.tables = []allotment.Table{allotment.FirstTable(modelCap, r.drawShares(t))}
		for range rapid.IntRange(1, 5).Draw(t, "versions") {
			r.publish(t)
		}
		for _, m := range r.members {
			for _, table := range r.tables {
				require.NoError(t, m.holder.AddTable(table))
			}
			for _, name := range r.order {
				m.holder.SetConfirmed(name, r.tables[len(r.tables)-1].Version)
			}
		}
		for name, m := range r.members {
			require.Equal(t, r.tables[len(r.tables)-1].Shares[name], m.holder.Share())
		}
	})
}
