package lifecycle

import (
	"fmt"
	"slices"
	"strings"
)

// Page returns the content of docs/state-charts.md for some charts.
func Page(charts ...*Chart) string {
	var page strings.Builder
	page.WriteString("# State charts\n\nThis page is printed by `go run ./lifecycle/genpage` from the files in `charts/`, ")
	page.WriteString("which the code interprets; a test compares it with them.\n")
	for _, chart := range charts {
		fmt.Fprintf(&page, "\n## %s\n\n```mermaid\n%s```\n\n| state | meaning |\n| --- | --- |\n", chart.Title, chart.Mermaid())
		for _, state := range chart.States {
			fmt.Fprintf(&page, "| %s | %s |\n", state.Name, state.Meaning)
		}
	}
	return page.String()
}

// Mermaid draws the chart as a Mermaid state diagram.
func (chart *Chart) Mermaid() string {
	var diagram strings.Builder
	diagram.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&diagram, "    [*] --> %s\n", mermaidID(chart.Initial))
	for _, transition := range chart.Transitions {
		fmt.Fprintf(&diagram, "    %s --> %s: %s\n", mermaidID(transition.From), mermaidID(transition.To), transition.Trigger)
	}
	for _, state := range chart.States {
		if slices.Contains(chart.Final, state.Name) {
			fmt.Fprintf(&diagram, "    %s --> [*]\n", mermaidID(state.Name))
		}
	}
	return diagram.String()
}

func mermaidID(name string) string { return strings.ReplaceAll(name, "-", "_") }
