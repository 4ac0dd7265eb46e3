package configtest_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/configsync/configtest"
	"github.com/jacinthstall/jacinthstall/internal/figures"
)

// The distribution of configuration changes must stay within the bounds on
// control traffic and platform calls at the design scale.
func TestFigures(t *testing.T) {
	list, err := configtest.Figures()
	require.NoError(t, err)
	assert.Zero(t, figures.Print(t.Output(), list))
}
