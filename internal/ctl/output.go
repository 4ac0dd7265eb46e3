package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/policy"
)

// print writes a result in the format selected with --output.
func (inv *invocation) print(value any, text string) error {
	if inv.output != "json" {
		_, err := fmt.Fprint(inv.app.Out, text)
		return err
	}
	return inv.printJSON(value)
}

func (inv *invocation) printJSON(value any) error {
	enc := json.NewEncoder(inv.app.Out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// errorReport is the JSON form of an error.
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

// reportError prints an error in the format selected with --output and returns
// its exit code.
func (inv *invocation) reportError(err error) int {
	code := exitCode(err)
	// For notInForceError, the status command has already printed the instances
	// as JSON.
	if inv.output != "json" || hasType[*notInForceError](err) {
		fmt.Fprintf(inv.app.Err, "jacinthctl: %s\n", strings.TrimSuffix(err.Error(), "\n"))
		if hasType[*LostRaceError](err) && isMergeable(err) {
			fmt.Fprintln(inv.app.Err, "run the command again with --merge to publish both")
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
	_ = inv.printJSON(report)
	return code
}

func isMergeable(err error) bool {
	var lost *LostRaceError
	return errors.As(err, &lost) && lost.Mergeable()
}

// changesText returns the changes as text, or a line saying that there are none.
func changesText(changes []policy.Change) string {
	if len(changes) == 0 {
		return "no changes\n"
	}
	return policy.FormatChanges(changes)
}

func publishedText(published Published) string {
	var text strings.Builder
	fmt.Fprintf(&text, "version %d is published; your changes:\n%s", published.Version, changesText(published.Changes))
	if len(published.Theirs) > 0 {
		fmt.Fprintf(&text, "merged with the changes of another operator:\n%s", policy.FormatChanges(published.Theirs))
	}
	if published.ReadBack {
		text.WriteString("the response to the write was lost; reading back showed that it took effect\n")
	}
	return text.String()
}

// nonNilChanges replaces nil by an empty slice, which is encoded in JSON as an
// empty array instead of null.
func nonNilChanges(changes []policy.Change) []policy.Change {
	if changes == nil {
		return []policy.Change{}
	}
	return changes
}
