package finding

import (
	"fmt"
	"strings"
)

var (
	pointerEscaper   = strings.NewReplacer("~", "~0", "/", "~1")
	pointerUnescaper = strings.NewReplacer("~1", "/", "~0", "~")
)

// Pointer returns the JSON pointer that consists of field names and array indexes.
func Pointer(parts ...any) string {
	var b strings.Builder
	for _, part := range parts {
		b.WriteByte('/')
		b.WriteString(pointerEscaper.Replace(fmt.Sprint(part)))
	}
	return b.String()
}

// splitPointer returns the unescaped parts of a JSON pointer.
func splitPointer(pointer string) []string {
	if pointer == "" {
		return nil
	}
	parts := strings.Split(strings.TrimPrefix(pointer, "/"), "/")
	for i, part := range parts {
		parts[i] = pointerUnescaper.Replace(part)
	}
	return parts
}
