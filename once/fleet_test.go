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

// simulation is a set of instances that share nothing but messages. It sends
// requests with keys through random instances while instances are killed,
// frozen and stopped, and counts what targets executed.
type simulation struct {
	t                *testing.T
	random           *rand.Rand
	now              time.Time
	registryDisabled bool // Executes without asking the registry.
	instances        []*simulatedInstance
	inFlight         []inFlightRequest
	keys             []Key
	executed         map[Key]int
	eventCounts      map[string]int
}

type simulatedInstance struct {
	self        Issuer
	registry    *Registry
	frozenSteps int // Steps during which the node neither relays nor executes.
}

type inFlightRequest struct {
	instance *simulatedInstance
	key      Key
	ticket   *Ticket
}

func newSimulation(t *testing.T, seed uint64, off bool) *simulation {
	f := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, registryDisabled: off,
		executed: map[Key]int{}, eventCounts: map[string]int{}}
	for i := range 6 {
		f.instances = append(f.instances, &simulatedInstance{self: Issuer{Instance: fmt.Sprintf("n-%d", i)}})
		f.restart(f.instances[i])
	}
	return f
}

// restart replaces a node by a new incarnation; its requests in flight end
// without a result, as in a crash.
func (f *simulation) restart(n *simulatedInstance) {
	n.self.Incarnation++
	n.frozenSteps = 0
	r, err := New(n.self, f.now)
	require.NoError(f.t, err)
	n.registry = r
	kept := f.inFlight[:0]
	for _, flight := range f.inFlight {
		if flight.instance != n {
			kept = append(kept, flight)
		}
	}
	f.inFlight = kept
}

func (f *simulation) randomInstance() *simulatedInstance {
	return f.instances[f.random.IntN(len(f.instances))]
}

func (f *simulation) step() {
	f.now = f.now.Add(time.Duration(f.random.IntN(2000)) * time.Millisecond)
	for _, n := range f.instances {
		n.frozenSteps = max(0, n.frozenSteps-1)
	}
	switch p := f.random.IntN(1000); {
	case p < 4:
		f.restart(f.randomInstance())
		f.eventCounts["kills"]++
	case p < 8:
		f.randomInstance().frozenSteps = 50
		f.eventCounts["freezes"]++
	case p < 12:
		f.plannedStop(f.randomInstance())
	case p < 500 && len(f.keys) > 0:
		f.send(f.keys[max(0, len(f.keys)-1-f.random.IntN(400))])
		f.eventCounts["resends"]++
	case p < 750:
		f.sendNew()
	default:
		f.finishRandom()
	}
}

func (f *simulation) sendNew() {
	prefix, ok := f.randomInstance().registry.Prefix(f.now)
	if !ok {
		return
	}
	key := Key{Prefix: prefix, Suffix: fmt.Sprint(len(f.keys))}
	f.keys = append(f.keys, key)
	f.eventCounts["new"]++
	f.send(key)
}

// send delivers a request to a random instance, which relays it to the key's
// issuer or to the issuer's successor as far as those answer.
func (f *simulation) send(key Key) {
	at := f.randomInstance()
	for range 3 {
		if at.frozenSteps > 0 {
			return
		}
		if f.registryDisabled {
			f.execute(at, key, nil)
			return
		}
		d := at.registry.Begin(f.now, key, fingerprint)
		f.eventCounts[d.Verdict.String()]++
		f.checkDecision(key, d)
		next := ""
		switch d.Verdict {
		case Run:
			f.execute(at, key, d.Ticket)
		case Foreign:
			next = key.Instance
		case HandedOver:
			next = d.Successor.Instance
		}
		if next == "" {
			return
		}
		at = f.findInstance(next)
	}
}

func (f *simulation) findInstance(name string) *simulatedInstance {
	for _, n := range f.instances {
		if n.self.Instance == name {
			return n
		}
	}
	f.t.Fatalf("no instance %q", name)
	return nil
}

// checkDecision compares what the caller is told with what targets executed.
func (f *simulation) checkDecision(key Key, d Decision) {
	if o, refused := d.Verdict.Refusal(); refused && o.Executed == outcome.No {
		assert.Zero(f.t, f.executed[key], "%s refused as not executed", key)
	}
	if d.Verdict == Replay && d.Result.Executed == outcome.Yes {
		assert.Equal(f.t, 1, f.executed[key], "%s replayed", key)
	}
}

// execute lets a target execute a request or refuse it provably.
func (f *simulation) execute(n *simulatedInstance, key Key, ticket *Ticket) {
	if f.random.IntN(10) == 0 {
		if ticket != nil {
			ticket.Finish(Result{Executed: outcome.No})
		}
		return
	}
	f.executed[key]++
	if ticket != nil {
		f.inFlight = append(f.inFlight, inFlightRequest{instance: n, key: key, ticket: ticket})
	}
}

func (f *simulation) finishRandom() {
	if len(f.inFlight) == 0 {
		return
	}
	i := f.random.IntN(len(f.inFlight))
	fl := f.inFlight[i]
	f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
	if f.random.IntN(5) == 0 {
		fl.ticket.Finish(Result{Executed: outcome.Unknown})
		return
	}
	fl.ticket.Finish(executedResult(fl.key.Suffix))
}

// plannedStop hands over through a network that loses and repeats messages,
// then starts the next incarnation.
func (f *simulation) plannedStop(n *simulatedInstance) {
	successor := f.randomInstance()
	if successor == n || successor.frozenSteps > 0 {
		return
	}
	f.eventCounts["stops"]++
	lossy := f.random.IntN(3) == 0
	for _, b := range n.registry.HandOver(f.now, successor.self) {
		if lossy && f.random.IntN(4) == 0 {
			f.eventCounts["lost messages"]++
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

func (f *simulation) countDuplicates() int {
	n := 0
	for _, times := range f.executed {
		if times > 1 {
			n++
		}
	}
	return n
}

func (f *simulation) runUntilKeys(keys int) {
	for f.eventCounts["new"] < keys {
		f.step()
	}
}

// Requirement R5 for the decisions: 12,000 keys through kills, freezes, stops
// with lost messages and resends through other instances. Without the
// registry, the same run executes keys more than once.
func TestNoKeyIsExecutedTwice(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			off := newSimulation(t, seed, true)
			off.runUntilKeys(3000)
			require.NotZero(t, off.countDuplicates(), "the test must see duplicates when the registry is not asked")

			f := newSimulation(t, seed, false)
			f.runUntilKeys(3000)
			assert.Zero(t, f.countDuplicates())
			for _, event := range []string{"kills", "freezes", "stops", "lost messages", "resends", "replay", "wait",
				"refuse-gone", "refuse-expired", "foreign", "handed-over"} {
				assert.NotZero(t, f.eventCounts[event], event)
			}
			t.Logf("without registry: %d of %d keys executed twice; with: %d; %v",
				off.countDuplicates(), len(off.keys), f.countDuplicates(), f.eventCounts)
		})
	}
}
