// Package finding collects the problems of an input and reports them together.
// Each finding names its file, line, column, JSON pointer and, where it is
// clear, the fix.
package finding

import (
	"fmt"
	"strings"
)

// Position is a place in an input. Lines and columns count from 1; a zero
// line means that the place is not known. Columns count bytes.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// Finding is one problem.
type Finding struct {
	Position
	Pointer string `json:"pointer"`       // JSON pointer (RFC 6901).
	Message string `json:"message"`       // What is wrong.
	Fix     string `json:"fix,omitempty"` // How to mend it; empty when not clear.
}

// String returns "file:line:column: pointer: message (fix)".
func (f Finding) String() string {
	s := fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Pointer, f.Message)
	if f.Fix != "" {
		s += " (" + f.Fix + ")"
	}
	return s
}

// List is a collection of findings. The zero value is empty and ready to use.
type List struct {
	Findings []Finding
}

// Add appends a finding.
func (l *List) Add(f Finding) {
	l.Findings = append(l.Findings, f)
}

// Err returns nil when the list is empty, else an *Error with all findings.
func (l *List) Err() error {
	if len(l.Findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings}
}

// Error reports all findings of an input.
type Error struct {
	Findings []Finding
}

// Error returns one line for each finding.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
