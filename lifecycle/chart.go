package lifecycle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"slices"

	"github.com/jacinthstall/jacinthstall/finding"
)

// Chart is a checked state chart.
type Chart struct {
	Name        string       `json:"name"`
	Title       string       `json:"title"`
	Initial     string       `json:"initial"`
	Final       []string     `json:"final"`
	States      []State      `json:"states"`
	Transitions []Transition `json:"transitions"`
}

// State is a state of a chart.
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

// Load reads a chart from a file of files. The error is a *finding.Error when
// the content is wrong.
func Load(files fs.FS, name string) (*Chart, error) {
	src, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, fmt.Errorf("read state chart: %w", err)
	}
	return Parse(name, src)
}

// Parse checks the content of a file.
func Parse(file string, src []byte) (*Chart, error) {
	var c Chart
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		position := positionAt(file, src, dec.InputOffset())
		return nil, (&finding.Error{Findings: []finding.Finding{{Position: position, Message: err.Error()}}})
	}
	k := checker{chart: &c, file: file, src: src}
	k.check()
	if err := k.findings.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

type checker struct {
	chart    *Chart
	file     string
	src      []byte
	findings finding.List
}

func (k *checker) addFinding(fix, pointer, format string, args ...any) {
	position := positionAt(k.file, k.src, pointerOffset(k.src, pointer))
	k.findings.Add(finding.Finding{Position: position, Pointer: pointer, Message: fmt.Sprintf(format, args...), Fix: fix})
}

func (k *checker) check() {
	if k.chart.Name == "" {
		k.addFinding("", "/name", "must not be empty")
	}
	k.checkStates()
	k.checkTransitions()
	if len(k.findings.Findings) == 0 {
		k.checkReachability()
	}
}

func (k *checker) isState(name string) bool {
	return slices.ContainsFunc(k.chart.States, func(s State) bool { return s.Name == name })
}

func (k *checker) checkStates() {
	seen := map[string]bool{}
	for i, s := range k.chart.States {
		pointer := fmt.Sprintf("/states/%d/name", i)
		if s.Name == "" {
			k.addFinding("", pointer, "must not be empty")
		} else if seen[s.Name] {
			k.addFinding("remove one of them", pointer, "state %q is defined twice", s.Name)
		}
		seen[s.Name] = true
	}
	if !seen[k.chart.Initial] {
		k.addFinding("name a state", "/initial", "%q is not a state", k.chart.Initial)
	}
	for i, name := range k.chart.Final {
		if !seen[name] {
			k.addFinding("name a state", fmt.Sprintf("/final/%d", i), "%q is not a state", name)
		}
	}
}

func (k *checker) checkTransitions() {
	seen := map[[2]string]bool{}
	for i, t := range k.chart.Transitions {
		pointer := fmt.Sprintf("/transitions/%d", i)
		for _, end := range []struct{ field, name string }{{"from", t.From}, {"to", t.To}} {
			if !k.isState(end.name) {
				k.addFinding("name a state", pointer+"/"+end.field, "%q is not a state", end.name)
			}
		}
		if t.Trigger == "" {
			k.addFinding("", pointer+"/trigger", "must not be empty")
		}
		if slices.Contains(k.chart.Final, t.From) {
			k.addFinding("remove the transition", pointer+"/from", "final state %q is left", t.From)
		}
		if seen[[2]string{t.From, t.Trigger}] {
			k.addFinding("remove one of them", pointer+"/trigger", "trigger %q leaves %q twice", t.Trigger, t.From)
		}
		seen[[2]string{t.From, t.Trigger}] = true
	}
}

// checkReachability finds states that are never entered, and ones that are neither
// left nor final.
func (k *checker) checkReachability() {
	reached := map[string]bool{k.chart.Initial: true}
	left := map[string]bool{}
	for range k.chart.States {
		for _, t := range k.chart.Transitions {
			left[t.From] = true
			if reached[t.From] {
				reached[t.To] = true
			}
		}
	}
	for i, s := range k.chart.States {
		pointer := fmt.Sprintf("/states/%d/name", i)
		if !reached[s.Name] {
			k.addFinding("add a transition to it", pointer, "state %q is never entered", s.Name)
		}
		if !left[s.Name] && !slices.Contains(k.chart.Final, s.Name) {
			k.addFinding("add a transition from it or name it in \"final\"", pointer, "state %q is never left", s.Name)
		}
	}
}
