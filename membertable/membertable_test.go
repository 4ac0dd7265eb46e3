package membertable_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/membertable"
)

func member(name string, incarnation uint64) membertable.Member {
	return membertable.Member{Name: name, Incarnation: incarnation, Domain: name[:1]}
}

func alive(m membertable.Member, version uint64) membertable.ObservedMember {
	return membertable.ObservedMember{Member: m, State: membertable.Alive, ConfirmedVersion: version}
}

func propose(t *testing.T, h *membertable.Holder, view ...membertable.ObservedMember) {
	t.Helper()
	r, changed := h.Propose(view)
	require.True(t, changed)
	require.True(t, h.ApplyRecord(r))
}

// Before version 1 nobody held any right, so its homes may grant at once.
func TestHomesOfFirstTableGrantAtOnce(t *testing.T) {
	a, b := member("a1", 1), member("b1", 1)
	h := membertable.NewHolder(a)
	propose(t, h, alive(a, 0), alive(b, 0))
	home := h.Home("t", "a")
	assert.Equal(t, membertable.Home{Member: a, Known: true, NeverMoved: true}, home)
	assert.InDelta(t, 0.5, h.Share(), 0.001)
}

// A home that moves must not be granted by the new one before the old one has
// confirmed the new table.
func TestMovedHomeIsUnknownUntilAllMembersConfirm(t *testing.T) {
	a1, a2 := member("a1", 1), member("a2", 1)
	h := membertable.NewHolder(a1)
	propose(t, h, alive(a1, 0))
	propose(t, h, alive(a1, 1), alive(a2, 0))
	moved := movedTarget(t, h, a1, a2)
	assert.False(t, h.Home(moved, "a").Known)
	h.SetConfirmed(a2, 2)
	home := h.Home(moved, "a")
	assert.True(t, home.Known)
	assert.Equal(t, a2, home.Member)
	assert.False(t, home.NeverMoved, "a1 may have granted slots before")
}

// movedTarget returns the name of a target whose home changes with the newest table.
func movedTarget(t *testing.T, h *membertable.Holder, from, to membertable.Member) string {
	t.Helper()
	before, after := membertable.NewHolder(from), membertable.NewHolder(from)
	tables := h.Record().Tables
	require.True(t, before.ApplyRecord(membertable.Record{Tables: tables[:1]}))
	require.True(t, after.ApplyRecord(membertable.Record{Tables: tables[1:]}))
	after.SetConfirmed(to, tables[len(tables)-1].Version)
	for i := range 100 {
		name := fmt.Sprintf("t%d", i)
		if before.Home(name, "a").Member == from && after.Home(name, "a").Member == to {
			return name
		}
	}
	t.Fatal("no target moves")
	return ""
}

// An instance outside the domain must not take the slots of a member that is
// only silent: the member may be cut off and still serving.
func TestUnresponsiveMemberIsRemovedOnlyByItsDomain(t *testing.T) {
	a1, a2, b1 := member("a1", 1), member("a2", 1), member("b1", 1)
	silent := membertable.ObservedMember{Member: a2, State: membertable.Unresponsive, ConfirmedVersion: 1}

	outside := membertable.NewHolder(b1)
	propose(t, outside, alive(a1, 0), alive(a2, 0), alive(b1, 0))
	_, changed := outside.Propose([]membertable.ObservedMember{alive(a1, 1), silent, alive(b1, 1)})
	assert.False(t, changed)

	inside := membertable.NewHolder(a1)
	require.True(t, inside.ApplyRecord(outside.Record()))
	r, changed := inside.Propose([]membertable.ObservedMember{alive(a1, 1), silent, alive(b1, 1)})
	require.True(t, changed)
	assert.Equal(t, []membertable.Member{a1, b1}, r.Tables[len(r.Tables)-1].Members)
	assert.Empty(t, r.Tables[len(r.Tables)-1].FormerMembers)
}

// A member that was replaced while it was frozen must never use its old rights.
func TestMemberReplacedDuringFreezeIsRetired(t *testing.T) {
	a1, a2 := member("a1", 1), member("a2", 1)
	frozen := membertable.NewHolder(a2)
	propose(t, frozen, alive(a1, 0), alive(a2, 0))
	frozen.SetConfirmed(a1, 1)
	require.Positive(t, frozen.Share())

	other := membertable.NewHolder(a1)
	require.True(t, other.ApplyRecord(frozen.Record()))
	propose(t, other, alive(a1, 1), membertable.ObservedMember{Member: a2, State: membertable.Unresponsive, ConfirmedVersion: 1})
	assert.InDelta(t, 1.0, other.Share(), 0.001)

	frozen.Suspend()
	assert.Zero(t, frozen.Share())
	assert.False(t, frozen.Home("t", "a").Known)
	require.True(t, frozen.ApplyRecord(other.Record()))
	assert.False(t, frozen.ResumeAfterRefresh())
	assert.Zero(t, frozen.Share())
}

func TestLeavingMemberIsFormerUntilItConfirms(t *testing.T) {
	a1, a2 := member("a1", 1), member("a2", 1)
	h := membertable.NewHolder(a1)
	propose(t, h, alive(a1, 0), alive(a2, 0))
	h.SetConfirmed(a2, 1)
	leaving := membertable.ObservedMember{Member: a2, State: membertable.Leaving, ConfirmedVersion: 1}
	propose(t, h, alive(a1, 1), leaving)
	assert.InDelta(t, 0.5, h.Share(), 0.001, "the leaving member has not confirmed yet")
	h.SetConfirmed(a2, 2)
	assert.InDelta(t, 1.0, h.Share(), 0.001)
	leaving.ConfirmedVersion = 2
	r, changed := h.Propose([]membertable.ObservedMember{alive(a1, 2), leaving})
	require.True(t, changed)
	assert.Empty(t, r.Tables[len(r.Tables)-1].FormerMembers)
}

func TestDecodeRejectsDamagedRecords(t *testing.T) {
	for _, src := range []string{
		``, `{}`, `{"tables":[]}`,
		`{"tables":[{"version":0,"members":[]}]}`,
		`{"tables":[{"version":1,"members":[]},{"version":3,"members":[]}]}`,
		`{"tables":[{"version":1,"members":[{"name":"a","domain":"d"},{"name":"a","domain":"d"}]}]}`,
	} {
		_, err := membertable.Decode([]byte(src))
		var problem *membertable.RecordError
		assert.ErrorAs(t, err, &problem, src)
	}
}

// Any order of joins, stops, silences, lost updates and freezes must leave at
// most one home for a target, and shares that sum to at most one.
func TestRandomHistoriesKeepOneHomePerTarget(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		runRandomHistory(t, seed)
	}
}

type modelNode struct {
	holder *membertable.Holder
	frozen bool
	left   bool
}

type modelRegion struct {
	rng             *rand.Rand
	stored          membertable.Record
	nodes           map[string]*modelNode
	lastIncarnation uint64
}

func runRandomHistory(t *testing.T, seed uint64) {
	h := &modelRegion{rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*modelNode{}}
	names := []string{"a1", "a2", "b1", "b2", "b3"}
	for range 400 {
		h.step(names[h.rng.IntN(len(names))])
		for i := range 4 {
			h.check(t, seed, fmt.Sprintf("t%d", i), []string{"a", "b"}[i%2])
		}
	}
}

func (h *modelRegion) step(name string) {
	n := h.nodes[name]
	if n == nil {
		h.lastIncarnation++
		h.nodes[name] = &modelNode{holder: membertable.NewHolder(member(name, h.lastIncarnation))}
		return
	}
	switch choice := h.rng.IntN(12); {
	case n.frozen:
		if choice < 4 {
			h.resume(name, n)
		}
	case choice < 1:
		n.frozen = true
	case choice < 2:
		n.left = true
	case choice < 3:
		delete(h.nodes, name) // Killed; a later step starts a new incarnation.
	case choice < 6:
		n.holder.ApplyRecord(h.stored)
	case choice < 9:
		h.exchange(n)
	default:
		h.propose(n)
	}
}

// resume follows the order of the daemon: suspend, read the record, go on.
func (h *modelRegion) resume(name string, n *modelNode) {
	n.frozen = false
	n.holder.Suspend()
	n.holder.ApplyRecord(h.stored)
	if !n.holder.ResumeAfterRefresh() {
		h.lastIncarnation++
		h.nodes[name] = &modelNode{holder: membertable.NewHolder(member(name, h.lastIncarnation))}
	}
}

func (h *modelRegion) exchange(n *modelNode) {
	for _, other := range h.nodes {
		if other != n && !other.frozen && h.rng.IntN(2) == 0 {
			n.holder.SetConfirmed(other.holder.Self(), other.holder.ConfirmedVersion())
		}
	}
}

func (h *modelRegion) propose(n *modelNode) {
	var view []membertable.ObservedMember
	for _, other := range h.nodes {
		o := membertable.ObservedMember{Member: other.holder.Self(), ConfirmedVersion: other.holder.ConfirmedVersion()}
		switch {
		case other.frozen:
			o.State = membertable.Unresponsive
		case other.left:
			o.State = membertable.Leaving
		}
		view = append(view, o)
	}
	if n.holder.Record().NewestVersion() != h.stored.NewestVersion() {
		return // The compare-and-swap would fail.
	}
	if r, changed := n.holder.Propose(view); changed {
		h.stored = r
		n.holder.ApplyRecord(r)
	}
}

func (h *modelRegion) check(t *testing.T, seed uint64, target, domain string) {
	t.Helper()
	homes, sum := 0, 0.0
	for _, n := range h.nodes {
		if n.frozen {
			continue
		}
		sum += n.holder.Share()
		home := n.holder.Home(target, domain)
		if home.Known && home.Member == n.holder.Self() {
			homes++
		}
	}
	require.LessOrEqual(t, homes, 1, "seed %d target %s", seed, target)
	require.LessOrEqual(t, sum, 1.0001, "seed %d", seed)
}
