package events_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
)

// The page for operators must list exactly the events of the code.
func TestCataloguePageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	require.NoError(t, err)
	assert.Equal(t, events.Markdown(), string(page), "run: go run ./events/gendoc > docs/events.md")
}

func TestEventsHaveNameMessageAndAction(t *testing.T) {
	for _, e := range events.Catalogue() {
		assert.NotEmpty(t, e.Name, e.Number)
		assert.NotEmpty(t, e.Message, e.Number)
		assert.NotEmpty(t, e.Action, e.Number)
	}
}
