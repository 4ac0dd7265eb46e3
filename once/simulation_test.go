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

// simulation is a set of instances that only exchange messages. It sends requests
// with keys through random instances while instances are killed, frozen and
// stopped, and counts the executions at targets.
type simulation struct {
	t                *testing.T
	random           *rand.Rand
	now              time.Time
	registryDisabled bool // Requests are executed without calling Registry.Begin.
	instances        []*simulatedInstance
	inFlight         []inFlightRequest
	keys             []Key
	executed         map[Key]int
	eventCounts      map[string]int
}

type simulatedInstance struct {
	self        Issuer
	registry    *Registry
	frozenSteps int // Remaining steps in which the instance neither relays nor executes.
}

type inFlightRequest struct {
	instance *simulatedInstance
	key      Key
	ticket   *Ticket
}

func newSimulation(t *testing.T, seed uint64, registryDisabled bool) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, registryDisabled: registryDisabled,
		executed: map[Key]int{}, eventCounts: map[string]int{}}
	for i := range 6 {
		sim.instances = append(sim.instances, &simulatedInstance{self: Issuer{Instance: fmt.Sprintf("n-%d", i)}})
		sim.restart(sim.instances[i])
	}
	return sim
}

// restart replaces an instance by a new incarnation. The requests in flight of
// the old one end without a result, as after a crash.
func (sim *simulation) restart(restarted *simulatedInstance) {
	restarted.self.Incarnation++
	restarted.frozenSteps = 0
	registry, err := New(restarted.self, sim.now)
	require.NoError(sim.t, err)
	restarted.registry = registry
	kept := sim.inFlight[:0]
	for _, request := range sim.inFlight {
		if request.instance != restarted {
			kept = append(kept, request)
		}
	}
	sim.inFlight = kept
}

func (sim *simulation) randomInstance() *simulatedInstance {
	return sim.instances[sim.random.IntN(len(sim.instances))]
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(2000)) * time.Millisecond)
	for _, instance := range sim.instances {
		instance.frozenSteps = max(0, instance.frozenSteps-1)
	}
	switch event := sim.random.IntN(1000); {
	case event < 4:
		sim.restart(sim.randomInstance())
		sim.eventCounts["kills"]++
	case event < 8:
		sim.randomInstance().frozenSteps = 50
		sim.eventCounts["freezes"]++
	case event < 12:
		sim.plannedStop(sim.randomInstance())
	case event < 500 && len(sim.keys) > 0:
		sim.send(sim.keys[max(0, len(sim.keys)-1-sim.random.IntN(400))])
		sim.eventCounts["resends"]++
	case event < 750:
		sim.sendNew()
	default:
		sim.finishRandom()
	}
}

// sendNew sends a request with a new key.
func (sim *simulation) sendNew() {
	prefix, ok := sim.randomInstance().registry.Prefix(sim.now)
	if !ok {
		return
	}
	key := Key{Prefix: prefix, Suffix: fmt.Sprint(len(sim.keys))}
	sim.keys = append(sim.keys, key)
	sim.eventCounts["new"]++
	sim.send(key)
}

// send delivers a request to a random instance, which relays it to the key's
// issuer or the issuer's successor. The request is lost at a frozen instance.
func (sim *simulation) send(key Key) {
	receiver := sim.randomInstance()
	for range 3 {
		if receiver.frozenSteps > 0 {
			return
		}
		if sim.registryDisabled {
			sim.execute(receiver, key, nil)
			return
		}
		decision := receiver.registry.Begin(sim.now, key, fingerprint)
		sim.eventCounts[decision.Verdict.String()]++
		sim.checkDecision(key, decision)
		next := ""
		switch decision.Verdict {
		case Run:
			sim.execute(receiver, key, decision.Ticket)
		case Foreign:
			next = key.Instance
		case HandedOver:
			next = decision.Successor.Instance
		}
		if next == "" {
			return
		}
		receiver = sim.findInstance(next)
	}
}

func (sim *simulation) findInstance(name string) *simulatedInstance {
	for _, instance := range sim.instances {
		if instance.self.Instance == name {
			return instance
		}
	}
	sim.t.Fatalf("no instance %q", name)
	return nil
}

// checkDecision compares the response to the caller with what targets executed.
func (sim *simulation) checkDecision(key Key, decision Decision) {
	if refusal, refused := decision.Verdict.Refusal(); refused && refusal.Executed == outcome.No {
		assert.Zero(sim.t, sim.executed[key], "%s refused as not executed", key)
	}
	if decision.Verdict == Replay && decision.Result.Executed == outcome.Yes {
		assert.Equal(sim.t, 1, sim.executed[key], "%s replayed", key)
	}
}

// execute lets a target execute the request or refuse it as not executed.
func (sim *simulation) execute(instance *simulatedInstance, key Key, ticket *Ticket) {
	if sim.random.IntN(10) == 0 {
		if ticket != nil {
			ticket.Finish(Result{Executed: outcome.No})
		}
		return
	}
	sim.executed[key]++
	if ticket != nil {
		sim.inFlight = append(sim.inFlight, inFlightRequest{instance: instance, key: key, ticket: ticket})
	}
}

// finishRandom ends a random request in flight.
func (sim *simulation) finishRandom() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.random.IntN(len(sim.inFlight))
	request := sim.inFlight[i]
	sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	if sim.random.IntN(5) == 0 {
		request.ticket.Finish(Result{Executed: outcome.Unknown})
		return
	}
	request.ticket.Finish(executedResult(request.key.Suffix))
}

// plannedStop hands the records over through a network that loses and duplicates
// messages, then starts the next incarnation.
func (sim *simulation) plannedStop(stopped *simulatedInstance) {
	successor := sim.randomInstance()
	if successor == stopped || successor.frozenSteps > 0 {
		return
	}
	sim.eventCounts["stops"]++
	lossy := sim.random.IntN(3) == 0
	for _, batch := range stopped.registry.HandOver(sim.now, successor.self) {
		if lossy && sim.random.IntN(4) == 0 {
			sim.eventCounts["lost messages"]++
			continue
		}
		for range 1 + sim.random.IntN(2) {
			successor.registry.Accept(sim.now, batch)
		}
	}
	for range 5 {
		sim.send(sim.keys[sim.random.IntN(len(sim.keys))])
	}
	sim.restart(stopped)
}

func (sim *simulation) countDuplicates() int {
	duplicates := 0
	for _, times := range sim.executed {
		if times > 1 {
			duplicates++
		}
	}
	return duplicates
}

func (sim *simulation) runUntilKeys(keys int) {
	for sim.eventCounts["new"] < keys {
		sim.step()
	}
}

// Requirement R5 for the decisions of registries: no key is executed twice among
// 12,000 keys, while instances are killed, frozen and stopped with lost hand-over
// messages and requests are sent again through other instances. Without
// registries, the same simulation executes keys more than once.
func TestNoKeyIsExecutedTwice(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			unprotected := newSimulation(t, seed, true)
			unprotected.runUntilKeys(3000)
			require.NotZero(t, unprotected.countDuplicates(), "the simulation must cause duplicates when registries are not called")

			protected := newSimulation(t, seed, false)
			protected.runUntilKeys(3000)
			assert.Zero(t, protected.countDuplicates())
			for _, event := range []string{"kills", "freezes", "stops", "lost messages", "resends", "replay", "wait",
				"refuse-gone", "refuse-expired", "foreign", "handed-over"} {
				assert.NotZero(t, protected.eventCounts[event], event)
			}
			t.Logf("without registry: %d of %d keys executed twice; with: %d; %v",
				unprotected.countDuplicates(), len(unprotected.keys), protected.countDuplicates(), protected.eventCounts)
		})
	}
}
