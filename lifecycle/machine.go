package lifecycle

import (
	"context"
	"fmt"
	"sync"

	"github.com/qmuntal/stateless"
)

// TransitionError reports a trigger that a state does not permit.
type TransitionError struct {
	Chart   string
	State   string
	Trigger string
}

// Error describes the problem.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("state chart %s: trigger %q is not permitted in state %q", e.Chart, e.Trigger, e.State)
}

// Machine is one run of a chart. It is safe for concurrent use.
type Machine struct {
	chart        *Chart
	onTransition func(from, trigger, to string)

	mu           sync.Mutex
	stateMachine *stateless.StateMachine
}

// NewMachine returns a machine in the initial state. Changed is called after
// each transition, in order; it may be nil and must not fire a trigger.
func (chart *Chart) NewMachine(onTransition func(from, trigger, to string)) *Machine {
	machine := &Machine{chart: chart, onTransition: onTransition, stateMachine: stateless.NewStateMachine(chart.Initial)}
	for _, t := range chart.Transitions {
		if t.From == t.To {
			machine.stateMachine.Configure(t.From).PermitReentry(t.Trigger)
			continue
		}
		machine.stateMachine.Configure(t.From).Permit(t.Trigger, t.To)
	}
	machine.stateMachine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		if machine.onTransition != nil {
			machine.onTransition(t.Source.(string), t.Trigger.(string), t.Destination.(string))
		}
	})
	return machine
}

// State returns the current state.
func (machine *Machine) State() string {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.stateMachine.MustState().(string)
}

// Fire follows the transition of a trigger. The error is a *TransitionError,
// and the state is unchanged, when the current state does not permit it.
func (machine *Machine) Fire(trigger string) error {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	permitted, err := machine.stateMachine.CanFire(trigger)
	if err != nil {
		return err
	}
	if !permitted {
		return &TransitionError{Chart: machine.chart.Name, State: machine.stateMachine.MustState().(string), Trigger: trigger}
	}
	return machine.stateMachine.Fire(trigger)
}
