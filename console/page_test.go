package console_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/console"
	"github.com/jacinthstall/jacinthstall/policy"
)

// The operators' page must state the bounds that the console applies.
func TestOperatorsPageStatesBounds(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/console-and-cli.md")
	require.NoError(t, err)
	for _, text := range []string{
		fmt.Sprintf("at most %d edits with %d client blocks", console.MaxDrafts, console.MaxDraftBlocks),
		fmt.Sprintf("each for %.0f hours", console.DraftIdleTimeout.Hours()),
		fmt.Sprintf("Forms have at most %d KiB", console.MaxFormBytes>>10),
		fmt.Sprintf("an imported file has at most %d MiB", policy.MaxDocumentBytes>>20),
		fmt.Sprintf("at most %.0f minutes", console.ImportTimeout.Minutes()),
	} {
		assert.Contains(t, string(page), text)
	}
}
