package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/policy"
)

// print writes a result in the chosen form.
func (c *invocation) print(value any, text string) error {
	if c.output != "json" {
		_, err := fmt.Fprint(c.app.Out, text)
		return err
	}
	return c.printJSON(value)
}

func (c *invocation) printJSON(value any) error {
	enc := json.NewEncoder(c.app.Out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// errorReport is an error in JSON.
type errorReport struct {
	Error    string            `json:"error"`
	ExitCode int               `json:"exitCode"`
	Findings []finding.Finding `json:"findings,omitempty"`
	LostRace *lostRaceReport   `json:"lostRace,omitempty"`
}

type lostRaceReport struct {
	*LostRaceError
	Mergeable bool `json:"mergeable"`
}

// reportError reports an error in the chosen form and returns its exit code.
func (c *invocation) reportError(err error) int {
	code := exitCode(err)
	// The JSON result of status already names the instances.
	if c.output != "json" || hasType[*notInForceError](err) {
		fmt.Fprintf(c.app.Err, "jacinthctl: %s\n", strings.TrimSuffix(err.Error(), "\n"))
		if hasType[*LostRaceError](err) && isMergeable(err) {
			fmt.Fprintln(c.app.Err, "run the command again with --merge to publish both")
		}
		return code
	}
	report := errorReport{Error: err.Error(), ExitCode: code}
	var findings *finding.Error
	if errors.As(err, &findings) {
		report.Findings = findings.Findings
	}
	var lost *LostRaceError
	if errors.As(err, &lost) {
		report.LostRace = &lostRaceReport{lost, lost.Mergeable()}
	}
	_ = c.printJSON(report)
	return code
}

func isMergeable(err error) bool {
	var lost *LostRaceError
	return errors.As(err, &lost) && lost.Mergeable()
}

// changesText returns the changes, or a line that tells that there are none.
func changesText(changes []policy.Change) string {
	if len(changes) == 0 {
		return "no changes\n"
	}
	return policy.FormatChanges(changes)
}

func publishedText(p Published) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d is published; your changes:\n%s", p.Version, changesText(p.Changes))
	if len(p.Theirs) > 0 {
		fmt.Fprintf(&b, "merged with the changes of another operator:\n%s", policy.FormatChanges(p.Theirs))
	}
	if p.ReadBack {
		b.WriteString("the response to the write was lost; reading back showed that it took effect\n")
	}
	return b.String()
}

// nonNilChanges makes an absence of changes an empty array in JSON.
func nonNilChanges(changes []policy.Change) []policy.Change {
	if changes == nil {
		return []policy.Change{}
	}
	return changes
}
