package lifecycle

import (
	"fmt"
	"slices"
	"strings"
)

// Page returns the content of docs/state-charts.md for some charts.
func Page(charts ...*Chart) string {
	var b strings.Builder
	b.WriteString("# State charts\n\nThis page is printed by `go run ./lifecycle/genpage` from the files in `charts/`, ")
	b.WriteString("which the code interprets; a test compares it with them.\n")
	for _, c := range charts {
		fmt.Fprintf(&b, "\n## %s\n\n```mermaid\n%s```\n\n| state | meaning |\n| --- | --- |\n", c.Title, c.Mermaid())
		for _, s := range c.States {
			fmt.Fprintf(&b, "| %s | %s |\n", s.Name, s.Meaning)
		}
	}
	return b.String()
}

// Mermaid draws the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", mermaidID(c.Initial))
	for _, t := range c.Transitions {
		fmt.Fprintf(&b, "    %s --> %s: %s\n", mermaidID(t.From), mermaidID(t.To), t.Trigger)
	}
	for _, s := range c.States {
		if slices.Contains(c.Final, s.Name) {
			fmt.Fprintf(&b, "    %s --> [*]\n", mermaidID(s.Name))
		}
	}
	return b.String()
}

func mermaidID(name string) string { return strings.ReplaceAll(name, "-", "_") }
