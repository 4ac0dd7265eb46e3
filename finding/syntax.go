package finding

import (
	"encoding/json"
	"errors"
)

// syntaxFinding describes the first syntax error of a source.
type syntaxFinding struct {
	offset  int // Offset of the invalid byte; the length of the source when it is incomplete.
	message string
}

// findSyntaxError returns the first syntax error, or nil when the source is valid
// JSON.
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

// syntaxErrorOffset returns the offset of the invalid byte. json.SyntaxError.Offset
// counts the bytes read, including the invalid one.
func syntaxErrorOffset(src []byte, err *json.SyntaxError) int {
	if int(err.Offset) >= len(src) && err.Error() == "unexpected end of JSON input" {
		return len(src)
	}
	return max(0, int(err.Offset)-1)
}

// syntaxFix suggests a fix for an incomplete document and for a missing or extra
// comma, or returns "".
func syntaxFix(src []byte, offset int) string {
	if offset >= len(src) {
		return "add the missing end of the document"
	}
	previous := offset - 1
	for previous >= 0 && isSpace(src[previous]) {
		previous--
	}
	if previous < 0 {
		return ""
	}
	isClosing := src[offset] == '}' || src[offset] == ']'
	switch {
	case isClosing && src[previous] == ',':
		return "remove the comma before it"
	case startsValue(src[offset]) && endsValue(src[previous]):
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
