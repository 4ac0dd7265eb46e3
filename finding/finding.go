package finding

import (
	"fmt"
	"sort"
	"strings"
)

// MaxFindings is the largest number of findings that a List keeps. Without it, a
// document with 570,000 invalid blocks would produce a report of as many lines.
const MaxFindings = 1000

// MaxTextBytes is the length limit of a message, fix or unknown field name in a
// List. Longer ones are truncated.
const MaxTextBytes = 512

// Position is a position in an input. Lines and columns start at 1; columns count
// bytes. Line 0 means that the position is unknown.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// Finding is one error in an input.
type Finding struct {
	Position
	Pointer string `json:"pointer"`       // JSON pointer (RFC 6901).
	Message string `json:"message"`       // Description of the error.
	Fix     string `json:"fix,omitempty"` // Suggested correction; empty when there is no obvious one.
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
	Omitted  int // Number of findings beyond MaxFindings, which are not kept.

	reported map[string]bool // Pointers of values that are missing or of the wrong type.
}

// IsReported reports whether the value at a pointer, or an enclosing value, was
// already reported as missing or of the wrong type. A check of the value would
// then only repeat the finding.
func (l *List) IsReported(pointer string) bool {
	for len(l.reported) > 0 && pointer != "" {
		if l.reported[pointer] {
			return true
		}
		pointer = pointer[:max(0, strings.LastIndexByte(pointer, '/'))]
	}
	return false
}

// markReported records that a value was reported. It does nothing when the list is
// full, because further findings are only counted then.
func (l *List) markReported(pointer string) {
	if l.Full() {
		return
	}
	if l.reported == nil {
		l.reported = map[string]bool{}
	}
	l.reported[pointer] = true
}

// Add appends a finding, or only counts it when the list is full.
func (l *List) Add(f Finding) {
	if l.Full() {
		l.Omitted++
		return
	}
	f.Message, f.Fix = truncate(f.Message), truncate(f.Fix)
	l.Findings = append(l.Findings, f)
}

// truncate limits the length of a text that may contain a value of the input.
func truncate(s string) string {
	if len(s) <= MaxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:MaxTextBytes], "") + "..."
}

// Full reports whether further findings are only counted.
func (l *List) Full() bool {
	return len(l.Findings) >= MaxFindings
}

// ResolvePositions sets the file, line and column of findings without a position,
// using their pointers, and sorts the list by position. A value that is not in the
// source gets the position of the nearest enclosing value that is.
func (l *List) ResolvePositions(file string, src []byte) {
	var pointers []string
	for _, f := range l.Findings {
		if f.Line == 0 {
			pointers = append(pointers, f.Pointer)
		}
	}
	positions := locatePositions(src, pointers)
	for i := range l.Findings {
		f := &l.Findings[i]
		if f.Line == 0 {
			f.Position = positions[f.Pointer]
			f.File = file
		}
	}
	sort.SliceStable(l.Findings, func(i, j int) bool {
		a, b := l.Findings[i], l.Findings[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// Err returns an *Error with all findings, or nil when the list is empty.
func (l *List) Err() error {
	if len(l.Findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings, Omitted: l.Omitted}
}

// Error is an error that contains all findings of an input.
type Error struct {
	Findings []Finding `json:"findings"`
	Omitted  int       `json:"omitted,omitempty"` // Number of findings beyond MaxFindings.
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings), len(e.Findings)+1)
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.Omitted))
	}
	return strings.Join(lines, "\n")
}
