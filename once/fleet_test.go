package once

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// fleet is a set of instances that share nothing but messages. It sends
// requests with keys through random instances while instances are killed,
// frozen and stopped, and counts what targets executed.
type fleet struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	off      bool // Executes without asking the registry.
	nodes    []*node
	flying   []flight
	keys     []Key
	executed map[Key]int
	counts   map[string]int
}

type node struct {
	self     Issuer
	registry *Registry
	frozen   int // Steps during which the node neither relays nor executes.
}

type flight struct {
	node   *node
	key    Key
	ticket *Ticket
}

func newFleet(t *testing.T, seed uint64, off bool) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, off: off,
		executed: map[Key]int{}, counts: map[string]int{}}
	for i := range 6 {
		f.nodes = append(f.nodes, &node{self: Issuer{Instance: fmt.Sprintf("n-%d", i)}})
		f.restart(f.nodes[i])
	}
	return f
}

// restart replaces a node by a new incarnation; its requests in flight end
// without a result, as in a crash.
func (f *fleet) restart(n *node) {
	n.self.Incarnation++
	n.frozen = 0
	r, err := New(n.self, f.now)
	require.NoError(f.t, err)
	n.registry = r
	kept := f.flying[:0]
	for _, flight := range f.flying {
		if flight.node != n {
			kept = append(kept, flight)
		}
	}
	f.flying = kept
}

func (f *fleet) pick() *node { return f.nodes[f.random.IntN(len(f.nodes))] }

func (f *fleet) step() {
	f.now = f.now.Add(time.Duration(f.random.IntN(2000)) * time.Millisecond)
	for _, n := range f.nodes {
		n.frozen = max(0, n.frozen-1)
	}
	switch p := f.random.IntN(1000); {
	case p < 4:
		f.restart(f.pick())
		f.counts["kills"]++
	case p < 8:
		f.pick().frozen = 50
		f.counts["freezes"]++
	case p < 12:
		f.plannedStop(f.pick())
	case p < 500 && len(f.keys) > 0:
		f.send(f.keys[max(0, len(f.keys)-1-f.random.IntN(400))])
		f.counts["resends"]++
	case p < 750:
		f.sendNew()
	default:
		f.finish()
	}
}

func (f *fleet) sendNew() {
	prefix, ok := f.pick().registry.Prefix(f.now)
	if !ok {
		return
	}
	key := Key{Prefix: prefix, Suffix: fmt.Sprint(len(f.keys))}
	f.keys = append(f.keys, key)
	f.counts["new"]++
	f.send(key)
}

// send delivers a request to a random instance, which relays it to the key's
// issuer or to the issuer's successor as far as those answer.
func (f *fleet) send(key Key) {
	at := f.pick()
	for range 3 {
		if at.frozen > 0 {
			return
		}
		if f.off {
			f.run(at, key, nil)
			return
		}
		d := at.registry.Begin(f.now, key, first)
		f.counts[d.Verdict.String()]++
		f.checkAnswer(key, d)
		next := ""
		switch d.Verdict {
		case Run:
			f.run(at, key, d.Ticket)
		case Foreign:
			next = key.Instance
		case HandedOver:
			next = d.Successor.Instance
		}
		if next == "" {
			return
		}
		at = f.named(next)
	}
}

func (f *fleet) named(name string) *node {
	for _, n := range f.nodes {
		if n.self.Instance == name {
			return n
		}
	}
	f.t.Fatalf("no instance %q", name)
	return nil
}

// checkAnswer compares what the caller is told with what targets executed.
func (f *fleet) checkAnswer(key Key, d Decision) {
	if o, refused := d.Verdict.Refusal(); refused && o.Executed == outcome.No {
		assert.Zero(f.t, f.executed[key], "%s refused as not executed", key)
	}
	if d.Verdict == Replay && d.Result.Executed == outcome.Yes {
		assert.Equal(f.t, 1, f.executed[key], "%s replayed", key)
	}
}

// run lets a target execute a request or refuse it provably.
func (f *fleet) run(n *node, key Key, ticket *Ticket) {
	if f.random.IntN(10) == 0 {
		if ticket != nil {
			ticket.Finish(Result{Executed: outcome.No})
		}
		return
	}
	f.executed[key]++
	if ticket != nil {
		f.flying = append(f.flying, flight{node: n, key: key, ticket: ticket})
	}
}

func (f *fleet) finish() {
	if len(f.flying) == 0 {
		return
	}
	i := f.random.IntN(len(f.flying))
	fl := f.flying[i]
	f.flying = append(f.flying[:i], f.flying[i+1:]...)
	if f.random.IntN(5) == 0 {
		fl.ticket.Finish(Result{Executed: outcome.Unknown})
		return
	}
	fl.ticket.Finish(answered(fl.key.Suffix))
}

// plannedStop hands over through a network that loses and repeats messages,
// then starts the next incarnation.
func (f *fleet) plannedStop(n *node) {
	successor := f.pick()
	if successor == n || successor.frozen > 0 {
		return
	}
	f.counts["stops"]++
	lossy := f.random.IntN(3) == 0
	for _, b := range n.registry.HandOver(f.now, successor.self) {
		if lossy && f.random.IntN(4) == 0 {
			f.counts["lost messages"]++
			continue
		}
		for range 1 + f.random.IntN(2) {
			successor.registry.Accept(f.now, b)
		}
	}
	for range 5 {
		f.send(f.keys[f.random.IntN(len(f.keys))])
	}
	f.restart(n)
}

func (f *fleet) duplicates() int {
	n := 0
	for _, times := range f.executed {
		if times > 1 {
			n++
		}
	}
	return n
}

func (f *fleet) runUntil(keys int) {
	for f.counts["new"] < keys {
		f.step()
	}
}

// Requirement R5 for the decisions: 12,000 keys through kills, freezes, stops
// with lost messages and resends through other instances. Without the
// registry, the same run executes keys more than once.
func TestNoKeyIsExecutedTwice(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			off := newFleet(t, seed, true)
			off.runUntil(3000)
			require.NotZero(t, off.duplicates(), "the test must see duplicates when the registry is not asked")

			f := newFleet(t, seed, false)
			f.runUntil(3000)
			assert.Zero(t, f.duplicates())
			for _, event := range []string{"kills", "freezes", "stops", "lost messages", "resends", "replay", "wait",
				"refuse-gone", "refuse-expired", "foreign", "handed-over"} {
				assert.NotZero(t, f.counts[event], event)
			}
			t.Logf("without registry: %d of %d keys executed twice; with: %d; %v",
				off.duplicates(), len(off.keys), f.duplicates(), f.counts)
		})
	}
}
