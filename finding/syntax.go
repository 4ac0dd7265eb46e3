package finding

import (
	"encoding/json"
	"errors"
)

// syntaxFinding is the first syntax error of a source.
type syntaxFinding struct {
	offset  int // Of the faulty byte; the length of the source when it ends too early.
	message string
}

// findSyntaxError returns nil when the source is valid JSON.
func findSyntaxError(src []byte) *syntaxFinding {
	if json.Valid(src) {
		return nil
	}
	var raw json.RawMessage
	err := json.Unmarshal(src, &raw)
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		return &syntaxFinding{message: "not valid JSON"}
	}
	return &syntaxFinding{offset: syntaxErrorOffset(src, syntaxError), message: syntaxError.Error()}
}

func syntaxErrorOffset(src []byte, err *json.SyntaxError) int {
	if int(err.Offset) >= len(src) && err.Error() == "unexpected end of JSON input" {
		return len(src)
	}
	return max(0, int(err.Offset)-1)
}

// syntaxFix recognises the common slips: a missing end and wrong commas.
func syntaxFix(src []byte, offset int) string {
	if offset >= len(src) {
		return "add the missing end of the document"
	}
	before := offset - 1
	for before >= 0 && isSpace(src[before]) {
		before--
	}
	if before < 0 {
		return ""
	}
	closes := src[offset] == '}' || src[offset] == ']'
	switch {
	case closes && src[before] == ',':
		return "remove the comma before it"
	case startsValue(src[offset]) && endsValue(src[before]):
		return "add a comma before it"
	}
	return ""
}

func startsValue(c byte) bool {
	return c == '"' || c == '{' || c == '['
}

func endsValue(c byte) bool {
	return c == '"' || c == '}' || c == ']' || c == 'e' || isDigit(c)
}
