package lifecycle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"slices"

	"github.com/jacinthstall/jacinthstall/finding"
)

// Chart is a state chart that has been checked.
type Chart struct {
	Name        string       `json:"name"`
	Title       string       `json:"title"`
	Initial     string       `json:"initial"`
	Final       []string     `json:"final"`
	States      []State      `json:"states"`
	Transitions []Transition `json:"transitions"`
}

// State is a state of a chart. Meaning explains it on docs/state-charts.md.
type State struct {
	Name    string `json:"name"`
	Meaning string `json:"meaning"`
}

// Transition leads from one state to another.
type Transition struct {
	From    string `json:"from"`
	Trigger string `json:"trigger"`
	To      string `json:"to"`
}

// Load reads and checks the chart in the file with the given name. The error is a
// *finding.Error if the content of the file is invalid.
func Load(files fs.FS, name string) (*Chart, error) {
	src, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, fmt.Errorf("read state chart: %w", err)
	}
	return Parse(name, src)
}

// Parse decodes and checks a chart. The file name is used for positions in
// findings only. The error is a *finding.Error.
func Parse(file string, src []byte) (*Chart, error) {
	var chart Chart
	decoder := json.NewDecoder(bytes.NewReader(src))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&chart); err != nil {
		position := positionAt(file, src, decoder.InputOffset())
		return nil, (&finding.Error{Findings: []finding.Finding{{Position: position, Message: err.Error()}}})
	}
	checker := checker{chart: &chart, file: file, src: src}
	checker.check()
	if err := checker.findings.Err(); err != nil {
		return nil, err
	}
	return &chart, nil
}

// checker collects the findings about a chart.
type checker struct {
	chart    *Chart
	file     string
	src      []byte
	findings finding.List
}

func (checker *checker) addFinding(fix, pointer, format string, args ...any) {
	position := positionAt(checker.file, checker.src, pointerOffset(checker.src, pointer))
	checker.findings.Add(finding.Finding{Position: position, Pointer: pointer, Message: fmt.Sprintf(format, args...), Fix: fix})
}

func (checker *checker) check() {
	if checker.chart.Name == "" {
		checker.addFinding("", "/name", "must not be empty")
	}
	checker.checkStates()
	checker.checkTransitions()
	if len(checker.findings.Findings) == 0 {
		checker.checkReachability()
	}
}

func (checker *checker) isState(name string) bool {
	return slices.ContainsFunc(checker.chart.States, func(state State) bool { return state.Name == name })
}

func (checker *checker) checkStates() {
	seen := map[string]bool{}
	for i, state := range checker.chart.States {
		pointer := fmt.Sprintf("/states/%d/name", i)
		if state.Name == "" {
			checker.addFinding("", pointer, "must not be empty")
		} else if seen[state.Name] {
			checker.addFinding("remove one of them", pointer, "state %q is defined twice", state.Name)
		}
		seen[state.Name] = true
	}
	if !seen[checker.chart.Initial] {
		checker.addFinding("name a state", "/initial", "%q is not a state", checker.chart.Initial)
	}
	for i, name := range checker.chart.Final {
		if !seen[name] {
			checker.addFinding("name a state", fmt.Sprintf("/final/%d", i), "%q is not a state", name)
		}
	}
}

func (checker *checker) checkTransitions() {
	seen := map[[2]string]bool{}
	for i, transition := range checker.chart.Transitions {
		pointer := fmt.Sprintf("/transitions/%d", i)
		for _, state := range []struct{ field, name string }{{"from", transition.From}, {"to", transition.To}} {
			if !checker.isState(state.name) {
				checker.addFinding("name a state", pointer+"/"+state.field, "%q is not a state", state.name)
			}
		}
		if transition.Trigger == "" {
			checker.addFinding("", pointer+"/trigger", "must not be empty")
		}
		if slices.Contains(checker.chart.Final, transition.From) {
			checker.addFinding("remove the transition", pointer+"/from", "final state %q is left", transition.From)
		}
		if seen[[2]string{transition.From, transition.Trigger}] {
			checker.addFinding("remove one of them", pointer+"/trigger", "trigger %q leaves %q twice", transition.Trigger, transition.From)
		}
		seen[[2]string{transition.From, transition.Trigger}] = true
	}
}

// checkReachability reports states that cannot be reached from the initial state,
// and states without a transition to another one that are not final.
func (checker *checker) checkReachability() {
	reachable := map[string]bool{checker.chart.Initial: true}
	hasTransition := map[string]bool{}
	for range checker.chart.States {
		for _, transition := range checker.chart.Transitions {
			hasTransition[transition.From] = true
			if reachable[transition.From] {
				reachable[transition.To] = true
			}
		}
	}
	for i, state := range checker.chart.States {
		pointer := fmt.Sprintf("/states/%d/name", i)
		if !reachable[state.Name] {
			checker.addFinding("add a transition to it", pointer, "state %q is never entered", state.Name)
		}
		if !hasTransition[state.Name] && !slices.Contains(checker.chart.Final, state.Name) {
			checker.addFinding("add a transition from it or name it in \"final\"", pointer, "state %q is never left", state.Name)
		}
	}
}
