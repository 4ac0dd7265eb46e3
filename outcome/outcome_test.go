package outcome_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// Guards against misreading a "not executed" proof.
func TestParseExecuted(t *testing.T) {
	for value, want := range map[string]outcome.Executed{
		"yes": outcome.Yes, "no": outcome.No, "unknown": outcome.Unknown,
		"": outcome.Unknown, "No": outcome.Unknown, "no ": outcome.Unknown, "no, yes": outcome.Unknown,
	} {
		assert.Equal(t, want, outcome.ParseExecuted(value), "%q", value)
	}
}

func FuzzParseExecuted(f *testing.F) {
	for _, seed := range []string{"yes", "no", "unknown", "", "NO", "no\x00", "no, no"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		got := outcome.ParseExecuted(value)
		if got != outcome.Unknown && string(got) != value {
			t.Fatalf("%q is read as %q", value, got)
		}
	})
}
