package finding

import (
	"encoding/json"
	"sort"
)

// tokenizer splits a source into JSON tokens with their offsets. The source must
// be the beginning of valid JSON, so syntax is checked before.
type tokenizer struct {
	src    []byte
	offset int
}

// token is a token from its first byte up to end. The kind is its first byte,
// or '0' for a number.
type token struct {
	kind       byte
	start, end int
}

// next returns the next token; false at the end of the source.
func (t *tokenizer) next() (token, bool) {
	t.skipSeparators()
	if t.offset >= len(t.src) {
		return token{}, false
	}
	start := t.offset
	kind := t.src[start]
	switch kind {
	case '{', '}', '[', ']':
		t.offset++
	case '"':
		if !t.skipString() {
			return token{}, false
		}
	default:
		t.skipLiteral()
	}
	if kind == '-' || isDigit(kind) {
		kind = '0'
	}
	return token{kind: kind, start: start, end: t.offset}, true
}

func (t *tokenizer) skipSeparators() {
	for t.offset < len(t.src) && isSeparator(t.src[t.offset]) {
		t.offset++
	}
}

func (t *tokenizer) skipString() bool {
	for t.offset++; t.offset < len(t.src); t.offset++ {
		switch t.src[t.offset] {
		case '\\':
			t.offset++
		case '"':
			t.offset++
			return true
		}
	}
	t.offset = len(t.src)
	return false
}

func (t *tokenizer) skipLiteral() {
	for t.offset++; t.offset < len(t.src); t.offset++ {
		c := t.src[t.offset]
		if isSeparator(c) || c == '}' || c == ']' {
			return
		}
	}
}

func isSeparator(c byte) bool {
	return c == ',' || c == ':' || isSpace(c)
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\r' || c == '\n'
}

func isDigit(c byte) bool {
	return '0' <= c && c <= '9'
}

// text returns the value of a string token, or the source of another token.
func (t *tokenizer) text(tok token) string {
	raw := t.src[tok.start:tok.end]
	if tok.kind != '"' {
		return string(raw)
	}
	if plain := raw[1 : len(raw)-1]; isUnescapedASCII(plain) {
		return string(plain)
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return string(raw)
	}
	return s
}

// isUnescapedASCII reports whether a string has no escapes and only ASCII characters.
func isUnescapedASCII(s []byte) bool {
	for _, c := range s {
		if c == '\\' || c >= 0x80 {
			return false
		}
	}
	return true
}

// hasMore reports whether the current object or array has another member.
func (t *tokenizer) hasMore() bool {
	t.skipSeparators()
	return t.offset < len(t.src) && t.src[t.offset] != '}' && t.src[t.offset] != ']'
}

// skipValue drops one value; false at the end of the source.
func (t *tokenizer) skipValue() bool {
	tok, ok := t.next()
	return ok && t.skipRemaining(tok)
}

// skipRemaining drops the rest of the value that begins with first. It uses no
// recursion, so that deep nesting cannot exhaust the stack.
func (t *tokenizer) skipRemaining(first token) bool {
	depth := first.nestingDelta()
	for depth > 0 {
		tok, ok := t.next()
		if !ok {
			return false
		}
		depth += tok.nestingDelta()
	}
	return true
}

func (tok token) nestingDelta() int {
	switch tok.kind {
	case '{', '[':
		return 1
	case '}', ']':
		return -1
	}
	return 0
}

// lineIndex turns offsets into lines and columns.
type lineIndex struct {
	starts []int // Offset of the first byte of each line.
}

func newLineIndex(src []byte) *lineIndex {
	starts := []int{0}
	for i, c := range src {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return &lineIndex{starts: starts}
}

func (x *lineIndex) position(offset int) Position {
	line := sort.SearchInts(x.starts, offset+1)
	return Position{Line: line, Column: offset - x.starts[line-1] + 1}
}
