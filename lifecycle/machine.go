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

func (e *TransitionError) Error() string {
	return fmt.Sprintf("state chart %s: trigger %q is not permitted in state %q", e.Chart, e.Trigger, e.State)
}

// Machine is a state machine that follows a chart. It is safe for concurrent use.
type Machine struct {
	chart        *Chart
	onTransition func(from, trigger, to string)

	mu           sync.Mutex
	stateMachine *stateless.StateMachine
}

// NewMachine returns a machine in the initial state of the chart. It calls
// onTransition after each transition, in order. The function may be nil and must
// not call methods of the machine, which is locked during the call.
func (chart *Chart) NewMachine(onTransition func(from, trigger, to string)) *Machine {
	machine := &Machine{chart: chart, onTransition: onTransition, stateMachine: stateless.NewStateMachine(chart.Initial)}
	for _, transition := range chart.Transitions {
		if transition.From == transition.To {
			machine.stateMachine.Configure(transition.From).PermitReentry(transition.Trigger)
			continue
		}
		machine.stateMachine.Configure(transition.From).Permit(transition.Trigger, transition.To)
	}
	machine.stateMachine.OnTransitioned(func(_ context.Context, transition stateless.Transition) {
		if machine.onTransition != nil {
			machine.onTransition(transition.Source.(string), transition.Trigger.(string), transition.Destination.(string))
		}
	})
	return machine
}

func (machine *Machine) State() string {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.stateMachine.MustState().(string)
}

// Fire makes the transition for a trigger. If the current state does not permit
// the trigger, the state does not change and the error is a *TransitionError.
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
