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
func (c *Chart) NewMachine(changed func(from, trigger, to string)) *Machine {
	m := &Machine{chart: c, onTransition: changed, stateMachine: stateless.NewStateMachine(c.Initial)}
	for _, t := range c.Transitions {
		if t.From == t.To {
			m.stateMachine.Configure(t.From).PermitReentry(t.Trigger)
			continue
		}
		m.stateMachine.Configure(t.From).Permit(t.Trigger, t.To)
	}
	m.stateMachine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		if m.onTransition != nil {
			m.onTransition(t.Source.(string), t.Trigger.(string), t.Destination.(string))
		}
	})
	return m
}

// State returns the current state.
func (m *Machine) State() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateMachine.MustState().(string)
}

// Fire follows the transition of a trigger. The error is a *TransitionError,
// and the state is unchanged, when the current state does not permit it.
func (m *Machine) Fire(trigger string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	permitted, err := m.stateMachine.CanFire(trigger)
	if err != nil {
		return err
	}
	if !permitted {
		return &TransitionError{Chart: m.chart.Name, State: m.stateMachine.MustState().(string), Trigger: trigger}
	}
	return m.stateMachine.Fire(trigger)
}
