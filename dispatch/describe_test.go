package dispatch_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/dispatch"
)

// A line must carry exactly the fields that the catalogue promises to operators.
func TestDescribeMatchesEventCatalogue(t *testing.T) {
	for _, action := range []dispatch.Action{dispatch.Start{}, dispatch.Forward{}, dispatch.Refuse{}, dispatch.SendGrant{},
		dispatch.SendRelease{}, dispatch.Probe{}, dispatch.RefreshView{}} {
		event, fields, ok := dispatch.Describe(action)
		require.True(t, ok, "%T", action)
		assert.ElementsMatch(t, event.Fields, slices.Collect(maps.Keys(fields)), event.Name)
	}
	for _, action := range []dispatch.Action{dispatch.SendWant{}, dispatch.SendLoad{}} {
		_, _, ok := dispatch.Describe(action)
		assert.False(t, ok)
	}
}
