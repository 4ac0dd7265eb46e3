package finding

import (
	"fmt"
	"sort"
	"strings"
)

// MaxFindings is the largest number of findings that a List keeps. A document
// with 570,000 wrong blocks would otherwise give a report of as many lines.
const MaxFindings = 1000

// MaxTextBytes is the length of the longest message, fix or unknown field name
// that a List keeps whole; a longer one is cut.
const MaxTextBytes = 512

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
	Omitted  int // Findings beyond MaxFindings, which are only counted.

	reported map[string]bool // Pointers of values that are missing or of a wrong type.
}

// IsReported reports whether the value at a pointer, or one that encloses it, is
// already reported as missing or of a wrong type, so that a check of the value
// would only repeat the finding.
func (l *List) IsReported(pointer string) bool {
	for len(l.reported) > 0 && pointer != "" {
		if l.reported[pointer] {
			return true
		}
		pointer = pointer[:max(0, strings.LastIndexByte(pointer, '/'))]
	}
	return false
}

// markReported notes a value, unless the list is full: then checks add no findings.
func (l *List) markReported(pointer string) {
	if l.Full() {
		return
	}
	if l.reported == nil {
		l.reported = map[string]bool{}
	}
	l.reported[pointer] = true
}

// Add appends a finding, or counts it when the list is full.
func (l *List) Add(f Finding) {
	if l.Full() {
		l.Omitted++
		return
	}
	f.Message, f.Fix = truncate(f.Message), truncate(f.Fix)
	l.Findings = append(l.Findings, f)
}

// truncate bounds a text that may repeat a value of the input.
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

// ResolvePositions fills in the file, line and column of findings that have none, by
// their pointers, and sorts the list by place. The place of a value that is
// not in the source is that of the nearest enclosing value that is.
func (l *List) ResolvePositions(file string, src []byte) {
	var pointers []string
	for _, f := range l.Findings {
		if f.Line == 0 {
			pointers = append(pointers, f.Pointer)
		}
	}
	places := locatePositions(src, pointers)
	for i := range l.Findings {
		f := &l.Findings[i]
		if f.Line == 0 {
			f.Position = places[f.Pointer]
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

// Err returns nil when the list is empty, else an *Error with all findings.
func (l *List) Err() error {
	if len(l.Findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings, Omitted: l.Omitted}
}

// Error reports all findings of an input.
type Error struct {
	Findings []Finding `json:"findings"`
	Omitted  int       `json:"omitted,omitempty"` // Findings beyond MaxFindings.
}

// Error returns one line for each finding.
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
