package events

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/events.md, a table of all events.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Every log line contains the number (`event`) and name (`name`) of its event. ")
	b.WriteString("This page is printed by `go run ./events/gendoc`; a test compares it with the code.\n\n")
	b.WriteString("| number | name | level | message | fields | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fields := "`" + strings.Join(e.Fields, "`, `") + "`"
		if len(e.Fields) == 0 {
			fields = ""
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Message, fields, e.Action)
	}
	return b.String()
}
